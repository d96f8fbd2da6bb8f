#include "scheduling/placement_queue.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// The soonest that a refused caller is told to come back: about as long as a call takes to end.
    constexpr milliseconds leastReturn { 1200 };
    /// The latest; callers wait for no more than a part of their deadline.
    constexpr milliseconds latestReturn { 4500 };
    /// The part of what engines end that is left for callers who come back.
    constexpr double returningShare = 0.3;
    /// Calls that must be expected to end for each that waits: the memory of one that ends does not always fit the next.
    constexpr double endsForEach = 2;
}

std::vector<placement_result> placement_queue::step(engine_planner& planner, time_point now)
{
    std::vector<placement_result> results;
    // A stream that has begun is broken off if it finds no place soon; calls that have not begun can come back.
    std::stable_partition(m_waiting.begin(), m_waiting.end(), [](const auto& one) { return one.streamStarted; });
    // Calls that wait, by service. Those behind the first one that waits must not overtake it, or a large prompt would wait
    // for ever behind small ones.
    std::map<std::string, std::size_t> before;
    std::erase_if(m_waiting, [&](const auto& one) {
        auto& ahead = before[one.request.service];
        auto plan = ahead > 0 ? engine_placement { .full = true, .decode = {}, .prefill = {} } : planner.place(one.entry, one.request, now);
        if (plan.full && hasHope(one, plan.prefillBusy, ahead, planner, now)) {
            ++ahead;
            return false;
        }
        auto retryAfter = plan.full ? comeBack(one.request.service, planner, now) : milliseconds(0);
        results.push_back({ one.ticket, std::move(plan), retryAfter });
        return true;
    });
    return results;
}

bool placement_queue::hasHope(const queued_request& question, bool prefillBusy, std::size_t before, engine_planner& planner, time_point now) const
{
    if (now >= question.waitDeadline)
        return false;
    if (question.streamStarted)
        return true;
    auto startBy = std::min(question.waitDeadline, question.firstEventDeadline - planner.timeToFirstEvent(question.request));
    if (now >= startBy)
        return false;
    // Prompts are read within tenths of a second; what comes of the queue before a reader shows then.
    if (prefillBusy)
        return true;
    return planner.expectedEnds(question.request.service, startBy - now, now) >= endsForEach * static_cast<double>(before + 1);
}

milliseconds placement_queue::comeBack(const std::string& service, const engine_planner& planner, time_point now)
{
    constexpr std::chrono::seconds second { 1 };
    auto endsASecond = std::max(1.0, planner.expectedEnds(service, second, now));
    auto pause = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / (returningShare * endsASecond)));
    auto& last = m_lastReturn[service];
    last = std::clamp(last + pause, now + leastReturn, now + latestReturn);
    return std::chrono::duration_cast<milliseconds>(last - now);
}

void placement_queue::removeEntry(const std::string& entry)
{
    std::erase_if(m_waiting, [&](const auto& one) { return one.entry == entry; });
}

void placement_queue::clear()
{
    m_waiting.clear();
    m_lastReturn.clear();
}

} // namespace pistachiolatch
