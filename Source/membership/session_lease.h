#pragma once
#include "kernel/kernel.h"
#include <atomic>

namespace pistachiolatch {

/// How long a process may act on the last state received from the control leader.
constexpr milliseconds entryLease { 2500 };
constexpr milliseconds schedulerLease { 1500 };
constexpr milliseconds sessionHeartbeat { 250 };
/// Added by the leader before it treats a lease as expired, to allow for clock drift.
constexpr milliseconds leaseMargin { 250 };

/// The holder's side of a process's lease from control. The holder counts the lease from when it sent the heartbeat,
/// the leader from when it received it, so the holder always stops first.
/// Thread safety: isValid() from any thread, the rest from one thread.
class session_lease {
public:
    /// Extends the lease after the grant for a heartbeat sent at `sentAt`. Never shortens it.
    void renew(time_point sentAt, milliseconds lifetime)
    {
        auto expiresAt = (sentAt + lifetime).time_since_epoch().count();
        if (expiresAt > m_expiresAt.load())
            m_expiresAt.store(expiresAt);
    }
    /// Ends the lease early.
    void release() { m_expiresAt.store(0); }
    bool isValid(time_point now) const { return now.time_since_epoch().count() < m_expiresAt.load(); }

private:
    std::atomic<duration::rep> m_expiresAt { 0 };
};

} // namespace pistachiolatch
