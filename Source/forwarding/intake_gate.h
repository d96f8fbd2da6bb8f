#pragma once
#include "kernel/kernel.h"
#include <deque>
#include <optional>

namespace pistachiolatch {

/// Decides which new connections an entry takes in. Load pattern: the load balancer sends most new connections of a data centre
/// to one entry. A request that it reads and then fails is lost or late, while one that it turns away unread reaches another
/// entry at the caller's next attempt. What the entry carries is learnt from its own delays: that of its event loop and
/// that of its link. Calls on open connections are never turned away and use the capacity first.
/// Pure; not thread-safe.
class intake_gate {
public:
    /// Whether to take in a connection. The backlog is how long the link needs for the calls in progress.
    bool admit(duration linkBacklog, time_point now);
    /// Whether calls on open connections alone exceed the capacity, so that some of these should be closed after their calls.
    bool shedsOpenConnections(duration linkBacklog) const;
    /// Records that a request was read, on a new or an open connection.
    void recordRead(bool onOpenConnection, time_point now);
    /// Records how late the event loop ran what was due.
    void recordLoopDelay(duration delay, time_point now);
    /// The connections per second that are taken in; empty while they are unlimited.
    std::optional<double> rate() const { return m_rate; }
    duration loopDelay() const { return m_loopDelay; }

private:
    void recordTaken(time_point now);
    /// Requests and new connections that were taken in lately, per second.
    double recentRate(time_point now);
    void refill(time_point now);

    std::optional<double> m_rate;
    /// Connections that may be taken in now; negative if open connections used more than there was.
    double m_tokens = 0;
    time_point m_refilledAt {};
    time_point m_reducedAt {};
    time_point m_refusedAt {};
    time_point m_admittedAt {};
    unsigned m_lateTurns = 0;
    duration m_loopDelay { 0 };
    std::deque<time_point> m_taken;
};

} // namespace pistachiolatch
