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

/// A scheduler process: handles the shards that control assigned to it while its lease is valid.
/// Thread safety: the control thread; requests to endpoints run on a traffic thread.
class scheduler_node {
public:
    struct dependencies {
        control_loop& loop;
        const clock_source& clock;
        metrics& counters;
        traffic_threads& threads;
        wire_settings wire;
        pool_settings pools;
    };
    explicit scheduler_node(dependencies deps);

    void onMessage(const wire::envelope& message);
    void tick();
    /// Stops handling shards and notifies control, which reassigns them without waiting for the lease to expire.
    /// Control thread only.
    void leave();
    bool ready() const { return m_session.hasValidLease(); }

private:
    struct sent_order {
        std::uint64_t fence = 0;
        time_point retryAt {};
    };
    void updateOwnedShards();
    void applyConfiguration();
    void onPlacementRequest(const wire::envelope& message);
    /// Tells the sender of a limit request that this scheduler is not the shard's owner, or not yet.
    void denyOwnership(const wire::envelope& message);
    void onStatus(const wire::envelope& message);
    owned_pool* findPool(const std::string& shard);
    void collectOrphans(time_point now);
    void sendRoleOrders(time_point now);
    void sendRoleOrder(const wire::endpoint_announcement& endpoint, const endpoint_role_record& target);

    control_loop& m_loop;
    const clock_source& m_clock;
    metrics& m_metrics;
    traffic_threads& m_threads;
    pool_settings m_poolSettings;
    control_session m_session;
    std::map<std::string, std::unique_ptr<owned_pool>> m_pools;
    std::map<std::string, std::unique_ptr<owned_limits>> m_limits;
    std::map<std::string, sent_order> m_sentOrders;
    std::shared_ptr<orphan_collector> m_orphanCollector;
    time_point m_nextCollection {};
    time_point m_nextOrderCheck {};
    bool m_left = false;
};

} // namespace pistachiolatch
