// What a control replica does for entries and schedulers while it leads.
#include "control/control_node.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// The first schedulers to come wait this long for the others, so that the shards spread.
    constexpr milliseconds gatherSchedulers { 1000 };
    constexpr milliseconds ledgerExpiryInterval { 60000 };
    /// Keys are remembered for a day, answers for an hour: answers are what takes the memory.
    constexpr auto keyLifetime = std::chrono::hours(24);
    constexpr auto answerLifetime = std::chrono::hours(1);
}

bool control_node::mayGrant() const
{
    return m_leads && core().leaseValid(m_clock.now());
}

void control_node::onHeartbeat(const wire::envelope& message)
{
    const auto& beat = message.heartbeat();
    wire::envelope envelope;
    envelope.set_receiver_incarnation(message.sender_incarnation());
    auto* grant = envelope.mutable_grant();
    // A leader whose own lease has run out may have a successor that no longer waits for the leases given here.
    if (!mayGrant()) {
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
        keepEvent(event);
    fillGrant(*grant, beat.applied_revision(), beat.shard_version(), beat.poison_version(), beat.live_version());
    grant->set_echo_ns(beat.sent_ns());
    grant->set_lease_ms(static_cast<std::uint32_t>(leaseDuration(beat.kind()).count()));
    m_loop.wire().send(message.sender_address(), envelope);
}

void control_node::fillGrant(wire::session_grant& grant, std::uint64_t revision, std::uint64_t shardVersion, std::uint64_t poisonVersion, std::uint64_t liveVersion) const
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
    if (!changed || !mayGrant())
        return;
    // Without an echo the message renews no lease; it only brings the news before the next heartbeat would.
    for (const auto& [key, one] : m_sessions->sessions()) {
        if (one.expired)
            continue;
        wire::envelope envelope;
        envelope.set_receiver_incarnation(one.process.incarnation());
        fillGrant(*envelope.mutable_grant(), std::min(one.appliedRevision, m_pushedRevision), m_pushedShards, m_pushedPoison, m_pushedLive);
        m_loop.wire().send(one.process.address(), envelope);
    }
    m_pushedRevision = m_state.revision();
    m_pushedShards = m_state.shardVersion();
    m_pushedPoison = m_state.poisonVersion();
    m_pushedLive = m_sessions->liveVersion();
}

void control_node::stepSessions()
{
    for (const auto& key : m_sessions->expire(m_clock.now()))
        noteEvent(key, "its lease ran out without a heartbeat");
    assignOwners();
    pushChanges();
    answerAwaiting();
    expireLedger();
}

std::vector<std::string> control_node::wantedShards() const
{
    std::vector<std::string> wanted;
    for (const auto& model : m_state.listNames("model"))
        wanted.push_back(modelShard(model));
    for (const auto& service : m_state.listNames("service"))
        wanted.push_back(serviceShard(service));
    for (std::uint32_t i = 0; i < limitShardCount; ++i)
        wanted.push_back(fmt::format("limit:{}", i));
    return wanted;
}

void control_node::assignOwners()
{
    if (m_assigning || m_clock.now() - m_shardsWantedSince < gatherSchedulers)
        return;
    auto owners = assignShards(wantedShards(), m_state.shards(), *m_sessions, m_clock.now());
    if (owners.empty())
        return;
    wire::command command;
    for (const auto& owner : owners)
        *command.mutable_assign()->add_owners() = owner;
    m_assigning = true;
    propose(command, [this, owners](const apply_outcome* outcome) {
        m_assigning = false;
        if (!outcome)
            return;
        for (const auto& owner : owners)
            noteEvent(owner.scheduler(), fmt::format("owns shard {} from now on", owner.shard()));
    });
}

void control_node::answerAwaiting()
{
    std::vector<awaiting_force> due;
    std::erase_if(m_awaiting, [&](awaiting_force& one) {
        bool done = m_sessions->isInForce(one.revision, m_clock.now()) || m_clock.now() >= one.deadline;
        if (done)
            due.push_back(std::move(one));
        return done;
    });
    for (auto& one : due) {
        auto now = m_clock.now();
        bool inForce = m_sessions->isInForce(one.revision, now);
        if (!inForce)
            logEvent("change_unconfirmed", { { "revision", one.revision }, { "why", "timeout" }, { "behind", m_sessions->processesBehind(one.revision, now) }, { "settled", m_sessions->earlierLeasesExpired(now) ? 1 : 0 } });
        one.answer(inForce);
    }
}

void control_node::expireLedger()
{
    if (m_clock.now() < m_nextExpiry)
        return;
    m_nextExpiry = m_clock.now() + ledgerExpiryInterval;
    if (m_state.callLedger().size() == 0)
        return;
    wire::command command;
    command.mutable_expire()->set_before_ms((wallClock() - keyLifetime).count());
    command.mutable_expire()->set_answers_before_ms((wallClock() - answerLifetime).count());
    propose(command, [](const apply_outcome*) {});
}
} // namespace pistachiolatch
