#pragma once
#include "kernel/kernel.h"
#include <map>
#include <random>
#include <string>

namespace pistachiolatch {

/// An entry's equal share of limits, such as those of organisations, while nobody counts the calls of all entries. Load pattern: with hundreds of
/// entries a full share is smaller than one call, and would grant nothing at all. Then a call is granted with the
/// probability that the share covers it, and the share is spent either way: all entries together then grant the sum of
/// their shares on average. A call of more than maxCallShares times the full share is refused: a few entries that each
/// grant one by chance would exceed the organisation's limit by far.
/// Not thread-safe.
class fallback_limiter {
public:
    /// Largest call that a share may cover in part, as a multiple of the share.
    static constexpr double defaultMaxCallShares = 2;

    explicit fallback_limiter(std::uint64_t seed, double maxCallShares = defaultMaxCallShares)
        : m_random(seed)
        , m_maxCallShares(maxCallShares)
    {
    }

    /// Takes tokens from the share of the limit with this name, which refills at `rate` tokens a second and holds `burst` tokens at first
    /// and at most. Returns whether the call is granted.
    bool tryTake(const std::string& limit, double rate, double burst, std::uint64_t tokens, time_point now);

private:
    struct share {
        double level = 0;
        time_point refilledAt {};
    };
    std::mt19937_64 m_random;
    double m_maxCallShares;
    std::map<std::string, share> m_shares;
};

} // namespace pistachiolatch
