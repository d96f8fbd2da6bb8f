#pragma once
#include "kernel/kernel.h"

namespace pistachiolatch {

/// A token bucket whose capacity leaves a margin for grants that are used late. Not thread-safe.
class token_bucket {
public:
    /// Starts empty and begins to fill at `fillStart`, which may be in the future. Units: tokens per second, tokens.
    token_bucket(std::uint64_t rate, std::uint64_t burst, time_point fillStart);

    /// Changes rate and burst; the level is kept but capped at the new capacity.
    void configure(std::uint64_t rate, std::uint64_t burst, time_point now);
    /// Takes the tokens if the level covers them; otherwise leaves the bucket unchanged and returns false.
    bool tryConsume(std::uint64_t tokens, time_point now);
    /// Returns tokens that were granted and not used; the level is capped at the capacity.
    void refund(std::uint64_t tokens, time_point now);
    double level(time_point now);
    std::uint64_t rate() const { return m_rate; }
    /// Time until the bucket holds that many tokens. Precondition: tokens <= capacity().
    milliseconds timeUntilAvailable(std::uint64_t tokens, time_point now);
    /// The largest possible grant: the burst minus the tokens that accrue during a grant's lifetime. A grant may be
    /// used that long after it left the bucket, so with the full burst a window could exceed the limit by this amount.
    std::uint64_t capacity() const { return m_capacity; }
    /// The capacity of a bucket with that rate and burst. Thread-safe.
    static std::uint64_t computeCapacity(std::uint64_t rate, std::uint64_t burst);

private:
    void refill(time_point now);

    std::uint64_t m_rate;
    std::uint64_t m_capacity = 0;
    double m_level = 0;
    time_point m_lastRefill;
};

} // namespace pistachiolatch
