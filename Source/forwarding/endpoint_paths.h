#pragma once
#include "kernel/kernel.h"
#include <map>
#include <optional>
#include <string>

namespace pistachiolatch {

/// How a new connection to an endpoint is opened.
enum class connection_path {
    Direct,
    /// Through another entry, because this one doesn't reach the endpoint.
    Relay,
};

/// Decides on which path a new connection to an endpoint is opened. An endpoint that another entry reached after this one
/// had failed is blocked: only the link between this entry and the endpoint is broken. Once several endpoints are blocked
/// and no direct connection has succeeded since, the entry counts as cut off from all endpoints, also from those that it
/// has not tried. One silent endpoint is no evidence of that. Direct connections that are open already don't count:
/// a partition may leave them alone and only refuse new ones.
/// Not thread-safe.
class endpoint_paths {
public:
    explicit endpoint_paths(const clock_source& clock)
        : m_clock(clock)
    {
    }

    connection_path choose(const std::string& endpoint) const;
    /// Records that a direct connection was opened.
    void recordDirectSuccess(const std::string& endpoint);
    /// Records that a direct connection could not be opened.
    void recordDirectFailure(const std::string& endpoint);
    /// Records that another entry reached an endpoint after this one had failed to. Returns whether the entry counts as
    /// cut off from now on.
    bool recordReachedByRelay(const std::string& endpoint);
    /// Whether an endpoint that could not be reached is worth the wait for another entry's attempt: other endpoints
    /// could not be reached either.
    bool suspectsOwnLinks(const std::string& endpoint) const;
    bool isCutOff() const { return m_cutOff; }
    bool isBlocked(const std::string& endpoint) const { return m_blocked.count(endpoint) > 0; }
    std::size_t blockedCount() const { return m_blocked.size(); }
    /// The endpoint to which a direct connection should be tried now, to notice when the links work again. Each call
    /// returns another one; empty if none is due.
    std::optional<std::string> nextProbe();
    /// Forgets an endpoint that no longer exists.
    void forget(const std::string& endpoint);

private:
    const clock_source& m_clock;
    /// When another entry first reached the endpoint after this one had failed.
    std::map<std::string, time_point> m_blocked;
    /// The last failure by endpoint, since the last direct connection to any.
    std::map<std::string, time_point> m_failures;
    time_point m_lastProbeAt {};
    std::string m_lastProbed;
    bool m_cutOff = false;
};

} // namespace pistachiolatch
