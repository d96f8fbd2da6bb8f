#pragma once
#include <chrono>
#include <ctime>

namespace pistachiolatch {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

/// The time as the process sees it. Passed in, so that a test can drive it.
class clock_source {
public:
    virtual ~clock_source() = default;
    /// Monotonic time. Thread safety: may be called from any thread.
    virtual time_point now() const = 0;
};

/// The machine's monotonic clock.
class steady_clock_source final : public clock_source {
public:
    time_point now() const override { return std::chrono::steady_clock::now(); }
};

/// The time since the VM started, which goes on while the VM is suspended. The machine's steady clock stands still
/// meanwhile; a lease counted by it would outlive its end by as long as the VM slept.
class boottime_clock_source final : public clock_source {
public:
    time_point now() const override
    {
        timespec time {};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    }
};

/// A clock that stands still until it is told to move. Not thread-safe: for tests on one thread.
class manual_clock_source final : public clock_source {
public:
    time_point now() const override { return m_now; }
    /// Moves the clock forward. Precondition: step is not negative.
    void advance(duration step) { m_now += step; }

private:
    time_point m_now { std::chrono::hours(1) };
};

/// Wall-clock time since the Unix epoch, for people and for what must outlive a process. Never for leases or timeouts.
inline milliseconds wallClock()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace pistachiolatch
