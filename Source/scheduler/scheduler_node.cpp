#include "scheduler/scheduler_node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiolatch {

namespace {
    constexpr milliseconds orphanCollectionInterval { 1000 };
    constexpr milliseconds orderCheckInterval { 500 };
    /// Time for an endpoint to load its model before the order is repeated. Each pool sends one order at a time, so that
    /// endpoints don't all load from the weight store at once.
    constexpr milliseconds orderRetryDelay { 10000 };
}

scheduler_node::scheduler_node(dependencies deps)
    : m_loop(deps.loop)
    , m_clock(deps.clock)
    , m_metrics(deps.counters)
    , m_threads(deps.threads)
    , m_poolSettings(std::move(deps.pools))
    , m_session(deps.loop, deps.wire, wire::PROCESS_SCHEDULER, deps.clock,
          { [this](const auto&) { applyConfiguration(); }, [this] { updateOwnedShards(); },
              [this] {
                  for (auto& [shard, ownedPool] : m_pools)
                      ownedPool->placementPool().replacePoisonMarks(m_session.poisonMarks());
              },
              [this] {
                  for (auto& [shard, ownedPool] : m_pools)
                      ownedPool->placementPool().removeDeadEntries(m_session.live(), m_clock.now());
              } })
    , m_orphanCollector(std::make_shared<orphan_collector>(deps.counters))
{
}

void scheduler_node::onMessage(const wire::envelope& message)
{
    auto now = m_clock.now();
    if (message.has_grant()) {
        m_session.onGrant(message.grant());
        return;
    }
    // After the lease has expired, another scheduler may already own the shards.
    if (!m_session.hasValidLease() || m_left) {
        m_metrics.count("message_without_lease");
        if (message.has_limit())
            denyOwnership(message);
        return;
    }
    if (message.has_place()) {
        onPlacementRequest(message);
    } else if (message.has_progress()) {
        if (auto* ownedPool = findPool(message.progress().shard()))
            ownedPool->onProgress(message, now);
    } else if (message.has_held()) {
        if (auto* ownedPool = findPool(message.held().shard()); ownedPool && ownedPool->epoch() == message.held().epoch())
            ownedPool->onReservationReport(message, now);
    } else if (message.has_announce()) {
        const auto& endpoint = message.announce().endpoint();
        if (auto* ownedPool = findPool(endpoint.role() == "service" ? serviceShard(endpoint.model()) : modelShard(endpoint.model())))
            ownedPool->onAnnouncement(message.announce(), now);
    } else if (message.has_limit()) {
        auto found = m_limits.find(message.limit().shard());
        if (found != m_limits.end() && found->second->epoch() == message.limit().epoch()) {
            found->second->onRequest(message, now);
        } else {
            m_metrics.count("limit_for_other_epoch");
            denyOwnership(message);
        }
    } else if (message.has_crash()) {
        if (auto* ownedPool = findPool(message.crash().shard())) {
            ownedPool->placementPool().handleCrashReport(message.crash(), now);
            wire::envelope envelope;
            envelope.mutable_crash_reply()->set_crashes(ownedPool->placementPool().crashCount(message.crash().fingerprint()));
            m_loop.wire().reply(message, envelope);
        }
    } else if (message.has_scheduler_status()) {
        onStatus(message);
    }
}

void scheduler_node::onPlacementRequest(const wire::envelope& message)
{
    auto* ownedPool = findPool(message.place().shard());
    // A different epoch means that the entry and this scheduler disagree on the pool's owner; the entry retries.
    if (ownedPool && ownedPool->epoch() == message.place().epoch())
        ownedPool->onPlacementRequest(message, m_clock.now());
    else
        m_metrics.count("place_for_other_epoch");
}

void scheduler_node::denyOwnership(const wire::envelope& message)
{
    // Refunds are sent without a call, so nobody waits for a reply.
    if (message.call() == 0)
        return;
    wire::envelope envelope;
    auto* reply = envelope.mutable_limit_reply();
    reply->set_shard(message.limit().shard());
    // Without an epoch, entries that don't know this field ignore the reply.
    reply->set_wrong_owner(true);
    m_loop.wire().reply(message, envelope);
}

owned_pool* scheduler_node::findPool(const std::string& shard)
{
    auto found = m_pools.find(shard);
    return found == m_pools.end() ? nullptr : found->second.get();
}

void scheduler_node::tick()
{
    auto now = m_clock.now();
    m_session.tick(now);
    if (!m_session.hasValidLease() || m_left)
        return;
    for (auto& [shard, limits] : m_limits)
        limits->sendDecisions(now);
    for (auto& [shard, ownedPool] : m_pools)
        ownedPool->schedulePlacements(now);
    collectOrphans(now);
    sendRoleOrders(now);
}

void scheduler_node::updateOwnedShards()
{
    const auto& self = m_session.self();
    auto owned = [&](const std::string& shard, std::uint64_t epoch) {
        const auto* owner = m_session.findOwner(shard);
        return owner && owner->scheduler() == self.name && owner->incarnation() == self.incarnation && owner->epoch() == epoch;
    };
    std::erase_if(m_pools, [&](const auto& item) { return !owned(item.first, item.second->epoch()); });
    std::erase_if(m_limits, [&](const auto& item) { return !owned(item.first, item.second->epoch()); });
    for (const auto& [shard, owner] : m_session.shards()) {
        if (!owned(shard, owner.epoch()) || m_pools.count(shard) || m_limits.count(shard))
            continue;
        logEvent("shard_taken", { { "shard", shard }, { "epoch", owner.epoch() } });
        if (isModelShard(shard) || isServiceShard(shard)) {
            m_pools[shard] = std::make_unique<owned_pool>(shard, owner.epoch(), m_poolSettings, m_loop, m_session, m_metrics);
        } else {
            auto limits = std::make_unique<owned_limits>(shard, owner.epoch(), m_loop, m_metrics);
            limits->configure(*m_session.config(), m_clock.now());
            m_limits[shard] = std::move(limits);
        }
    }
}

void scheduler_node::applyConfiguration()
{
    auto config = m_session.config();
    for (auto& [shard, limits] : m_limits)
        limits->configure(*config, m_clock.now());
    for (auto& [shard, ownedPool] : m_pools)
        ownedPool->configure(*config);
}

void scheduler_node::collectOrphans(time_point now)
{
    if (now < m_nextCollection)
        return;
    m_nextCollection = now + orphanCollectionInterval;
    orphan_collector::collection_input input;
    input.now = now;
    input.live = m_session.live();
    for (const auto& [shard, ownedPool] : m_pools) {
        if (!isModelShard(shard))
            continue;
        const auto& table = ownedPool->placementPool().endpoints().table();
        for (const auto& id : table.alive())
            input.endpoints.push_back({ id, table.find(id)->address() });
    }
    if (input.endpoints.empty())
        return;
    boost::asio::post(m_threads.first(), [this, collector = m_orphanCollector, input = std::move(input)] {
        boost::asio::co_spawn(m_threads.first(), collector->collect(input), [collector](std::exception_ptr) {});
    });
}

void scheduler_node::sendRoleOrders(time_point now)
{
    if (now < m_nextOrderCheck)
        return;
    m_nextOrderCheck = now + orderCheckInterval;
    auto config = m_session.config();
    for (const auto& [shard, ownedPool] : m_pools) {
        const auto& table = ownedPool->placementPool().endpoints().table();
        for (const auto& id : table.alive()) {
            auto target = config->endpointRoles().find(id);
            const auto* endpoint = table.find(id);
            if (target == config->endpointRoles().end())
                continue;
            bool matches = endpoint->role() == target->second.role && endpoint->model() == target->second.model && endpoint->model_version() == target->second.version;
            auto& sent = m_sentOrders[id];
            if (matches || (sent.fence >= target->second.revision && now < sent.retryAt))
                continue;
            sent = { target->second.revision, now + orderRetryDelay };
            sendRoleOrder(*endpoint, target->second);
            break;
        }
    }
}

void scheduler_node::sendRoleOrder(const wire::endpoint_announcement& endpoint, const endpoint_role_record& target)
{
    m_session.addEvent(fmt::format("orders endpoint {} to be {} of {} {} with fence {}", endpoint.id(), target.role, target.model, target.version, target.revision));
    // The record determines the content of the order, so its revision serves as fencing token: an endpoint that checks
    // it never replaces a newer order by an older one, whichever scheduler sends it.
    role_order order { target.revision, target.role, target.model, target.version };
    auto send = [this, address = endpoint.address(), id = endpoint.id(), order]() -> task_of<void> {
        // Checked again right before sending: an endpoint that ignores fencing must not get orders of a former owner.
        if (!m_session.hasValidLease())
            co_return;
        http_json_endpoint engine(address, {});
        auto status = co_await engine.sendOrder(order);
        m_metrics.count(status == endpoint_status::Done ? "order_taken" : "order_failed");
        logEvent("order_sent", { { "endpoint", id }, { "fence", order.fence }, { "taken", status == endpoint_status::Done } });
    };
    boost::asio::co_spawn(m_threads.first(), send, [](std::exception_ptr) {});
}

void scheduler_node::onStatus(const wire::envelope& message)
{
    wire::envelope envelope;
    auto* reply = envelope.mutable_scheduler_status_reply();
    for (const auto& [shard, ownedPool] : m_pools)
        reply->add_lines(ownedPool->placementPool().describe());
    m_loop.wire().reply(message, envelope);
}

void scheduler_node::leave()
{
    m_left = true;
    m_session.leave();
}

} // namespace pistachiolatch
