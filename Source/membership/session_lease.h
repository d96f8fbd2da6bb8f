#pragma once
#include "kernel/kernel.h"
#include <atomic>

namespace pistachiolatch {

/// How long a process may act on what the control leader last told it.
constexpr milliseconds entryLease { 2500 };
constexpr milliseconds schedulerLease { 1500 };
constexpr milliseconds sessionHeartbeat { 250 };
/// What the leader adds to a lease before it counts it as run out, for clocks that run at different speeds.
constexpr milliseconds leaseMargin { 250 };

/// A process's own side of its lease with control. Its end counts from when the heartbeat was sent, the leader's
/// from when it came: the holder always stops first.
/// Thread safety: any thread may ask; one thread renews.
class session_lease {
public:
    /// Takes in a grant for a heartbeat that was sent at that time.
    void renew(time_point sentAt, milliseconds length)
    {
        auto until = (sentAt + length).time_since_epoch().count();
        if (until > m_until.load())
            m_until.store(until);
    }
    /// Ends the lease early.
    void release() { m_until.store(0); }
    bool isValid(time_point now) const { return now.time_since_epoch().count() < m_until.load(); }

private:
    std::atomic<duration::rep> m_until { 0 };
};

} // namespace pistachiolatch
