#pragma once
#include "routing/routing.h"
#include <map>
#include <set>

namespace pistachiolatch {

/// The services to which each route of resumable streams has led lately, also by configurations that were replaced. Tells which
/// services may have begun a stream whose entry has another configuration than the one that placed it. Pure; not thread-safe.
class route_service_history {
public:
    /// Identifies a route by the requests that it gets, since names may change. Thread safety: any thread.
    static std::string keyOf(const route_config& route) { return route.host + route.pathPrefix; }

    /// Handles the newest configuration.
    void setConfiguration(const configuration& current, time_point now);
    /// The services that got requests of the route in the last `maxAge`, also by routes with longer or shorter prefixes.
    std::set<std::string> servicesOf(const std::string& key, milliseconds maxAge, time_point now) const;

private:
    static constexpr time_point inForce = time_point::max();

    /// When each service of a route was last in force.
    std::map<std::string, std::map<std::string, time_point>> m_routes;
};

} // namespace pistachiolatch
