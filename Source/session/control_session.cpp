#include "session/control_session.h"

namespace pistachiolatch {

namespace {
    /// Without a grant for this long another control VM is asked.
    constexpr milliseconds leaderSilence { 600 };
    constexpr std::size_t mostEventsWaiting = 200;
    constexpr std::size_t eventsPerHeartbeat = 20;
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
    if (now - m_lastGrant > leaderSilence)
        tryNextControl();
    sendHeartbeat(now);
}

void control_session::tryNextControl()
{
    m_leader = m_controls[m_turn++ % m_controls.size()];
}

void control_session::sendHeartbeat(time_point now)
{
    wire::envelope message;
    auto* beat = message.mutable_heartbeat();
    beat->set_kind(m_kind);
    beat->set_data_centre(m_self.dataCentre);
    beat->set_applied_revision(m_config->revision());
    beat->set_shard_version(m_shardVersion);
    beat->set_poison_version(m_poisonVersion);
    beat->set_live_version(m_liveVersion);
    beat->set_max_schema_version(newestSchemaVersion);
    beat->set_leaving(m_leaving);
    beat->set_sent_ns(now.time_since_epoch().count());
    for (std::size_t i = 0; i < eventsPerHeartbeat && !m_events.empty(); ++i) {
        *beat->add_events() = m_events.front();
        m_events.pop_front();
    }
    m_loop.wire().send(m_leader, message);
}

void control_session::leave()
{
    m_leaving = true;
    m_lease.drop();
    sendHeartbeat(m_clock.now());
}

void control_session::onGrant(const wire::session_grant& grant)
{
    if (grant.refused()) {
        // A replica that knows the leader names it; one that doesn't leaves the choice to the next try.
        if (!grant.leader_address().empty() && grant.leader_address() != m_leader) {
            m_leader = grant.leader_address();
            sendHeartbeat(m_clock.now());
        }
        return;
    }
    // A late grant of an earlier leader must not undo a newer leader's word.
    if (grant.leader_term() < m_leaderTerm)
        return;
    if (grant.leader_term() > m_leaderTerm) {
        m_leaderTerm = grant.leader_term();
        m_liveVersion = 0;
    }
    // Changes to a revision that this process does not have would leave out what lies between; the next heartbeat
    // tells control what is missing.
    if (grant.base_revision() > m_config->revision()) {
        m_nextHeartbeat = {};
        return;
    }
    m_lastGrant = m_clock.now();
    takeRecords(grant);
    bool newShards = grant.shard_version() > m_shardVersion;
    if (newShards) {
        m_shardVersion = grant.shard_version();
        m_shards.clear();
        for (const auto& owner : grant.shards())
            m_shards[owner.shard()] = owner;
    }
    bool newPoison = grant.poison_version() > m_poisonVersion;
    if (newPoison) {
        m_poisonVersion = grant.poison_version();
        m_poison.assign(grant.poison().begin(), grant.poison().end());
    }
    bool newLive = grant.live_version() != m_liveVersion && grant.live_size() > 0;
    if (newLive) {
        m_liveVersion = grant.live_version();
        m_live.assign(grant.live().begin(), grant.live().end());
    }
    m_heard = true;
    // The lease is renewed only after what came with it is applied: a lease never covers an older configuration.
    if (grant.echo_ns() != 0 && !m_leaving)
        m_lease.renew(time_point(duration(grant.echo_ns())), milliseconds(grant.lease_ms()));
    if (newLive && m_hooks.onLive)
        m_hooks.onLive();
    if (newShards && m_hooks.onShards)
        m_hooks.onShards();
    if (newPoison && m_hooks.onPoison)
        m_hooks.onPoison();
}

void control_session::takeRecords(const wire::session_grant& grant)
{
    // Never back to an older revision, whatever arrives late.
    if (grant.revision() <= m_config->revision())
        return;
    std::vector<std::string> problems;
    auto next = config_view::after(*m_config, grant.revision(), { grant.records().begin(), grant.records().end() }, problems);
    for (const auto& problem : problems)
        logEvent("record_not_understood", { { "problem", problem } });
    std::atomic_store(&m_config, next);
    if (m_hooks.onConfig)
        m_hooks.onConfig(next);
    // Control waits for this to call the revision in force, so it is told at once and not at the next heartbeat.
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
    m_events.push_back(std::move(event));
    if (m_events.size() > mostEventsWaiting)
        m_events.pop_front();
}

const wire::shard_owner* control_session::findOwner(const std::string& shard) const
{
    auto found = m_shards.find(shard);
    return found == m_shards.end() ? nullptr : &found->second;
}

} // namespace pistachiolatch
