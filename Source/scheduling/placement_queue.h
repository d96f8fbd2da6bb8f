#pragma once
#include "kernel/kernel.h"
#include "scheduling/placement_types.h"
#include <algorithm>
#include <concepts>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace pistachiolatch {

/// A call that waits for placement.
struct queued_request {
    /// Identifies the request in its placement_result.
    std::uint64_t ticket = 0;
    std::string entry;
    /// Empty if the call belongs to no organisation.
    std::string organisation;
    /// Calls with lower values are more urgent.
    unsigned priority = 0;
    placement_request request;
    /// When the entry stops waiting for a placement.
    time_point waitDeadline;
    /// When the first event is due by the latency target.
    time_point firstEventDeadline;
    /// When the caller stops waiting for the whole answer.
    time_point deadline = time_point::max();
    /// Hash of the caller's request, which recognises it when it comes back after a refusal; 0 if unknown.
    std::uint64_t fingerprint = 0;
    /// Whether the caller has received part of the answer.
    bool streamStarted = false;
};

/// The outcome of a queued request.
struct placement_result {
    std::uint64_t ticket = 0;
    engine_placement placement;
    /// When the caller should retry; set only if the endpoints are full.
    milliseconds retryAfter { 0 };
    /// Empty if the call belongs to no organisation.
    std::string organisation;
    /// How long the call was in the queue.
    duration waited { 0 };
};

/// Chooses endpoints for calls and predicts when they are free.
template <typename T>
concept placement_planner = requires(T& planner, const std::string& text, const placement_request& request, duration within, time_point now)
{
    {
        planner.place(text, request, now)
        } -> std::same_as<engine_placement>;
    {
        planner.timeToFirstEvent(request)
        } -> std::same_as<duration>;
    {
        planner.chanceToFinish(request, within)
        } -> std::same_as<double>;
    {
        planner.expectedCompletions(text, within, now)
        } -> std::same_as<double>;
    {
        planner.hasEndpoints(request)
        } -> std::same_as<bool>;
    {
        T::completionsPerPlacement
        } -> std::convertible_to<double>;
    {
        T::minRetryDelay
        } -> std::convertible_to<milliseconds>;
};

/// Queue of calls that wait for endpoints with capacity. Load pattern: bursts of twice what the endpoints hold. A call
/// that waits until its deadline in vain, or starts too late for its latency target, is of little use to its caller
/// and takes the place of one that would be in time. So a call waits only while it can be expected to start in time,
/// and is refused at once when the calls ahead of it use up all capacity that will be free by then. Refused callers
/// get staggered retry times, at the rate at which calls complete: with equal retry times they would form the next
/// burst.
/// On slow engines an answer may take longer than its caller waits. While calls are refused for lack of capacity, those that
/// will probably not finish are refused first: they would hold memory until their deadline in vain, longer than others need.
/// Started streams go first. Callers that come back after a refusal go before all others within a fixed share of the work,
/// and after them beyond it: they have missed their targets, so serving them first would make every other call late too.
/// Organisations share the rest fairly, by the work of their calls, so that one that floods a service lengthens only its
/// own queue.
/// All of this holds among calls of one priority. Started streams apart, more urgent calls go first, so that a burst of
/// patient calls doesn't make callers late who wait for their answers. Patient calls keep a fixed share of the work, or a
/// steady load of urgent ones would starve them.
/// A stream that was begun waits only for endpoints of its software version. Calls that may use any version don't wait behind
/// it, but leave those endpoints to it: they would take each place that becomes free there, and a version that is being
/// replaced has few.
/// Pure; not thread-safe.
template <placement_planner Planner>
class placement_queue {
public:
    void add(queued_request request, time_point now);
    /// Places requests where there is capacity and refuses those that can't start in time.
    std::vector<placement_result> step(Planner& planner, time_point now);
    void removeEntry(const std::string& entry);
    void clear();
    bool empty() const { return m_waiting.empty(); }

private:
    /// Progress of an organisation's calls to a service, in work.
    struct flow {
        double virtualTime = 0;
        unsigned waiting = 0;
    };
    /// Service, priority and organisation.
    using flow_key = std::tuple<std::string, unsigned, std::string>;
    static flow_key keyOf(const queued_request& queued) { return { queued.request.service, queued.priority, queued.organisation }; }
    /// Calls of one priority to a service.
    struct lane {
        /// The virtual time of the call that was placed last.
        double virtualTime = 0;
        /// Work that returning calls may take before others.
        double returningCredit = 0;
        /// Work that less urgent calls may take before those of this lane; negative after a call that exceeded it.
        double patientCredit = 0;
        unsigned waiting = 0;
    };
    /// Service and priority.
    using lane_key = std::pair<std::string, unsigned>;
    static lane_key laneOf(const queued_request& queued) { return { queued.request.service, queued.priority }; }
    void sortWaiting();
    /// Moves the first returning call of each lane to its front if the share for returning calls has room for it.
    void advanceReturning();
    /// Moves the first call that is less urgent than a lane before it if the share for patient calls has room.
    void advancePatient();
    /// Adjusts the counts for a call that no longer waits.
    void recordRemoval(const queued_request& queued);
    /// Charges the organisation and the shares for a call that was placed.
    void recordPlacement(const queued_request& queued, bool returning);
    void removeIdleState(time_point now);
    /// Calls of a service that wait before the one under consideration. Later calls must not overtake the first one that waits
    /// for the same endpoints, or small prompts would starve a large one.
    struct waiting_ahead {
        /// By required software version; empty for those that may use any.
        std::map<std::string, std::size_t> byVersion;
    };
    engine_placement place(const queued_request& queued, const waiting_ahead& ahead, Planner& planner, time_point now) const;
    bool canStartInTime(const queued_request& queued, bool prefillBusy, std::size_t waitingAhead, Planner& planner, time_point now) const;
    /// Whether the call would probably hold its endpoint in vain, while others are refused.
    bool wouldWasteCapacity(const queued_request& queued, Planner& planner, time_point now) const;
    milliseconds nextRetryDelay(const std::string& service, const Planner& planner, time_point now);
    /// A request that is refused in this step.
    struct refused_request {
        unsigned priority;
        time_point since;
        std::string service;
        /// Its position among the results.
        std::size_t result;
    };
    /// Gives the earlier retry times to more urgent calls, and among those of one priority to those that waited longer.
    void assignRetryDelays(std::vector<refused_request> refused, std::vector<placement_result>& results, const Planner& planner, time_point now);

    struct waiting_request {
        queued_request queued;
        time_point since;
        bool returning = false;
    };
    std::deque<waiting_request> m_waiting;
    std::map<flow_key, flow> m_flows;
    std::map<lane_key, lane> m_lanes;
    /// When requests were refused, by fingerprint.
    std::unordered_map<std::uint64_t, time_point> m_refusedAt;
    /// When a call was last refused for lack of capacity, by service.
    std::map<std::string, time_point> m_fullAt;
    /// The latest retry time that was given to a caller, by service.
    std::map<std::string, time_point> m_lastRetryTimes;
};

namespace placement_queue_detail {
    /// Longest retry delay; callers wait only a part of their deadline.
    constexpr milliseconds maxRetryDelay { 4500 };
    /// Share of the completions at whose pace refused callers come back.
    constexpr double retryShare = 0.3;
    /// Share of the work that returning calls get before others. More would make others late, who then come back too.
    constexpr double returningShare = 0.1;
    /// Upper bound of the credit of returning calls, in calls, so that they don't go first all at once after a calm period.
    constexpr double maxReturningCredit = 4;
    /// Share of the work that less urgent calls get before more urgent ones.
    constexpr double patientShare = 0.15;
    /// Upper bound of the credit of patient calls, in calls.
    constexpr double maxPatientCredit = 1;
    /// How long a refused request is remembered; callers that wait longer than the longest retry delay are rare.
    constexpr milliseconds refusalMemory { 6000 };
    constexpr std::size_t maxRefusals = 20'000;
    /// Calls with a lower chance to finish are refused while others lack capacity.
    constexpr double minChanceToFinish = 0.5;
    /// How long a service counts as short of capacity after a call was refused for it.
    constexpr milliseconds shortageMemory { 1000 };
    /// Number of flows beyond which those without waiting calls are removed.
    constexpr std::size_t maxIdleFlows = 1024;
}

template <placement_planner Planner>
void placement_queue<Planner>::add(queued_request request, time_point now)
{
    auto& organisation = m_flows[keyOf(request)];
    auto& lane = m_lanes[laneOf(request)];
    ++lane.waiting;
    // An organisation that was idle has neither credit nor debt from the past.
    if (organisation.waiting++ == 0)
        organisation.virtualTime = std::max(organisation.virtualTime, lane.virtualTime);
    auto refused = m_refusedAt.find(request.fingerprint);
    bool returning = refused != m_refusedAt.end() && now - refused->second <= placement_queue_detail::refusalMemory;
    if (refused != m_refusedAt.end())
        m_refusedAt.erase(refused);
    m_waiting.push_back({ std::move(request), now, returning });
}

template <placement_planner Planner>
void placement_queue<Planner>::sortWaiting()
{
    if (m_waiting.size() < 2)
        return;
    struct position {
        bool later;
        unsigned priority;
        bool returning;
        double tag;
        waiting_request* waiting;
    };
    std::vector<position> order;
    order.reserve(m_waiting.size());
    std::map<flow_key, double> workAhead;
    for (auto& waiting : m_waiting) {
        auto key = keyOf(waiting.queued);
        auto& work = workAhead[key];
        work += waiting.queued.request.cost();
        bool started = waiting.queued.streamStarted;
        order.push_back({ !started, waiting.queued.priority, !started && waiting.returning, m_flows[key].virtualTime + work, &waiting });
    }
    std::stable_sort(order.begin(), order.end(), [](const position& left, const position& right) {
        return std::tie(left.later, left.priority, left.returning, left.tag) < std::tie(right.later, right.priority, right.returning, right.tag);
    });
    std::deque<waiting_request> sorted;
    for (const auto& item : order)
        sorted.push_back(std::move(*item.waiting));
    m_waiting = std::move(sorted);
    advanceReturning();
    advancePatient();
}

template <placement_planner Planner>
void placement_queue<Planner>::advanceReturning()
{
    std::set<lane_key> seen;
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        if (!it->returning || it->queued.streamStarted || !seen.insert(laneOf(it->queued)).second)
            continue;
        if (m_lanes[laneOf(it->queued)].returningCredit < it->queued.request.cost())
            continue;
        auto firstOther = std::find_if(m_waiting.begin(), it, [&](const auto& waiting) {
            return !waiting.queued.streamStarted && waiting.queued.priority == it->queued.priority;
        });
        std::rotate(firstOther, it, std::next(it));
    }
}

template <placement_planner Planner>
void placement_queue<Planner>::advancePatient()
{
    // The least urgent lanes come first, so that each share goes to the call that is next by the shares after it.
    for (auto item = m_lanes.rbegin(); item != m_lanes.rend(); ++item) {
        const auto& [service, priority] = item->first;
        if (item->second.waiting == 0 || item->second.patientCredit <= 0)
            continue;
        auto isWaiting = [&](const waiting_request& waiting) { return !waiting.queued.streamStarted && waiting.queued.request.service == service; };
        auto firstOfLane = std::find_if(m_waiting.begin(), m_waiting.end(), [&, priority = priority](const auto& waiting) {
            return waiting.queued.priority == priority && isWaiting(waiting);
        });
        auto patient = std::find_if(firstOfLane, m_waiting.end(), [&, priority = priority](const auto& waiting) {
            return waiting.queued.priority > priority && isWaiting(waiting);
        });
        if (patient != m_waiting.end())
            std::rotate(firstOfLane, patient, std::next(patient));
    }
}

template <placement_planner Planner>
void placement_queue<Planner>::recordRemoval(const queued_request& queued)
{
    --m_flows[keyOf(queued)].waiting;
    --m_lanes[laneOf(queued)].waiting;
}

template <placement_planner Planner>
void placement_queue<Planner>::recordPlacement(const queued_request& queued, bool returning)
{
    using namespace placement_queue_detail;
    auto cost = queued.request.cost();
    auto& organisation = m_flows[keyOf(queued)];
    auto own = m_lanes.find(laneOf(queued));
    auto& lane = own->second;
    organisation.virtualTime += cost;
    lane.virtualTime = std::max(lane.virtualTime, organisation.virtualTime);
    lane.returningCredit = returning ? std::max(0.0, lane.returningCredit - cost) : std::min(lane.returningCredit + cost * returningShare / (1 - returningShare), cost * maxReturningCredit);
    lane.patientCredit = std::min(lane.patientCredit + cost * patientShare / (1 - patientShare), cost * maxPatientCredit);
    if (queued.streamStarted)
        return;
    for (auto urgent = m_lanes.lower_bound({ queued.request.service, 0 }); urgent != own; ++urgent) {
        if (urgent->second.waiting > 0)
            urgent->second.patientCredit -= cost;
    }
}

template <placement_planner Planner>
std::vector<placement_result> placement_queue<Planner>::step(Planner& planner, time_point now)
{
    using namespace placement_queue_detail;
    std::vector<placement_result> results;
    std::vector<refused_request> refused;
    sortWaiting();
    std::map<std::string, waiting_ahead> waitingAhead;
    std::erase_if(m_waiting, [&](const auto& waiting) {
        const auto& queued = waiting.queued;
        const auto& service = queued.request.service;
        auto& waitingOthers = waitingAhead[service];
        const auto& version = queued.request.version.required;
        auto& ahead = waitingOthers.byVersion[version];
        bool wasteful = wouldWasteCapacity(queued, planner, now);
        auto placement = ahead > 0 || wasteful ? engine_placement { .full = true, .decode = {}, .prefill = {} } : place(queued, waitingOthers, planner, now);
        if (placement.full && !wasteful && canStartInTime(queued, placement.prefillBusy, ahead, planner, now)) {
            ++ahead;
            return false;
        }
        recordRemoval(queued);
        if (!placement.full) {
            recordPlacement(queued, waiting.returning);
        } else if (queued.fingerprint != 0) {
            m_refusedAt[queued.fingerprint] = now;
        }
        // A version without room says nothing about the others.
        if (placement.full && !wasteful && version.empty())
            m_fullAt[service] = now;
        if (placement.full)
            refused.push_back({ queued.priority, waiting.since, service, results.size() });
        results.push_back({ queued.ticket, std::move(placement), milliseconds(0), queued.organisation, now - waiting.since });
        return true;
    });
    assignRetryDelays(std::move(refused), results, planner, now);
    removeIdleState(now);
    return results;
}

template <placement_planner Planner>
void placement_queue<Planner>::assignRetryDelays(std::vector<refused_request> refused, std::vector<placement_result>& results, const Planner& planner, time_point now)
{
    std::stable_sort(refused.begin(), refused.end(), [](const refused_request& left, const refused_request& right) {
        return std::tie(left.priority, left.since) < std::tie(right.priority, right.since);
    });
    for (const auto& request : refused)
        results[request.result].retryAfter = nextRetryDelay(request.service, planner, now);
}

template <placement_planner Planner>
engine_placement placement_queue<Planner>::place(const queued_request& queued, const waiting_ahead& ahead, Planner& planner, time_point now) const
{
    if (!queued.request.version.required.empty())
        return planner.place(queued.entry, queued.request, now);
    auto request = queued.request;
    for (const auto& [version, count] : ahead.byVersion) {
        if (count > 0)
            request.version.reserved.insert(version);
    }
    return planner.place(queued.entry, request, now);
}

template <placement_planner Planner>
bool placement_queue<Planner>::canStartInTime(const queued_request& queued, bool prefillBusy, std::size_t waitingAhead, Planner& planner, time_point now) const
{
    if (now >= queued.waitDeadline || (!queued.request.version.required.empty() && !planner.hasEndpoints(queued.request)))
        return false;
    if (queued.streamStarted)
        return true;
    auto startBy = std::min(queued.waitDeadline, queued.firstEventDeadline - planner.timeToFirstEvent(queued.request));
    if (now >= startBy)
        return false;
    // Prefills take tenths of a second, so the prefill queue may be short again in time.
    if (prefillBusy)
        return true;
    return planner.expectedCompletions(queued.request.service, startBy - now, now) >= Planner::completionsPerPlacement * static_cast<double>(waitingAhead + 1);
}

template <placement_planner Planner>
bool placement_queue<Planner>::wouldWasteCapacity(const queued_request& queued, Planner& planner, time_point now) const
{
    using namespace placement_queue_detail;
    if (queued.streamStarted || queued.deadline == time_point::max())
        return false;
    auto full = m_fullAt.find(queued.request.service);
    bool isShort = full != m_fullAt.end() && now - full->second <= shortageMemory;
    return isShort && planner.chanceToFinish(queued.request, queued.deadline - now) < minChanceToFinish;
}

template <placement_planner Planner>
milliseconds placement_queue<Planner>::nextRetryDelay(const std::string& service, const Planner& planner, time_point now)
{
    using namespace placement_queue_detail;
    constexpr std::chrono::seconds second { 1 };
    auto completionsPerSecond = std::max(1.0, planner.expectedCompletions(service, second, now));
    auto pause = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / (retryShare * completionsPerSecond)));
    auto& last = m_lastRetryTimes[service];
    last = std::clamp<time_point>(last + pause, now + Planner::minRetryDelay, now + maxRetryDelay);
    return std::chrono::duration_cast<milliseconds>(last - now);
}

template <placement_planner Planner>
void placement_queue<Planner>::removeEntry(const std::string& entry)
{
    std::erase_if(m_waiting, [&](const auto& waiting) {
        if (waiting.queued.entry != entry)
            return false;
        recordRemoval(waiting.queued);
        return true;
    });
}

template <placement_planner Planner>
void placement_queue<Planner>::removeIdleState(time_point now)
{
    using namespace placement_queue_detail;
    if (m_flows.size() > maxIdleFlows)
        std::erase_if(m_flows, [](const auto& item) { return item.second.waiting == 0; });
    if (m_refusedAt.size() > maxRefusals)
        std::erase_if(m_refusedAt, [now](const auto& item) { return now - item.second > refusalMemory; });
    if (m_refusedAt.size() > maxRefusals)
        m_refusedAt.clear();
}

template <placement_planner Planner>
void placement_queue<Planner>::clear()
{
    m_waiting.clear();
    m_flows.clear();
    m_lanes.clear();
    m_refusedAt.clear();
    m_lastRetryTimes.clear();
    m_fullAt.clear();
}

} // namespace pistachiolatch
