#include "scheduling/call_limit_gate.h"

#include <algorithm>
#include <cmath>

namespace pistachiolatch {

namespace {
    constexpr double maxBurst = 2;
    /// Only an answer tells that a limit is withdrawn, so an endpoint that names a limit of zero still gets a call at times.
    constexpr double minCallsPerSecond = 0.25;
    /// Covers the sums of floating-point shares that should make a whole call.
    constexpr double roundingError = 1e-6;

    double toSeconds(duration time)
    {
        return std::chrono::duration<double>(time).count();
    }
}

void call_limit_gate::update(const wire::endpoint_row& row)
{
    const auto& id = row.report().id();
    if (!row.limited())
        m_limits.erase(id);
    else
        m_limits[id].callsPerSecond = std::max(minCallsPerSecond, row.calls_per_second());
}

double call_limit_gate::availableAt(const call_limit& limit, time_point now)
{
    // A limit that was not used yet starts without the calls of an earlier time, which another leader may have placed.
    if (limit.updatedAt == time_point {})
        return limit.available;
    return std::min(maxBurst, limit.available + limit.callsPerSecond * std::max(0.0, toSeconds(now - limit.updatedAt)));
}

bool call_limit_gate::allows(const std::string& endpoint, time_point now) const
{
    auto found = m_limits.find(endpoint);
    return found == m_limits.end() || availableAt(found->second, now) + roundingError >= 1;
}

void call_limit_gate::onSent(const std::string& endpoint, time_point now)
{
    auto found = m_limits.find(endpoint);
    if (found == m_limits.end())
        return;
    found->second.available = availableAt(found->second, now) - 1;
    found->second.updatedAt = now;
}

double call_limit_gate::expectedCalls(const std::string& endpoint, duration within, time_point now) const
{
    auto found = m_limits.find(endpoint);
    if (found == m_limits.end())
        return 0;
    // Parts of calls of several endpoints make no call: one that waited for them would be refused late.
    return std::max(0.0, std::floor(availableAt(found->second, now) + found->second.callsPerSecond * toSeconds(within) + roundingError));
}

} // namespace pistachiolatch
