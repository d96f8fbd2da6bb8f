#include "session/control_session.h"

namespace pistachiolatch {

namespace {
    /// After this time without a grant, the session tries another control VM.
    constexpr milliseconds leaderTimeout { 600 };
    constexpr std::size_t maxQueuedEvents = 200;
    constexpr std::size_t maxEventsPerHeartbeat = 20;
}

control_session::control_session(control_loop& loop, const wire_settings& settings, wire::process_kind kind, const clock_source& clock, session_hooks hooks)
    : m_loop(loop)
    , m_clock(clock)
    , m_self { settings.vm, settings.dataCentre, loop.wire().incarnation() }
    , m_kind(kind)
    , m_hooks(std::move(hooks))
    , m_controls(settings.controls)
    , m_config(std::make_shared<config_view>())
{
}

void control_session::tick(time_point now)
{
    if (now < m_nextHeartbeat)
        return;
    m_nextHeartbeat = now + sessionHeartbeat;
    if (now - m_lastGrant > leaderTimeout)
        selectNextControl();
    sendHeartbeat(now);
}

void control_session::selectNextControl()
{
    m_leader = m_controls[m_nextControlIndex++ % m_controls.size()];
}

void control_session::sendHeartbeat(time_point now)
{
    wire::envelope message;
    auto* heartbeat = message.mutable_heartbeat();
    heartbeat->set_kind(m_kind);
    heartbeat->set_data_centre(m_self.dataCentre);
    heartbeat->set_applied_revision(m_config->revision());
    heartbeat->set_shard_version(m_shardVersion);
    heartbeat->set_poison_version(m_poisonVersion);
    heartbeat->set_live_version(m_liveVersion);
    heartbeat->set_max_schema_version(newestSchemaVersion);
    heartbeat->set_leaving(m_leaving);
    heartbeat->set_sent_ns(now.time_since_epoch().count());
    for (std::size_t i = 0; i < maxEventsPerHeartbeat && !m_queuedEvents.empty(); ++i) {
        *heartbeat->add_events() = m_queuedEvents.front();
        m_queuedEvents.pop_front();
    }
    m_loop.wire().send(m_leader, message);
}

void control_session::leave()
{
    m_leaving = true;
    m_lease.release();
    sendHeartbeat(m_clock.now());
}

void control_session::onGrant(const wire::session_grant& grant)
{
    if (grant.refused()) {
        // Follows the redirect of a replica that knows the leader; otherwise a later heartbeat tries the next control VM.
        if (!grant.leader_address().empty() && grant.leader_address() != m_leader) {
            m_leader = grant.leader_address();
            sendHeartbeat(m_clock.now());
        }
        return;
    }
    // A late grant from a former leader must not overwrite a newer leader's grant.
    if (grant.leader_term() < m_leaderTerm)
        return;
    if (grant.leader_term() > m_leaderTerm) {
        m_leaderTerm = grant.leader_term();
        m_liveVersion = 0;
    }
    // Changes based on a revision that this process has not reached would leave a gap. The next heartbeat, sent at once,
    // tells control the revision to start from.
    if (grant.base_revision() > m_config->revision()) {
        m_nextHeartbeat = {};
        return;
    }
    m_lastGrant = m_clock.now();
    applyRecords(grant);
    bool newShards = grant.shard_version() > m_shardVersion;
    if (newShards) {
        m_shardVersion = grant.shard_version();
        m_shards.clear();
        for (const auto& owner : grant.shards())
            m_shards[owner.shard()] = owner;
    }
    bool newPoisonMarks = grant.poison_version() > m_poisonVersion;
    if (newPoisonMarks) {
        m_poisonVersion = grant.poison_version();
        m_poisonMarks.assign(grant.poison().begin(), grant.poison().end());
    }
    bool newLive = grant.live_version() != m_liveVersion && grant.live_size() > 0;
    if (newLive) {
        m_liveVersion = grant.live_version();
        m_live.assign(grant.live().begin(), grant.live().end());
    }
    m_hasReceivedGrant = true;
    // Renewed only after the rest of the grant is applied, so that a lease never covers an older configuration.
    if (grant.echo_ns() != 0 && !m_leaving)
        m_lease.renew(time_point(duration(grant.echo_ns())), milliseconds(grant.lease_ms()));
    if (newLive && m_hooks.onLiveProcesses)
        m_hooks.onLiveProcesses();
    if (newShards && m_hooks.onShards)
        m_hooks.onShards();
    if (newPoisonMarks && m_hooks.onPoisonMarks)
        m_hooks.onPoisonMarks();
}

void control_session::applyRecords(const wire::session_grant& grant)
{
    // A late grant must not restore an older revision.
    if (grant.revision() <= m_config->revision())
        return;
    std::vector<std::string> problems;
    auto next = config_view::applyChanges(*m_config, grant.revision(), { grant.records().begin(), grant.records().end() }, problems);
    for (const auto& problem : problems)
        logEvent("record_not_understood", { { "problem", problem } });
    std::atomic_store(&m_config, next);
    if (m_hooks.onConfig)
        m_hooks.onConfig(next);
    // Control waits for this report before it declares the revision in force, so the next heartbeat is sent at once.
    m_nextHeartbeat = {};
}

void control_session::callLeader(wire::envelope& message, milliseconds timeout, control_loop::reply_handler handler)
{
    m_loop.call(m_leader, message, timeout, std::move(handler));
}

void control_session::addEvent(std::string text)
{
    wire::process_event event;
    event.set_at_ms(wallClock().count());
    event.set_process(m_self.name);
    event.set_text(std::move(text));
    m_queuedEvents.push_back(std::move(event));
    if (m_queuedEvents.size() > maxQueuedEvents)
        m_queuedEvents.pop_front();
}

const wire::shard_owner* control_session::findOwner(const std::string& shard) const
{
    auto found = m_shards.find(shard);
    return found == m_shards.end() ? nullptr : &found->second;
}

} // namespace pistachiolatch
