#include "routing/configuration_check.h"

#include <map>
#include <set>

namespace pistachiolatch {

namespace {
    constexpr std::size_t maxQuotedBytes = 128;

    result<void> checkRoute(const route_config& route, const std::set<std::string>& services)
    {
        if (route.timeout <= milliseconds(0))
            return failure { fmt::format("route \"{}\": timeout must be positive; set it in milliseconds", route.name) };
        if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/')
            return failure { fmt::format("route \"{}\": path prefix \"{}\" must begin and end with a slash", route.name, route.pathPrefix) };
        bool hasWeight = false;
        for (const auto& target : route.services) {
            if (!services.count(target.service))
                return failure { fmt::format("route \"{}\": service \"{}\" is not defined; add it to the configuration or use another", route.name, target.service) };
            hasWeight = hasWeight || target.weight > 0;
        }
        if (!hasWeight)
            return failure { fmt::format("route \"{}\": service weights add up to 0; at least one must be positive", route.name) };
        return ok();
    }

    result<void> checkOrganisations(const std::vector<organisation_config>& organisations)
    {
        std::map<std::string, std::string> keyOwners;
        std::set<std::string> names;
        for (const auto& organisation : organisations) {
            // Requests to endpoints carry the name in a header.
            if (!isPlainText(organisation.name))
                return failure { fmt::format("organisation \"{}\": the name must not contain control characters; remove them", toPlainText(organisation.name, maxQuotedBytes)) };
            if (!names.insert(organisation.name).second)
                return failure { fmt::format("organisation \"{}\" is defined more than once; remove the duplicate", organisation.name) };
            for (const auto& key : organisation.keys) {
                auto [owner, inserted] = keyOwners.emplace(key, organisation.name);
                // With a shared key it would be arbitrary which of the two a call is charged to.
                if (!inserted && owner->second != organisation.name)
                    return failure { fmt::format("organisations \"{}\" and \"{}\" share an API key; remove it from one of them", owner->second, organisation.name) };
            }
        }
        return ok();
    }
}

result<void> validateConfiguration(const configuration& candidate)
{
    std::set<std::string> services;
    for (const auto& service : candidate.services) {
        if (!services.insert(service.name).second)
            return failure { fmt::format("service \"{}\" is defined more than once; remove the duplicate", service.name) };
    }
    std::map<std::pair<std::string, std::string>, std::string> routesByPrefix;
    for (const auto& route : candidate.routes) {
        BOOST_OUTCOME_TRYV(checkRoute(route, services));
        auto [existing, inserted] = routesByPrefix.emplace(std::pair(route.host, route.pathPrefix), route.name);
        if (!inserted)
            return failure { fmt::format("routes \"{}\" and \"{}\" have the same host \"{}\" and path prefix \"{}\"; change one of them", existing->second, route.name, route.host, route.pathPrefix) };
    }
    return checkOrganisations(candidate.organisations);
}

} // namespace pistachiolatch
