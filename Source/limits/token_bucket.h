#pragma once
#include "kernel/kernel.h"

namespace pistachiolatch {

/// A token bucket that keeps a reserve for grants used late. Not thread-safe.
class token_bucket {
public:
    /// Starts empty and fills from a moment that may lie ahead. Units: tokens, tokens a second.
    token_bucket(std::uint64_t rate, std::uint64_t burst, time_point fillFrom);

    /// Changes rate and burst, keeping the level as far as the new burst allows.
    void configure(std::uint64_t rate, std::uint64_t burst, time_point now);
    /// Takes the tokens if they are there.
    bool tryConsume(std::uint64_t tokens, time_point now);
    /// Puts back tokens that were granted and not used; the level stays within the burst.
    void refund(std::uint64_t tokens, time_point now);
    double level(time_point now);
    std::uint64_t rate() const { return m_rate; }
    /// How long until that many tokens are there. Precondition: tokens <= capacity().
    milliseconds waitFor(std::uint64_t tokens, time_point now);
    /// The most that one grant can hold: burst less the rate over a grant's lifetime. A grant may be used its
    /// lifetime after it left the bucket, so without the reserve a window could see the burst and that much more.
    std::uint64_t capacity() const { return m_capacity; }
    /// The capacity that a bucket of that rate and burst has. Thread safety: any thread.
    static std::uint64_t computeCapacity(std::uint64_t rate, std::uint64_t burst);

private:
    void refill(time_point now);

    std::uint64_t m_rate;
    std::uint64_t m_capacity = 0;
    double m_level = 0;
    time_point m_filledAt;
};

} // namespace pistachiolatch
