#include "forwarding/endpoint_paths.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Blocked endpoints from which on all are taken for unreachable.
    constexpr std::size_t blockedToBeCutOff = 2;
    /// A failure this old tells nothing about the present links.
    constexpr milliseconds failureLifetime { 3000 };
    /// Between probes of the direct path. A probe is a connection without a request, and the calls are served meanwhile.
    constexpr milliseconds probeInterval { 500 };
}

connection_path endpoint_paths::choose(const std::string& endpoint) const
{
    return m_cutOff || m_blocked.count(endpoint) > 0 ? connection_path::Relay : connection_path::Direct;
}

void endpoint_paths::recordDirectSuccess(const std::string& endpoint)
{
    m_failures.clear();
    // What cut this entry off is over. Endpoints that are still unreachable cost one more failed connection each.
    if (std::exchange(m_cutOff, false))
        m_blocked.clear();
    else
        m_blocked.erase(endpoint);
}

void endpoint_paths::recordDirectFailure(const std::string& endpoint)
{
    m_failures[endpoint] = m_clock.now();
}

bool endpoint_paths::recordReachedByRelay(const std::string& endpoint)
{
    auto now = m_clock.now();
    if (m_blocked.empty())
        m_lastProbeAt = now;
    m_blocked.try_emplace(endpoint, now);
    auto failedLately = std::count_if(m_blocked.begin(), m_blocked.end(), [this](const auto& item) { return m_failures.count(item.first) > 0; });
    bool wasCutOff = m_cutOff;
    m_cutOff = m_cutOff || static_cast<std::size_t>(failedLately) >= blockedToBeCutOff;
    return m_cutOff && !wasCutOff;
}

bool endpoint_paths::suspectsOwnLinks(const std::string& endpoint) const
{
    auto now = m_clock.now();
    return !m_blocked.empty() || std::any_of(m_failures.begin(), m_failures.end(), [&](const auto& item) { return item.first != endpoint && now - item.second < failureLifetime; });
}

std::optional<std::string> endpoint_paths::nextProbe()
{
    auto now = m_clock.now();
    if (m_blocked.empty() || now - m_lastProbeAt < probeInterval)
        return std::nullopt;
    m_lastProbeAt = now;
    auto next = m_blocked.upper_bound(m_lastProbed);
    if (next == m_blocked.end())
        next = m_blocked.begin();
    m_lastProbed = next->first;
    return m_lastProbed;
}

void endpoint_paths::forget(const std::string& endpoint)
{
    m_blocked.erase(endpoint);
    m_failures.erase(endpoint);
    if (m_blocked.empty())
        m_cutOff = false;
}

} // namespace pistachiolatch
