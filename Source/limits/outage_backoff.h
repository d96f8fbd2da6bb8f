#pragma once
#include "kernel/kernel.h"
#include <random>

namespace pistachiolatch {

/// Chooses when callers come back who were refused because the owner of the limits doesn't reply. Load pattern: all control
/// VMs are gone for seconds, while endpoints are free and every caller is refused. Callers who come back too early are
/// refused for good, since most try only once more; those who all come back at one time are the next burst.
/// Pure; not thread-safe.
class outage_backoff {
public:
    explicit outage_backoff(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Records that the owner replied.
    void recordReply() { m_since = {}; }
    /// Records that the owner did not reply, or that none is known.
    void recordSilence(time_point now);
    /// When a caller refused now should come back: once an outage as long as this one so far has passed again, at least as
    /// long as control processes take to start and elect a leader, and spread.
    milliseconds retryAfter(time_point now);

private:
    std::mt19937_64 m_random;
    /// When the owner fell silent; zero while it replies.
    time_point m_since {};
};

} // namespace pistachiolatch
