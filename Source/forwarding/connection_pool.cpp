#include "forwarding/connection_pool.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Idle timeout if the endpoint announces none; also the maximum.
    constexpr milliseconds defaultIdleTimeout { 3000 };
    /// Fraction of the announced timeout that is used: the endpoint counts from when it sent the response and may close
    /// early.
    constexpr int keepAliveTenths = 6;
    /// Idle connections kept per endpoint; more, left over from a burst, are closed because endpoints have few slots.
    constexpr std::size_t maxIdlePerEndpoint = 8;
    /// Maximum idle time of a connection that is reused for a non-idempotent call.
    constexpr milliseconds maxIdleTimeNonIdempotent { 1200 };
}

std::shared_ptr<endpoint_connection> connection_pool::acquire(const std::string& endpointId, const std::string& requestId, bool idempotent)
{
    auto found = m_idle.find(endpointId);
    if (found == m_idle.end())
        return nullptr;
    auto now = m_clock.now();
    auto& idle = found->second;
    std::shared_ptr<endpoint_connection> acquired;
    for (auto i = idle.size(); i-- > 0 && !acquired;) {
        auto connection = idle[i];
        if (connection->hasCarried(requestId))
            continue;
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
        auto maxIdle = idempotent ? connection->maxIdleTime : std::min(connection->maxIdleTime, maxIdleTimeNonIdempotent);
        if (now - connection->idleSince < maxIdle && connection->isOpenAndIdle())
            acquired = std::move(connection);
        else
            connection->close();
    }
    if (idle.empty())
        m_idle.erase(found);
    return acquired;
}

void connection_pool::release(const std::string& endpointId, std::shared_ptr<endpoint_connection> connection, std::optional<std::chrono::seconds> keepAlive)
{
    // An idle connection through another entry would keep that entry from shutting down.
    bool isRelayed = !connection->relayAddress().empty();
    auto& idle = m_idle[endpointId];
    if (isRelayed || idle.size() >= maxIdlePerEndpoint) {
        connection->close();
        return;
    }
    connection->idleSince = m_clock.now();
    connection->maxIdleTime = keepAlive ? std::min(defaultIdleTimeout, milliseconds(*keepAlive) * keepAliveTenths / 10) : defaultIdleTimeout;
    idle.push_back(std::move(connection));
}

void connection_pool::discard(const std::string& endpointId)
{
    auto found = m_idle.find(endpointId);
    if (found == m_idle.end())
        return;
    for (const auto& connection : found->second)
        connection->close();
    m_idle.erase(found);
}

void connection_pool::closeExpired()
{
    auto now = m_clock.now();
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto& idle = it->second;
        std::erase_if(idle, [&](const auto& connection) {
            if (now - connection->idleSince < connection->maxIdleTime)
                return false;
            connection->close();
            return true;
        });
        it = idle.empty() ? m_idle.erase(it) : std::next(it);
    }
}

std::size_t connection_pool::size() const
{
    std::size_t count = 0;
    for (const auto& [id, idle] : m_idle)
        count += idle.size();
    return count;
}

} // namespace pistachiolatch
