#include "routing/configuration_check.h"

#include <map>
#include <set>

namespace pistachiolatch {

namespace {
    result<void> checkRoute(const route_config& route, const std::set<std::string>& services)
    {
        if (route.timeout <= milliseconds(0))
            return failure { fmt::format("route \"{}\": its timeout is 0; give it a time in milliseconds", route.name) };
        if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/')
            return failure { fmt::format("route \"{}\": its path prefix \"{}\" must begin and end with a slash", route.name, route.pathPrefix) };
        unsigned long total = 0;
        for (const auto& target : route.services) {
            if (!services.count(target.service))
                return failure { fmt::format("route \"{}\": service \"{}\" is not in the configuration; add it or name another", route.name, target.service) };
            total += target.weight;
        }
        if (total == 0)
            return failure { fmt::format("route \"{}\": its weights add up to 0; give at least one service a weight", route.name) };
        return ok();
    }

    result<void> checkOrganisations(const std::vector<organisation_config>& organisations)
    {
        std::map<std::string, std::string> holders;
        std::set<std::string> names;
        for (const auto& one : organisations) {
            if (!names.insert(one.name).second)
                return failure { fmt::format("organisation \"{}\" is there twice; keep one", one.name) };
            for (const auto& key : one.keys) {
                auto [held, fresh] = holders.emplace(key, one.name);
                // Which of the two a call counts for would be left to chance.
                if (!fresh && held->second != one.name)
                    return failure { fmt::format("organisations \"{}\" and \"{}\" share a key; withdraw it from one", held->second, one.name) };
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
            return failure { fmt::format("service \"{}\" is there twice; keep one", service.name) };
    }
    std::map<std::pair<std::string, std::string>, std::string> places;
    for (const auto& route : candidate.routes) {
        BOOST_OUTCOME_TRYV(checkRoute(route, services));
        auto [place, fresh] = places.emplace(std::pair(route.host, route.pathPrefix), route.name);
        if (!fresh)
            return failure { fmt::format("routes \"{}\" and \"{}\" share host \"{}\" and prefix \"{}\"; change one", place->second, route.name, route.host, route.pathPrefix) };
    }
    return checkOrganisations(candidate.organisations);
}

} // namespace pistachiolatch
