#include "coordination/route_history.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Longer than any entry goes on using a superseded configuration.
    constexpr milliseconds maxApplyTime { 5000 };

    /// Whether a route with a shorter prefix handled the requests before there was this one.
    template <typename Routes>
    bool isCarvedOut(const Routes& before, const std::string& host, std::string prefix)
    {
        while (prefix.size() > 1) {
            prefix.pop_back();
            prefix.erase(prefix.rfind('/') + 1);
            if (before.count({ host, prefix }))
                return true;
        }
        return false;
    }
}

void route_history::onConfiguration(const std::vector<route_config>& routes, time_point now)
{
    service_map current;
    for (const auto& route : routes) {
        auto& services = current[{ route.host, route.pathPrefix }];
        for (const auto& target : route.services)
            services.insert(target.service);
    }
    if (movesRequests(current))
        m_movedAt = now;
    m_routes = std::move(current);
}

bool route_history::movesRequests(const service_map& routes) const
{
    for (const auto& [key, before] : m_routes) {
        auto found = routes.find(key);
        if (found == routes.end() || !std::includes(found->second.begin(), found->second.end(), before.begin(), before.end()))
            return true;
    }
    return std::any_of(routes.begin(), routes.end(), [this](const auto& route) { return !m_routes.count(route.first) && isCarvedOut(m_routes, route.first.first, route.first.second); });
}

bool route_history::isSettled(milliseconds maxAge, time_point now) const
{
    bool isKnown = !m_routes.empty();
    return isKnown && (m_movedAt == time_point {} || now - m_movedAt >= maxAge + maxApplyTime);
}

} // namespace pistachiolatch
