#pragma once
#include "http/http.h"
#include "scheduler/orphan_collector.h"
#include "scheduler/owned_limits.h"
#include "scheduler/owned_pools.h"
#include "session/session.h"
#include <map>
#include <memory>
#include <string>

namespace pistachiolatch {

/// A scheduler: decides for the shards that control gave to it, for as long as its lease runs.
/// Thread safety: the control thread; sweeps and orders run on a traffic thread.
class scheduler_node {
public:
    struct parts {
        control_loop& loop;
        const clock_source& clock;
        metrics& counters;
        traffic_threads& threads;
        wire_settings wire;
        pool_settings pools;
    };
    explicit scheduler_node(parts given);

    void onMessage(const wire::envelope& message);
    void tick();
    /// Stops deciding and tells control, so that the shards move on at once. Control thread.
    void leave();
    bool ready() const { return m_session.hasValidLease(); }

private:
    struct issued_order {
        std::uint64_t fence = 0;
        time_point retryAt {};
    };
    void followShards();
    void followConfig();
    void onPlace(const wire::envelope& message);
    void onStatus(const wire::envelope& message);
    owned_pool* poolOf(const std::string& shard);
    void sweepOrphans(time_point now);
    void issueOrders(time_point now);
    void orderOne(const wire::endpoint_announcement& endpoint, const endpoint_role_record& wanted);

    control_loop& m_loop;
    const clock_source& m_clock;
    metrics& m_metrics;
    traffic_threads& m_threads;
    pool_settings m_poolSettings;
    control_session m_session;
    std::map<std::string, std::unique_ptr<owned_pool>> m_pools;
    std::map<std::string, std::unique_ptr<owned_limits>> m_limits;
    std::map<std::string, issued_order> m_orders;
    std::shared_ptr<orphan_collector> m_orphanCollector;
    time_point m_nextSweep {};
    time_point m_nextOrders {};
    bool m_left = false;
};

} // namespace pistachiolatch
