#include "coordination/route_service_history.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Entries that are out of touch place streams by a replaced configuration until their leases expire.
    constexpr milliseconds replacedUse { 10000 };
    /// Streams don't last longer.
    constexpr milliseconds retention { std::chrono::minutes(10) };
}

void route_service_history::setConfiguration(const configuration& current, time_point now)
{
    for (auto& [route, services] : m_routes) {
        for (auto& [service, lastInForce] : services)
            lastInForce = std::min(lastInForce, now);
        std::erase_if(services, [&](const auto& item) { return now - item.second > retention; });
    }
    std::erase_if(m_routes, [](const auto& item) { return item.second.empty(); });
    for (const auto& route : current.routes) {
        if (route.kind != call_kind::Stream || !route.resumable)
            continue;
        for (const auto& target : route.services) {
            if (target.weight > 0)
                m_routes[keyOf(route)][target.service] = inForce;
        }
    }
}

std::set<std::string> route_service_history::servicesOf(const std::string& key, milliseconds maxAge, time_point now) const
{
    std::set<std::string> services;
    // Entries of earlier versions name no route.
    if (key.empty())
        return services;
    for (const auto& [route, targets] : m_routes) {
        if (route.rfind(key, 0) != 0 && key.rfind(route, 0) != 0)
            continue;
        for (const auto& [service, lastInForce] : targets) {
            if (lastInForce == inForce || now - lastInForce <= maxAge + replacedUse)
                services.insert(service);
        }
    }
    return services;
}

} // namespace pistachiolatch
