#include "scheduler/scheduler_node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiolatch {

namespace {
    constexpr milliseconds sweepInterval { 1000 };
    constexpr milliseconds orderInterval { 500 };
    /// One order at a time for each pool, and this long for the endpoint to load, so that loads don't all draw on
    /// the weight store at once.
    constexpr milliseconds orderRetry { 10000 };
}

scheduler_node::scheduler_node(parts given)
    : m_loop(given.loop)
    , m_clock(given.clock)
    , m_metrics(given.counters)
    , m_threads(given.threads)
    , m_poolSettings(std::move(given.pools))
    , m_session(given.loop, given.wire, wire::PROCESS_SCHEDULER, given.clock,
          { [this](const auto&) { followConfig(); }, [this] { followShards(); },
              [this] {
                  for (auto& [shard, one] : m_pools)
                      one->decisions().learnPoison(m_session.poisonMarks());
              },
              [this] {
                  for (auto& [shard, one] : m_pools)
                      one->decisions().sweep(m_session.live(), m_clock.now());
              } })
    , m_orphanCollector(std::make_shared<orphan_collector>(given.counters))
{
}

void scheduler_node::onMessage(const wire::envelope& message)
{
    auto now = m_clock.now();
    if (message.has_grant()) {
        m_session.onGrant(message.grant());
        return;
    }
    // A scheduler whose lease ran out stays silent: another may already decide for its shards.
    if (!m_session.hasValidLease() || m_left) {
        m_metrics.count("message_without_lease");
        return;
    }
    if (message.has_place()) {
        onPlace(message);
    } else if (message.has_progress()) {
        if (auto* one = poolOf(message.progress().shard()))
            one->onProgress(message, now);
    } else if (message.has_held()) {
        if (auto* one = poolOf(message.held().shard()); one && one->epoch() == message.held().epoch())
            one->onHeld(message, now);
    } else if (message.has_announce()) {
        const auto& endpoint = message.announce().endpoint();
        if (auto* one = poolOf(endpoint.role() == "service" ? serviceShard(endpoint.model()) : modelShard(endpoint.model())))
            one->onAnnounce(message.announce(), now);
    } else if (message.has_limit()) {
        auto found = m_limits.find(message.limit().shard());
        if (found != m_limits.end() && found->second->epoch() == message.limit().epoch())
            found->second->onRequest(message, now);
    } else if (message.has_crash()) {
        if (auto* one = poolOf(message.crash().shard())) {
            one->decisions().crash(message.crash(), now);
            wire::envelope envelope;
            envelope.mutable_crash_reply()->set_crashes(one->decisions().crashes(message.crash().fingerprint()));
            m_loop.wire().reply(message, envelope);
        }
    } else if (message.has_scheduler_status()) {
        onStatus(message);
    }
}

void scheduler_node::onPlace(const wire::envelope& message)
{
    auto* one = poolOf(message.place().shard());
    // A wrong epoch means that the entry and this scheduler don't agree yet who owns the pool; the entry asks again.
    if (one && one->epoch() == message.place().epoch())
        one->onPlace(message, m_clock.now());
    else
        m_metrics.count("place_for_other_epoch");
}

owned_pool* scheduler_node::poolOf(const std::string& shard)
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
    for (auto& [shard, one] : m_limits)
        one->step(now);
    for (auto& [shard, one] : m_pools)
        one->step(now);
    sweepOrphans(now);
    issueOrders(now);
}

void scheduler_node::followShards()
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

void scheduler_node::followConfig()
{
    auto config = m_session.config();
    for (auto& [shard, one] : m_limits)
        one->configure(*config, m_clock.now());
    for (auto& [shard, one] : m_pools)
        one->configure(*config);
}

void scheduler_node::sweepOrphans(time_point now)
{
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + sweepInterval;
    orphan_collector::sweep sweep;
    sweep.now = now;
    sweep.live = m_session.live();
    for (const auto& [shard, one] : m_pools) {
        if (!isModelShard(shard))
            continue;
        const auto& table = one->decisions().endpoints().table();
        for (const auto& id : table.alive())
            sweep.endpoints.push_back({ id, table.find(id)->address() });
    }
    if (sweep.endpoints.empty())
        return;
    boost::asio::post(m_threads.first(), [this, keeper = m_orphanCollector, sweep = std::move(sweep)] {
        boost::asio::co_spawn(m_threads.first(), keeper->run(sweep), [keeper](std::exception_ptr) {});
    });
}

void scheduler_node::issueOrders(time_point now)
{
    if (now < m_nextOrders)
        return;
    m_nextOrders = now + orderInterval;
    auto config = m_session.config();
    for (const auto& [shard, one] : m_pools) {
        const auto& table = one->decisions().endpoints().table();
        for (const auto& id : table.alive()) {
            auto wanted = config->endpointRoles().find(id);
            const auto* endpoint = table.find(id);
            if (wanted == config->endpointRoles().end())
                continue;
            bool asWanted = endpoint->role() == wanted->second.role && endpoint->model() == wanted->second.model && endpoint->model_version() == wanted->second.version;
            auto& issued = m_orders[id];
            if (asWanted || (issued.fence >= wanted->second.revision && now < issued.retryAt))
                continue;
            issued = { wanted->second.revision, now + orderRetry };
            orderOne(*endpoint, wanted->second);
            break;
        }
    }
}

void scheduler_node::orderOne(const wire::endpoint_announcement& endpoint, const endpoint_role_record& wanted)
{
    m_session.addEvent(fmt::format("orders endpoint {} to be {} of {} {} with fence {}", endpoint.id(), wanted.role, wanted.model, wanted.version, wanted.revision));
    // An order's content follows from its record, so the record's revision is its fencing number: whoever sends it,
    // an older revision never undoes a newer one on an endpoint that checks.
    role_order order { wanted.revision, wanted.role, wanted.model, wanted.version };
    auto send = [this, address = endpoint.address(), id = endpoint.id(), order]() -> task_of<void> {
        // Checked again where it is sent: an endpoint that ignores fencing must not get an order of an old owner.
        if (!m_session.hasValidLease())
            co_return;
        http_json_endpoint engine(address, {});
        auto status = co_await engine.order(order);
        m_metrics.count(status == endpoint_status::Done ? "order_taken" : "order_failed");
        logEvent("order_sent", { { "endpoint", id }, { "fence", order.fence }, { "taken", status == endpoint_status::Done } });
    };
    boost::asio::co_spawn(m_threads.first(), send, [](std::exception_ptr) {});
}

void scheduler_node::onStatus(const wire::envelope& message)
{
    wire::envelope envelope;
    auto* reply = envelope.mutable_scheduler_status_reply();
    for (const auto& [shard, one] : m_pools)
        reply->add_lines(one->decisions().describe());
    m_loop.wire().reply(message, envelope);
}

void scheduler_node::leave()
{
    m_left = true;
    m_session.leave();
}

} // namespace pistachiolatch
