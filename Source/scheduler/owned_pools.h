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

/// One pool that this scheduler owns, with what it needs to take over from an earlier owner.
/// Control thread only.
class owned_pool {
public:
    owned_pool(const std::string& shard, std::uint64_t epoch, const pool_settings& settings, control_loop& loop, control_session& session, metrics& counters);

    std::uint64_t epoch() const { return m_epoch; }
    pool& decisions() { return m_pool; }
    const pool& decisions() const { return m_pool; }
    void configure(const config_view& config);
    void onPlace(const wire::envelope& message, time_point now);
    void onProgress(const wire::envelope& message, time_point now);
    void onHeld(const wire::envelope& message, time_point now);
    void onAnnounce(const wire::announce_forward& forward, time_point now);
    /// Decides what is due and sends it.
    void step(time_point now);

private:
    /// Whether every live entry has told what it holds, or has had the time to.
    bool settled(time_point now) const;
    void reportCrashes(const std::vector<wire::crash_report>& reports);

    std::string m_shard;
    std::uint64_t m_epoch;
    control_loop& m_loop;
    control_session& m_session;
    metrics& m_metrics;
    pool m_pool;
    time_point m_since;
    std::set<std::string> m_reported;
};

/// The shards of models and services, by their names.
bool isModelShard(const std::string& shard);
bool isServiceShard(const std::string& shard);

} // namespace pistachiolatch
