#include "consensus/raft_core.h"

namespace pistachiolatch {

bool raft_core::hasRecentLeaderContact(time_point now) const
{
    return now - m_lastLeaderContact < m_settings.minElectionTimeout;
}

void raft_core::resetElectionTimer(time_point now)
{
    std::uniform_int_distribution<std::int64_t> timeout(m_settings.minElectionTimeout.count(), m_settings.maxElectionTimeout.count());
    m_electionDue = now + milliseconds(timeout(m_random));
}

void raft_core::extendElection(time_point now)
{
    resetElectionTimer(now);
    m_electionDue += 2 * (now - m_electionStartedAt);
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
        // The term that an election would have. The replica's own term is unchanged, so that one that returns from a
        // partition does not force the others into a new term.
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
    m_electionStartedAt = now;
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

void raft_core::handleVoteRequest(const wire::raft_message& message, time_point now)
{
    bool preVote = message.kind() == wire::RAFT_PRE_VOTE;
    auto reply = makeMessage(preVote ? wire::RAFT_PRE_VOTE_REPLY : wire::RAFT_VOTE_REPLY, message.from());
    // Leader stickiness: no vote is granted while there is contact with a leader, or this replica is a leader with a
    // valid lease. The lease depends on it.
    bool leaderAlive = m_role == raft_role::Leader ? leaseValid(now) : hasRecentLeaderContact(now);
    bool upToDate = logIsUpToDate(message.index(), message.log_term());
    // This replica may vote without knowing that it is a voter: the candidate counts the vote only if its newest
    // membership contains this replica. Rejecting would block a log of two voters when the first restarts before the
    // second has received the entry that makes it a voter.
    if (leaderAlive) {
        reply.set_reject(true);
        send(std::move(reply));
        return;
    }
    if (preVote) {
        bool rejected = message.term() <= term() || !upToDate;
        reply.set_reject(rejected);
        // A grant carries the requested term; a rejection carries this replica's term, so that an outdated candidate catches up.
        if (!rejected)
            reply.set_term(message.term());
        send(std::move(reply));
        return;
    }
    if (message.term() > term())
        becomeFollower(message.term(), now);
    reply.set_term(term());
    replica_key votedFor { m_hardState.voted_for_vm(), m_hardState.voted_for_incarnation() };
    bool voteAvailable = votedFor.vm.empty() || votedFor == keyOf(message.from());
    bool granted = message.term() == term() && voteAvailable && upToDate;
    if (granted) {
        m_hardState.set_voted_for_vm(message.from().vm());
        m_hardState.set_voted_for_incarnation(message.from().incarnation());
        saveHardState();
        resetElectionTimer(now);
    }
    reply.set_reject(!granted);
    send(std::move(reply));
}

void raft_core::handleVoteReply(const wire::raft_message& message, time_point now)
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
    m_lastLeaderContact = now;
    m_rounds.clear();
    m_progress.clear();
    refreshProgress();
    // Entries of earlier terms are committed only by committing an entry of this term after them.
    appendAsLeader(wire::ENTRY_NOOP, "");
    broadcast(now, true);
}

} // namespace pistachiolatch
