#include "scheduling/endpoint_window.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Changes of the calls ahead with each statement. The endpoint is sooner short of work than out of room.
    constexpr double growth = 0.25;
    constexpr double shrinkage = 0.1;
    /// Share of the slots that may wait at an endpoint, besides one call, before many count as waiting there.
    constexpr double waitingShare = 0.25;
}

void endpoint_window::record(const statement& stated, double placed)
{
    if (stated.slots == 0)
        return;
    if (stated.waiting > 1 + waitingShare * stated.slots)
        m_ahead -= shrinkage;
    else if (stated.running < stated.slots && stated.waiting == 0 && placed >= limit(stated.slots))
        m_ahead += growth;
    m_ahead = std::clamp(m_ahead, static_cast<double>(minAhead), static_cast<double>(std::max(minAhead, stated.slots)));
}

void endpoint_window::recordRefusal(double others)
{
    m_refusedAbove = std::min(m_refusedAbove, others);
}

unsigned endpoint_window::ahead(unsigned slots, double slowdown) const
{
    return std::clamp(static_cast<unsigned>(m_ahead / slowdown), minAhead, std::max(minAhead, slots));
}

unsigned endpoint_window::limit(unsigned slots, double slowdown) const
{
    auto limit = slots + ahead(slots, slowdown);
    // Refusals of fewer calls than any endpoint may have are answered by a backoff.
    if (limit > m_refusedAbove)
        limit = std::max(slots + minAhead, static_cast<unsigned>(m_refusedAbove));
    return limit;
}

} // namespace pistachiolatch
