#pragma once
#include <chrono>
#include <ctime>

namespace pistachiolatch {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

/// Interface to a monotonic clock. Injected, so that tests can control time.
class clock_source {
public:
    virtual ~clock_source() = default;
    /// Returns the monotonic time. Thread safety: may be called from any thread.
    virtual time_point now() const = 0;
};

/// Monotonic clock that stops while the VM is suspended.
class steady_clock_source final : public clock_source {
public:
    time_point now() const override { return std::chrono::steady_clock::now(); }
};

/// Time since boot, including time during which the VM is suspended. A lease measured with the steady clock, which
/// stops during suspension, would be held past its expiry for as long as the suspension lasted.
class boottime_clock_source final : public clock_source {
public:
    time_point now() const override
    {
        timespec time {};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    }
};

/// Clock that only moves when advanced. Not thread-safe: for single-threaded tests.
class manual_clock_source final : public clock_source {
public:
    time_point now() const override { return m_now; }
    /// Moves the clock forward. Precondition: step is not negative.
    void advance(duration step) { m_now += step; }

private:
    time_point m_now { std::chrono::hours(1) };
};

/// Returns the wall-clock time since the Unix epoch, for display and for timestamps that outlive the process. Not for
/// leases or timeouts: the wall clock can jump.
inline milliseconds wallClock()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace pistachiolatch
