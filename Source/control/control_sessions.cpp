// The leader's side of sessions with entries and schedulers.
#include "control/control_node.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// A new leader waits this long for schedulers to connect, so that shards are spread over all of them.
    constexpr milliseconds schedulerGracePeriod { 1000 };
    constexpr milliseconds ledgerExpiryInterval { 60000 };
    /// Idempotency keys are kept for a day, but responses only for an hour since they take most of the memory.
    constexpr auto keyRetention = std::chrono::hours(24);
    constexpr auto responseRetention = std::chrono::hours(1);
}

bool control_node::canGrantLeases() const
{
    return m_isLeader && core().leaseValid(m_clock.now());
}

void control_node::handleHeartbeat(const wire::envelope& message)
{
    const auto& beat = message.heartbeat();
    wire::envelope envelope;
    envelope.set_receiver_incarnation(message.sender_incarnation());
    auto* grant = envelope.mutable_grant();
    // After the leader's own lease has expired, a successor may no longer wait for leases granted here.
    if (!canGrantLeases()) {
        grant->set_refused(true);
        const auto& leader = core().leader();
        if (leader && keyOf(*leader) != keyOf(m_self))
            grant->set_leader_address(leader->address());
        m_loop.wire().send(message.sender_address(), envelope);
        return;
    }
    if (!m_sessions->applyHeartbeat(message.sender(), message.sender_incarnation(), message.sender_address(), beat, m_clock.now())) {
        m_metrics.count("heartbeat_of_older_incarnation");
        return;
    }
    for (const auto& event : beat.events())
        storeEvent(event);
    buildGrant(*grant, beat.applied_revision(), beat.shard_version(), beat.poison_version(), beat.live_version());
    grant->set_echo_ns(beat.sent_ns());
    grant->set_lease_ms(static_cast<std::uint32_t>(leaseDuration(beat.kind()).count()));
    m_loop.wire().send(message.sender_address(), envelope);
}

void control_node::buildGrant(wire::session_grant& grant, std::uint64_t revision, std::uint64_t shardVersion, std::uint64_t poisonVersion, std::uint64_t liveVersion) const
{
    grant.set_leader_term(core().term());
    grant.set_revision(m_state.revision());
    grant.set_base_revision(revision);
    for (auto& record : m_state.recordsAfter(revision))
        *grant.add_records() = std::move(record);
    grant.set_shard_version(m_state.shardVersion());
    if (shardVersion < m_state.shardVersion()) {
        for (const auto& [name, owner] : m_state.shards())
            *grant.add_shards() = owner;
    }
    grant.set_poison_version(m_state.poisonVersion());
    if (poisonVersion < m_state.poisonVersion()) {
        for (const auto& [fingerprint, mark] : m_state.poison())
            *grant.add_poison() = mark;
    }
    grant.set_live_version(m_sessions->liveVersion());
    if (liveVersion != m_sessions->liveVersion()) {
        for (auto& process : m_sessions->liveProcesses())
            *grant.add_live() = std::move(process);
    }
}

void control_node::pushChanges()
{
    bool changed = m_pushedRevision != m_state.revision() || m_pushedShards != m_state.shardVersion()
        || m_pushedPoison != m_state.poisonVersion() || m_pushedLive != m_sessions->liveVersion();
    if (!changed || !canGrantLeases())
        return;
    // Without echo_ns the grant renews no lease; it only delivers changes before the next heartbeat.
    for (const auto& [key, session] : m_sessions->sessions()) {
        if (session.expired)
            continue;
        wire::envelope envelope;
        envelope.set_receiver_incarnation(session.process.incarnation());
        buildGrant(*envelope.mutable_grant(), std::min(session.appliedRevision, m_pushedRevision), m_pushedShards, m_pushedPoison, m_pushedLive);
        m_loop.wire().send(session.process.address(), envelope);
    }
    m_pushedRevision = m_state.revision();
    m_pushedShards = m_state.shardVersion();
    m_pushedPoison = m_state.poisonVersion();
    m_pushedLive = m_sessions->liveVersion();
}

void control_node::updateSessions()
{
    for (const auto& key : m_sessions->expire(m_clock.now()))
        addEvent(key, "lease expired without a heartbeat");
    assignShardOwners();
    pushChanges();
    completeSubmissions();
    expireLedgerEntries();
}

std::vector<std::string> control_node::listRequiredShards() const
{
    std::vector<std::string> required;
    for (const auto& model : m_state.listNames("model"))
        required.push_back(modelShard(model));
    for (const auto& service : m_state.listNames("service"))
        required.push_back(serviceShard(service));
    for (std::uint32_t i = 0; i < limitShardCount; ++i)
        required.push_back(fmt::format("limit:{}", i));
    return required;
}

void control_node::assignShardOwners()
{
    if (m_assignmentPending || m_clock.now() - m_leaderSince < schedulerGracePeriod)
        return;
    auto owners = assignShards(listRequiredShards(), m_state.shards(), *m_sessions, m_clock.now());
    if (owners.empty())
        return;
    wire::command command;
    for (const auto& owner : owners)
        *command.mutable_assign()->add_owners() = owner;
    m_assignmentPending = true;
    propose(command, [this, owners](const apply_outcome* outcome) {
        m_assignmentPending = false;
        if (!outcome)
            return;
        for (const auto& owner : owners)
            addEvent(owner.scheduler(), fmt::format("now owns shard {}", owner.shard()));
    });
}

void control_node::completeSubmissions()
{
    std::vector<pending_confirmation> due;
    std::erase_if(m_pendingConfirmations, [&](pending_confirmation& confirmation) {
        bool done = m_sessions->isInForce(confirmation.revision, m_clock.now()) || m_clock.now() >= confirmation.deadline;
        if (done)
            due.push_back(std::move(confirmation));
        return done;
    });
    for (auto& confirmation : due) {
        auto now = m_clock.now();
        bool inForce = m_sessions->isInForce(confirmation.revision, now);
        if (!inForce)
            logEvent("change_unconfirmed", { { "revision", confirmation.revision }, { "why", "timeout" }, { "behind", m_sessions->processesBehind(confirmation.revision, now) }, { "settled", m_sessions->earlierLeasesExpired(now) ? 1 : 0 } });
        confirmation.handler(inForce);
    }
}

void control_node::expireLedgerEntries()
{
    if (m_clock.now() < m_nextLedgerExpiry)
        return;
    m_nextLedgerExpiry = m_clock.now() + ledgerExpiryInterval;
    if (m_state.callLedger().size() == 0)
        return;
    wire::command command;
    command.mutable_expire()->set_before_ms((wallClock() - keyRetention).count());
    command.mutable_expire()->set_answers_before_ms((wallClock() - responseRetention).count());
    propose(command, [](const apply_outcome*) {});
}
} // namespace pistachiolatch
