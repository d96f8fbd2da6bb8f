#include "scheduling/placement_queue.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Shortest retry delay: about the duration of a call.
    constexpr milliseconds minRetryDelay { 1200 };
    /// Longest retry delay; callers wait only a part of their deadline.
    constexpr milliseconds maxRetryDelay { 4500 };
    /// Share of the completions whose capacity is left to retries.
    constexpr double retryShare = 0.3;
    /// Expected completions required per waiting call: the memory that one call frees is not always enough for the
    /// next.
    constexpr double completionsPerPlacement = 2;
}

std::vector<placement_result> placement_queue::step(engine_planner& planner, time_point now)
{
    std::vector<placement_result> results;
    // Started streams go first: they are cut off unless they are placed soon, while other calls can be retried.
    std::stable_partition(m_waiting.begin(), m_waiting.end(), [](const auto& queued) { return queued.streamStarted; });
    // Waiting calls by service. Later calls must not overtake the first one that waits, or small prompts would starve a
    // large one.
    std::map<std::string, std::size_t> waitingAhead;
    std::erase_if(m_waiting, [&](const auto& queued) {
        auto& ahead = waitingAhead[queued.request.service];
        auto placement = ahead > 0 ? engine_placement { .full = true, .decode = {}, .prefill = {} } : planner.place(queued.entry, queued.request, now);
        if (placement.full && canStartInTime(queued, placement.prefillBusy, ahead, planner, now)) {
            ++ahead;
            return false;
        }
        auto retryAfter = placement.full ? nextRetryDelay(queued.request.service, planner, now) : milliseconds(0);
        results.push_back({ queued.ticket, std::move(placement), retryAfter });
        return true;
    });
    return results;
}

bool placement_queue::canStartInTime(const queued_request& queued, bool prefillBusy, std::size_t waitingAhead, engine_planner& planner, time_point now) const
{
    if (now >= queued.waitDeadline)
        return false;
    if (queued.streamStarted)
        return true;
    auto startBy = std::min(queued.waitDeadline, queued.firstEventDeadline - planner.timeToFirstEvent(queued.request));
    if (now >= startBy)
        return false;
    // Prefills take tenths of a second, so the prefill queue may be short again in time.
    if (prefillBusy)
        return true;
    return planner.expectedCompletions(queued.request.service, startBy - now, now) >= completionsPerPlacement * static_cast<double>(waitingAhead + 1);
}

milliseconds placement_queue::nextRetryDelay(const std::string& service, const engine_planner& planner, time_point now)
{
    constexpr std::chrono::seconds second { 1 };
    auto completionsPerSecond = std::max(1.0, planner.expectedCompletions(service, second, now));
    auto pause = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / (retryShare * completionsPerSecond)));
    auto& last = m_lastRetryTimes[service];
    last = std::clamp(last + pause, now + minRetryDelay, now + maxRetryDelay);
    return std::chrono::duration_cast<milliseconds>(last - now);
}

void placement_queue::removeEntry(const std::string& entry)
{
    std::erase_if(m_waiting, [&](const auto& queued) { return queued.entry == entry; });
}

void placement_queue::clear()
{
    m_waiting.clear();
    m_lastRetryTimes.clear();
}

} // namespace pistachiolatch
