#include "limits/outage_backoff.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// An election alone takes about a second; after a restart of all control processes it takes twice that.
    constexpr milliseconds minOutage { 2000 };
    /// No time promises more than a guess beyond this.
    constexpr milliseconds maxDelay { 4000 };
    constexpr milliseconds minDelay { 600 };
    /// Callers come back over this time.
    constexpr milliseconds spread { 1000 };
}

void outage_backoff::recordSilence(time_point now)
{
    if (m_since == time_point {})
        m_since = now;
}

milliseconds outage_backoff::retryAfter(time_point now)
{
    auto elapsed = m_since == time_point {} ? duration(0) : now - m_since;
    auto expected = std::max<duration>(minOutage - elapsed, elapsed);
    auto delay = std::clamp(std::chrono::duration_cast<milliseconds>(expected), minDelay, maxDelay);
    return delay + milliseconds(std::uniform_int_distribution<std::int64_t>(0, spread.count())(m_random));
}

} // namespace pistachiolatch
