#include "forwarding/intake_gate.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Prompts that wait longer for the link make their calls late, and hold places at endpoints meanwhile.
    constexpr milliseconds maxLinkBacklog { 150 };
    /// With no new connections, the backlog stays below this unless open connections alone exceed what the link carries.
    constexpr milliseconds openConnectionsBacklog { 250 };
    /// The same for the event loop: how far calls on open connections go beyond the rate, as a time at that rate.
    constexpr milliseconds openConnectionsExcess { 100 };
    /// A call passes the event loop several times, and plain calls have latency targets of about 100 ms.
    constexpr milliseconds maxLoopDelay { 25 };
    /// A longer delay means that the process was suspended.
    constexpr milliseconds maxSuspension { 750 };
    /// A single late turn may be a long computation, such as that of a new configuration.
    constexpr unsigned lateTurnsToReduce = 2;
    constexpr milliseconds reduceInterval { 100 };
    constexpr double reduceFactor = 0.8;
    constexpr double growthPerSecond = 0.5;
    constexpr double addedPerSecond = 5;
    constexpr double minRate = 5;
    constexpr milliseconds burst { 50 };
    /// Without a refusal for this long, the limit is lifted.
    constexpr milliseconds limitLifetime { 1500 };
    constexpr milliseconds rateWindow { 250 };
    /// A connection is taken in after this long whatever the load, for an entry that is ready has to serve new callers too.
    constexpr milliseconds maxRefusalTime { 500 };

    double toSeconds(duration time)
    {
        return std::chrono::duration<double>(time).count();
    }
}

void intake_gate::recordTaken(time_point now)
{
    m_taken.push_back(now);
    while (now - m_taken.front() > rateWindow)
        m_taken.pop_front();
}

double intake_gate::recentRate(time_point now)
{
    while (!m_taken.empty() && now - m_taken.front() > rateWindow)
        m_taken.pop_front();
    return static_cast<double>(m_taken.size()) / toSeconds(rateWindow);
}

void intake_gate::refill(time_point now)
{
    auto elapsed = toSeconds(now - m_refilledAt);
    m_refilledAt = now;
    if (!m_rate)
        return;
    if (now - std::max(m_refusedAt, m_reducedAt) > limitLifetime) {
        m_rate.reset();
        return;
    }
    *m_rate += (growthPerSecond * *m_rate + addedPerSecond) * elapsed;
    m_tokens = std::min(m_tokens + *m_rate * elapsed, std::max(1.0, *m_rate * toSeconds(burst)));
}

bool intake_gate::admit(duration linkBacklog, time_point now)
{
    refill(now);
    bool hasRoom = linkBacklog <= maxLinkBacklog && (!m_rate || m_tokens >= 1);
    if (!hasRoom && now - m_admittedAt < maxRefusalTime) {
        if (m_rate && m_tokens < 1)
            m_refusedAt = now;
        return false;
    }
    m_admittedAt = now;
    m_tokens -= m_rate ? 1 : 0;
    recordTaken(now);
    return true;
}

bool intake_gate::shedsOpenConnections(duration linkBacklog) const
{
    return linkBacklog > openConnectionsBacklog || (m_rate && m_tokens < -*m_rate * toSeconds(openConnectionsExcess));
}

void intake_gate::recordRead(bool onOpenConnection, time_point now)
{
    if (!onOpenConnection)
        return;
    refill(now);
    recordTaken(now);
    if (m_rate)
        m_tokens = std::max(m_tokens - 1, -*m_rate * toSeconds(rateWindow));
}

void intake_gate::recordLoopDelay(duration delay, time_point now)
{
    if (delay > maxSuspension)
        return;
    m_loopDelay = delay;
    if (delay <= maxLoopDelay) {
        m_lateTurns = 0;
        return;
    }
    if (++m_lateTurns < lateTurnsToReduce || now - m_reducedAt < reduceInterval)
        return;
    refill(now);
    auto taken = recentRate(now);
    if (!m_rate)
        m_tokens = 0;
    m_rate = std::max(minRate, reduceFactor * (m_rate ? std::min(*m_rate, taken) : taken));
    m_reducedAt = now;
}

} // namespace pistachiolatch
