#include "consensus/raft_core.h"

namespace pistachiolatch {

bool raft_core::heardLeaderLately(time_point now) const
{
    return now - m_heardLeaderAt < m_settings.minElectionTimeout;
}

void raft_core::resetElectionTimer(time_point now)
{
    std::uniform_int_distribution<std::int64_t> spread(m_settings.minElectionTimeout.count(), m_settings.maxElectionTimeout.count());
    m_electionDue = now + milliseconds(spread(m_random));
}

void raft_core::startPreVote(time_point now)
{
    m_role = raft_role::PreCandidate;
    m_leader.reset();
    m_votes = { keyOf(m_self) };
    resetElectionTimer(now);
    if (m_votes.size() >= quorum()) {
        startElection(now);
        return;
    }
    for (const auto& voter : m_members.voters()) {
        if (keyOf(voter) == keyOf(m_self))
            continue;
        auto message = makeMessage(wire::RAFT_PRE_VOTE, voter);
        // The term that an election would have; the own term stays as it is, so that a replica back from a
        // partition does not force the others out of theirs.
        message.set_term(term() + 1);
        message.set_index(m_log.lastIndex());
        message.set_log_term(m_log.lastTerm());
        send(std::move(message));
    }
}

void raft_core::startElection(time_point now)
{
    m_role = raft_role::Candidate;
    m_hardState.set_term(term() + 1);
    m_hardState.set_voted_for_vm(m_self.vm());
    m_hardState.set_voted_for_incarnation(m_self.incarnation());
    saveHardState();
    m_votes = { keyOf(m_self) };
    resetElectionTimer(now);
    if (m_votes.size() >= quorum()) {
        becomeLeader(now);
        return;
    }
    for (const auto& voter : m_members.voters()) {
        if (keyOf(voter) == keyOf(m_self))
            continue;
        auto message = makeMessage(wire::RAFT_VOTE, voter);
        message.set_index(m_log.lastIndex());
        message.set_log_term(m_log.lastTerm());
        send(std::move(message));
    }
}

bool raft_core::logIsUpToDate(std::uint64_t index, std::uint64_t logTerm) const
{
    return logTerm > m_log.lastTerm() || (logTerm == m_log.lastTerm() && index >= m_log.lastIndex());
}

void raft_core::onVoteRequest(const wire::raft_message& message, time_point now)
{
    bool preVote = message.kind() == wire::RAFT_PRE_VOTE;
    auto reply = makeMessage(preVote ? wire::RAFT_PRE_VOTE_REPLY : wire::RAFT_VOTE_REPLY, message.from());
    // Stickiness: while a leader is heard, or is this replica with a lease, nobody else gets a vote. The lease rests on it.
    bool leaderAlive = m_role == raft_role::Leader ? leaseValid(now) : heardLeaderLately(now);
    bool upToDate = logIsUpToDate(message.index(), message.log_term());
    // Whether this replica knows of its own vote doesn't matter: the asker counts it only if the newest membership
    // holds this identity. Refusing would leave a log of two stuck when the first restarts before the second has
    // the entry that makes it a voter.
    if (leaderAlive) {
        reply.set_reject(true);
        send(std::move(reply));
        return;
    }
    if (preVote) {
        bool refused = message.term() <= term() || !upToDate;
        reply.set_reject(refused);
        // A grant names the term that was asked about; a refusal names the own one, so that an asker behind it catches up.
        if (!refused)
            reply.set_term(message.term());
        send(std::move(reply));
        return;
    }
    if (message.term() > term())
        becomeFollower(message.term(), now);
    reply.set_term(term());
    replica_key votedFor { m_hardState.voted_for_vm(), m_hardState.voted_for_incarnation() };
    bool free = votedFor.vm.empty() || votedFor == keyOf(message.from());
    bool granted = message.term() == term() && free && upToDate;
    if (granted) {
        m_hardState.set_voted_for_vm(message.from().vm());
        m_hardState.set_voted_for_incarnation(message.from().incarnation());
        saveHardState();
        resetElectionTimer(now);
    }
    reply.set_reject(!granted);
    send(std::move(reply));
}

void raft_core::onVoteReply(const wire::raft_message& message, time_point now)
{
    bool preVote = message.kind() == wire::RAFT_PRE_VOTE_REPLY;
    if (message.reject()) {
        if (message.term() > term())
            becomeFollower(message.term(), now);
        return;
    }
    auto expectedRole = preVote ? raft_role::PreCandidate : raft_role::Candidate;
    auto expectedTerm = preVote ? term() + 1 : term();
    if (m_role != expectedRole || message.term() != expectedTerm || !isVoter(keyOf(message.from())))
        return;
    m_votes.insert(keyOf(message.from()));
    if (m_votes.size() < quorum())
        return;
    if (preVote)
        startElection(now);
    else
        becomeLeader(now);
}

void raft_core::becomeLeader(time_point now)
{
    m_role = raft_role::Leader;
    m_leader = m_self;
    m_heardLeaderAt = now;
    m_rounds.clear();
    m_progress.clear();
    refreshProgress();
    // Entries of earlier terms count as committed only behind one of this term.
    appendOwn(wire::ENTRY_NOOP, "");
    broadcast(now, true);
}

} // namespace pistachiolatch
