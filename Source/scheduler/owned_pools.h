#pragma once
#include "records/records.h"
#include "scheduling/scheduling.h"
#include "session/session.h"
#include "wire/wire.h"
#include <map>
#include <memory>
#include <set>
#include <string>

namespace pistachiolatch {

/// A pool owned by this scheduler. After a change of owner it restores the reservations that entries report.
/// Control thread only.
class owned_pool {
public:
    owned_pool(const std::string& shard, std::uint64_t epoch, const pool_settings& settings, control_loop& loop, control_session& session, metrics& counters);

    std::uint64_t epoch() const { return m_epoch; }
    pool& placementPool() { return m_pool; }
    const pool& placementPool() const { return m_pool; }
    void configure(const config_view& config);
    void onPlacementRequest(const wire::envelope& message, time_point now);
    void onProgress(const wire::envelope& message, time_point now);
    void onReservationReport(const wire::envelope& message, time_point now);
    void onAnnouncement(const wire::announce_forward& forward, time_point now);
    /// Sends the placement decisions that are due.
    void schedulePlacements(time_point now);

private:
    /// Whether every live entry has reported its reservations, or the time for reporting has passed.
    bool hasRestoredReservations(time_point now) const;
    void reportCrashes(const std::vector<wire::crash_report>& reports);

    std::string m_shard;
    std::uint64_t m_epoch;
    control_loop& m_loop;
    control_session& m_session;
    metrics& m_metrics;
    pool m_pool;
    time_point m_ownedSince;
    std::set<std::string> m_reportedEntries;
};

/// Whether a shard is the pool of a model or of a service, from its name.
bool isModelShard(const std::string& shard);
bool isServiceShard(const std::string& shard);

} // namespace pistachiolatch
