#include "limits/fallback_limiter.h"

#include <algorithm>

namespace pistachiolatch {

bool fallback_limiter::tryTake(const std::string& limit, double rate, double burst, std::uint64_t tokens, time_point now)
{
    auto [found, isNew] = m_shares.try_emplace(limit, share { burst, now });
    auto& own = found->second;
    auto seconds = std::chrono::duration<double>(now - own.refilledAt).count();
    own.level = std::min(burst, own.level + rate * std::max(0.0, seconds));
    own.refilledAt = now;
    auto needed = static_cast<double>(tokens);
    if (own.level >= needed) {
        own.level -= needed;
        return true;
    }
    // A full share covers the call: it is granted once the share has refilled.
    if (needed <= burst || needed > m_maxCallShares * burst)
        return false;
    bool granted = std::uniform_real_distribution<double>(0, needed)(m_random) < own.level;
    own.level = 0;
    return granted;
}

} // namespace pistachiolatch
