#pragma once
#include "scheduling/engine_planner.h"
#include <deque>

namespace pistachiolatch {

/// A model call that asks for places.
struct queued_request {
    /// Names the question towards the one who asked.
    std::uint64_t ticket = 0;
    std::string entry;
    placement_request request;
    /// Until when the one who asked waits.
    time_point waitDeadline;
    /// Until when a first event is as good as it gets.
    time_point firstEventDeadline;
    /// Whether the caller has a part of the answer already.
    bool streamStarted = false;
};

/// What became of a question.
struct placement_result {
    std::uint64_t ticket = 0;
    engine_placement placement;
    /// When the caller should come back; meant only where the engines are full.
    milliseconds retryAfter { 0 };
};

/// Calls that wait for engines with room. Load pattern: bursts of twice what the engines hold. A call that waits to the
/// end of its patience in vain, or that starts too late for its target, is worth little to its caller and takes the place of
/// one that would be in time; so a call waits only while it can be expected to start in time, and is refused at once when
/// the calls before it alone use up all that will be free by then. Those refused are told to come back one after the other,
/// at the pace at which engines end calls: all told the same, they make the next burst.
/// Pure; not thread-safe.
class placement_queue {
public:
    void add(queued_request question) { m_waiting.push_back(std::move(question)); }
    /// Places what can be placed and refuses what has no hope.
    std::vector<placement_result> step(engine_planner& planner, time_point now);
    void removeEntry(const std::string& entry);
    void clear();
    bool empty() const { return m_waiting.empty(); }

private:
    bool hasHope(const queued_request& question, bool prefillBusy, std::size_t before, engine_planner& planner, time_point now) const;
    milliseconds comeBack(const std::string& service, const engine_planner& planner, time_point now);

    std::deque<queued_request> m_waiting;
    /// When the caller who was refused last is to come back, by service.
    std::map<std::string, time_point> m_lastReturn;
};

} // namespace pistachiolatch
