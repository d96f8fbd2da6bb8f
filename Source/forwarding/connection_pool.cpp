#include "forwarding/connection_pool.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Idle time allowed where the endpoint names none.
    constexpr milliseconds usualIdle { 3000 };
    /// The most that is used of what the endpoint names: it counts from when it sent, and may be early.
    constexpr int idleTenths = 6;
    /// Connections to one endpoint that are kept idle; a burst's others are closed, since endpoints have few places.
    constexpr std::size_t mostIdle = 8;
    /// Idle time allowed before a call that must not run twice.
    constexpr milliseconds idleForOnce { 1200 };
}

std::shared_ptr<endpoint_connection> connection_pool::take(const std::string& endpointId, bool mayBeRepeated)
{
    auto found = m_idle.find(endpointId);
    if (found == m_idle.end())
        return nullptr;
    auto now = m_clock.now();
    auto& waiting = found->second;
    while (!waiting.empty()) {
        auto one = std::move(waiting.back());
        waiting.pop_back();
        auto allowed = mayBeRepeated ? one->idleAllowed : std::min(one->idleAllowed, idleForOnce);
        if (now - one->idleSince < allowed && one->stillQuiet())
            return one;
        one->close();
    }
    m_idle.erase(found);
    return nullptr;
}

void connection_pool::put(const std::string& endpointId, std::shared_ptr<endpoint_connection> connection, std::optional<std::chrono::seconds> keepAlive)
{
    auto& waiting = m_idle[endpointId];
    if (waiting.size() >= mostIdle) {
        connection->close();
        return;
    }
    connection->idleSince = m_clock.now();
    connection->idleAllowed = keepAlive ? std::min(usualIdle, milliseconds(*keepAlive) * idleTenths / 10) : usualIdle;
    waiting.push_back(std::move(connection));
}

void connection_pool::dropStale()
{
    auto now = m_clock.now();
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto& waiting = it->second;
        std::erase_if(waiting, [&](const auto& one) {
            if (now - one->idleSince < one->idleAllowed)
                return false;
            one->close();
            return true;
        });
        it = waiting.empty() ? m_idle.erase(it) : std::next(it);
    }
}

std::size_t connection_pool::size() const
{
    std::size_t all = 0;
    for (const auto& [id, waiting] : m_idle)
        all += waiting.size();
    return all;
}

} // namespace pistachiolatch
