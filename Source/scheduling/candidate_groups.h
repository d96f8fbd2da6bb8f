#pragma once
#include "scheduling/circuit_breaker.h"
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Endpoints that a call could use, by health.
template <typename Endpoint>
struct candidate_groups {
    std::vector<Endpoint*> healthy;
    std::vector<Endpoint*> failing;
    /// Endpoints that recently failed at the entry that asks.
    std::vector<Endpoint*> avoided;

    void add(Endpoint& candidate, const std::string& id, const std::set<std::string>& avoid, const circuit_breaker& breaker, time_point now)
    {
        if (avoid.count(id))
            avoided.push_back(&candidate);
        else
            (breaker.allows(id, now) ? healthy : failing).push_back(&candidate);
    }

    /// The endpoints to choose from. If most fail, the cause is elsewhere, and the remaining ones would be overloaded. Avoided
    /// endpoints are used only if there is no other; otherwise the call waits for a healthy one.
    std::vector<Endpoint*> preferred() const
    {
        auto chosen = healthy;
        if (failing.size() > healthy.size())
            chosen.insert(chosen.end(), failing.begin(), failing.end());
        return chosen.empty() ? avoided : chosen;
    }
};

} // namespace pistachiolatch
