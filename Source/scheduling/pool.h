#pragma once
#include "scheduling/crash_tracker.h"
#include "scheduling/fair_queue.h"
#include "scheduling/placement_policies.h"
#include "scheduling/pool_endpoints.h"
#include "scheduling/pool_types.h"
#include "scheduling/retry_budget.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Makes all placement decisions of one pool (a model or a service). A pool has one owner at a time, so that entries
/// don't compete for the same endpoint. Pure: takes messages and times, returns decisions. Not thread-safe.
class pool {
public:
    pool(std::string shard, pool_kind kind, pool_settings settings, pool_targets targets);

    void setTargets(pool_targets targets) { m_targets = targets; }
    /// Sets the data centres whose endpoints get no new work. What runs there goes on.
    void setEvacuated(std::set<std::string> dataCentres) { m_endpoints.setEvacuated(std::move(dataCentres)); }
    /// Applies an endpoint's announcement. Returns the crash reports that became certain by it.
    std::vector<wire::crash_report> handleAnnouncement(const wire::endpoint_announcement& announcement, milliseconds age, time_point now);
    /// Queues a request for endpoints, or refuses it. Precondition: entry, weight and share are filled in.
    void submit(pool_request request, time_point now);
    /// Records that a request reached a stage.
    void handleProgress(const wire::progress& report, time_point now);
    /// Restores the reservations that an entry holds, after this process took over the pool.
    void restoreReservations(const wire::held_report& report, const std::string& entryName, std::uint64_t entryIncarnation, time_point now);
    /// Records that the connection to an endpoint broke while it ran a request.
    void handleCrashReport(const wire::crash_report& report, time_point now);
    std::uint32_t crashCount(std::uint64_t fingerprint) const { return m_crashes.crashCount(fingerprint); }
    void replacePoisonMarks(const std::vector<wire::poison_mark>& marks) { m_crashes.replaceMarks(marks); }
    /// Removes the reservations and queued requests of entries that are not live.
    void removeDeadEntries(const std::vector<wire::live_process>& live, time_point now);
    /// Marks endpoints that fell silent as unusable. Returns the crash reports that became certain.
    std::vector<wire::crash_report> expireEndpoints(time_point now);
    /// Places or refuses queued requests and returns all new decisions.
    std::vector<pool_decision> schedule(time_point now);

    const pool_endpoints& endpoints() const { return m_endpoints; }
    const std::string& shard() const { return m_shard; }
    std::size_t waiting() const { return m_queue.size(); }
    std::uint64_t wastedPrefills() const { return m_wastedPrefills; }
    /// One line of status for operators.
    std::string describe() const;

private:
    void refuse(const pool_request& request, reason why, milliseconds retryAfter);
    void accept(const pool_request& request, const chosen_endpoints& chosen);
    bool refuseOnArrival(const pool_request& request, time_point now);
    bool isHeldBack(const pool_request& request) const;
    bool willBeLate(const pool_request& request, const chosen_endpoints& chosen) const;
    bool tryPlace(const pool_request& request, time_point now);
    milliseconds expectedWait(const pool_request& request, time_point now) const;
    void refuseExpired(time_point now);
    bool hasEndpoints(const std::set<std::string>& exclude, time_point now) const;
    /// Why hasEndpoints() does not hold.
    reason missingEndpointsReason() const { return m_endpoints.isEvacuated() ? reason::Evacuated : reason::NoEndpoint; }

    std::string m_shard;
    pool_kind m_kind;
    pool_settings m_settings;
    pool_targets m_targets;
    policy_variant m_policy;
    pool_endpoints m_endpoints;
    fair_queue m_queue;
    retry_budget m_budget;
    crash_tracker m_crashes;
    std::vector<pool_decision> m_decisions;
    std::uint64_t m_wastedPrefills = 0;
};

} // namespace pistachiolatch
