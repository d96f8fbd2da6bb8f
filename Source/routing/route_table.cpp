#include "routing/route_table.h"

namespace pistachiolatch {

route_table::route_table(configuration source)
    : m_source(std::move(source))
{
    for (std::size_t i = 0; i < m_source.routes.size(); ++i)
        m_routes[m_source.routes[i].host][m_source.routes[i].pathPrefix] = i;
    for (std::size_t i = 0; i < m_source.organisations.size(); ++i) {
        for (const auto& key : m_source.organisations[i].keys)
            m_keys[key] = i;
    }
    for (std::size_t i = 0; i < m_source.services.size(); ++i)
        m_services[m_source.services[i].name] = i;
}

const route_config* route_table::find(std::string_view host, std::string_view path) const
{
    auto routes = m_routes.find(std::string(host.substr(0, host.find(':'))));
    if (routes == m_routes.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    // Every prefix ends with a slash, so each slash of the path yields one candidate.
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        auto found = routes->second.find(std::string(path.substr(0, end + 1)));
        if (found != routes->second.end())
            return &m_source.routes[found->second];
    }
    return nullptr;
}

const organisation_config* route_table::findOrganisation(const std::string& key) const
{
    auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : &m_source.organisations[found->second];
}

const service_config* route_table::findService(const std::string& name) const
{
    auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &m_source.services[found->second];
}

const std::string& chooseService(const route_config& route, double number)
{
    double total = 0;
    for (const auto& target : route.services)
        total += static_cast<double>(target.weight);
    double remaining = number * total;
    for (const auto& target : route.services) {
        remaining -= static_cast<double>(target.weight);
        if (remaining < 0)
            return target.service;
    }
    // Due to rounding the loop may end without a result; the last service with a weight is the right one then.
    for (auto it = route.services.rbegin(); it != route.services.rend(); ++it) {
        if (it->weight > 0)
            return it->service;
    }
    return route.services.front().service;
}

} // namespace pistachiolatch
