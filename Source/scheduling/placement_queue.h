#pragma once
#include "scheduling/engine_planner.h"
#include <deque>

namespace pistachiolatch {

/// A model call that waits for placement.
struct queued_request {
    /// Identifies the request in its placement_result.
    std::uint64_t ticket = 0;
    std::string entry;
    placement_request request;
    /// When the entry stops waiting for a placement.
    time_point waitDeadline;
    /// When the first event is due by the latency target.
    time_point firstEventDeadline;
    /// Whether the caller has received part of the answer.
    bool streamStarted = false;
};

/// The outcome of a queued request.
struct placement_result {
    std::uint64_t ticket = 0;
    engine_placement placement;
    /// When the caller should retry; set only if the engines are full.
    milliseconds retryAfter { 0 };
};

/// Queue of calls that wait for engines with capacity. Load pattern: bursts of twice what the engines hold. A call
/// that waits until its deadline in vain, or starts too late for its latency target, is of little use to its caller
/// and takes the place of one that would be in time. So a call waits only while it can be expected to start in time,
/// and is refused at once when the calls ahead of it use up all capacity that will be free by then. Refused callers
/// get staggered retry times, at the rate at which calls complete: with equal retry times they would form the next
/// burst.
/// Pure; not thread-safe.
class placement_queue {
public:
    void add(queued_request request) { m_waiting.push_back(std::move(request)); }
    /// Places requests where there is capacity and refuses those that can't start in time.
    std::vector<placement_result> step(engine_planner& planner, time_point now);
    void removeEntry(const std::string& entry);
    void clear();
    bool empty() const { return m_waiting.empty(); }

private:
    bool canStartInTime(const queued_request& queued, bool prefillBusy, std::size_t waitingAhead, engine_planner& planner, time_point now) const;
    milliseconds nextRetryDelay(const std::string& service, const engine_planner& planner, time_point now);

    std::deque<queued_request> m_waiting;
    /// The latest retry time that was given to a caller, by service.
    std::map<std::string, time_point> m_lastRetryTimes;
};

} // namespace pistachiolatch
