#pragma once
#include "routing/routing.h"
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pistachiolatch {

/// Since when requests go to the services that they go to now. Pure; not thread-safe.
class route_history {
public:
    /// Handles a new configuration.
    void onConfiguration(const std::vector<route_config>& routes, time_point now);
    /// Whether no stream that began in the last `maxAge` can have gone to a service that its route doesn't name now. Streams of
    /// the configuration before began a little later than this one was accepted, until entries applied it.
    bool isSettled(milliseconds maxAge, time_point now) const;

private:
    /// Host and path prefix.
    using route_key = std::pair<std::string, std::string>;
    using service_map = std::map<route_key, std::set<std::string>>;

    bool movesRequests(const service_map& routes) const;

    service_map m_routes;
    /// When requests last went to other services.
    time_point m_movedAt {};
};

} // namespace pistachiolatch
