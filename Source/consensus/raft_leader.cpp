#include "consensus/raft_core.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Older rounds are forgotten beyond this number, unless their acknowledgement could still extend the lease.
    constexpr std::size_t maxOldRounds = 64;
    constexpr int maxVoters = 5;
    // The lease lasts nine tenths of the minimum election timeout, to allow for clocks that run at different speeds.
    constexpr int leaseTenths = 9;
}

void raft_core::refreshProgress()
{
    if (m_role != raft_role::Leader)
        return;
    for (auto& [key, progress] : m_progress)
        progress.voter = isVoter(key);
    for (const auto& voter : m_members.voters()) {
        auto key = keyOf(voter);
        if (key == keyOf(m_self) || m_progress.count(key))
            continue;
        follower_progress progress;
        progress.id = voter;
        progress.nextIndex = m_log.lastIndex() + 1;
        progress.lastContact = m_now;
        progress.voter = true;
        m_progress.emplace(key, std::move(progress));
    }
}

void raft_core::broadcast(time_point now, bool newRound)
{
    m_broadcastPending = false;
    if (newRound) {
        m_rounds.push_back({ ++m_round, now });
        while (m_rounds.size() > maxOldRounds && now - m_rounds.front().sentAt > m_settings.minElectionTimeout)
            m_rounds.pop_front();
        m_heartbeatDue = now + m_settings.heartbeatInterval;
    }
    for (auto& [key, progress] : m_progress)
        sendAppend(progress, now);
}

void raft_core::sendAppend(follower_progress& progress, time_point now)
{
    if (progress.nextIndex <= m_log.baseIndex()) {
        sendSnapshot(progress, now);
        return;
    }
    auto message = makeMessage(wire::RAFT_APPEND, progress.id);
    message.set_index(progress.nextIndex - 1);
    message.set_log_term(m_log.termAt(progress.nextIndex - 1));
    message.set_commit(m_commitIndex);
    message.set_round(m_round);
    std::size_t bytes = 0;
    while (progress.nextIndex <= m_log.lastIndex() && bytes < m_settings.maxBytesPerMessage
        && static_cast<std::size_t>(message.entries_size()) < m_settings.maxEntriesPerMessage) {
        const auto& entry = m_log.at(progress.nextIndex++);
        bytes += entry.data().size();
        *message.add_entries() = entry;
    }
    send(std::move(message));
}

std::shared_ptr<const raft_core::serialized_snapshot> raft_core::serializeSnapshot()
{
    if (!m_serializedSnapshot || m_serializedSnapshot->index != m_snapshot.index())
        m_serializedSnapshot = std::make_shared<serialized_snapshot>(serialized_snapshot { m_snapshot.index(), m_snapshot.term(), m_snapshot.SerializeAsString() });
    return m_serializedSnapshot;
}

void raft_core::sendSnapshot(follower_progress& progress, time_point now)
{
    if (!progress.snapshot) {
        progress.snapshot = serializeSnapshot();
        progress.snapshotOffset = 0;
        progress.snapshotSentAt = {};
    }
    if (progress.snapshotSentAt != time_point {} && now - progress.snapshotSentAt < m_settings.snapshotRetryTimeout)
        return;
    progress.snapshotSentAt = now;
    const auto& snapshot = *progress.snapshot;
    auto message = makeMessage(wire::RAFT_SNAPSHOT_PIECE, progress.id);
    message.set_index(snapshot.index);
    message.set_log_term(snapshot.term);
    message.set_snapshot_bytes(snapshot.data.size());
    message.set_piece_offset(progress.snapshotOffset);
    message.set_piece(snapshot.data.substr(progress.snapshotOffset, m_settings.snapshotPieceBytes));
    message.set_round(m_round);
    send(std::move(message));
}

raft_core::follower_progress* raft_core::recordReply(const wire::raft_message& message, time_point now)
{
    if (message.term() > term()) {
        becomeFollower(message.term(), now);
        return nullptr;
    }
    auto found = m_progress.find(keyOf(message.from()));
    if (m_role != raft_role::Leader || message.term() < term() || found == m_progress.end())
        return nullptr;
    auto& progress = found->second;
    progress.lastContact = now;
    progress.ackedRound = std::max(progress.ackedRound, message.round());
    return &progress;
}

void raft_core::handleSnapshotPieceReply(const wire::raft_message& message, time_point now)
{
    auto* follower = recordReply(message, now);
    if (!follower)
        return;
    auto& progress = *follower;
    bool current = progress.snapshot && message.index() == progress.snapshot->index;
    // A duplicate reply asks for a piece that was already sent.
    if (!current || message.piece_offset() == progress.snapshotOffset || message.piece_offset() >= progress.snapshot->data.size())
        return;
    progress.snapshotOffset = message.piece_offset();
    progress.snapshotSentAt = {};
    sendSnapshot(progress, now);
}

void raft_core::handleAppendReply(const wire::raft_message& message, time_point now)
{
    auto* follower = recordReply(message, now);
    if (!follower)
        return;
    auto& progress = *follower;
    if (message.reject()) {
        progress.nextIndex = std::max(progress.matchIndex, message.index()) + 1;
        sendAppend(progress, now);
        return;
    }
    bool lagging = progress.nextIndex <= m_log.lastIndex();
    progress.matchIndex = std::max(progress.matchIndex, message.index());
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    if (progress.snapshot && progress.matchIndex >= progress.snapshot->index)
        progress.snapshot.reset();
    advanceCommit();
    if (lagging)
        sendAppend(progress, now);
}

void raft_core::advanceCommit()
{
    if (m_role != raft_role::Leader)
        return;
    std::vector<std::uint64_t> matches;
    if (isVoter())
        matches.push_back(m_storedIndex);
    for (const auto& [key, progress] : m_progress) {
        if (progress.voter)
            matches.push_back(progress.matchIndex);
    }
    if (matches.size() < quorum())
        return;
    std::sort(matches.rbegin(), matches.rend());
    auto candidate = matches[quorum() - 1];
    if (candidate <= m_commitIndex || m_log.termAt(candidate) != term())
        return;
    commitTo(candidate);
    // Followers are told the new commit index at once, not with the next heartbeat.
    m_broadcastPending = true;
}

bool raft_core::hasCommittedInTerm() const
{
    return m_role == raft_role::Leader && m_log.termAt(m_commitIndex) == term();
}

std::uint64_t raft_core::quorumRound() const
{
    std::vector<std::uint64_t> rounds;
    if (isVoter())
        rounds.push_back(m_round);
    for (const auto& [key, progress] : m_progress) {
        if (progress.voter)
            rounds.push_back(progress.ackedRound);
    }
    if (rounds.size() < quorum())
        return 0;
    std::sort(rounds.rbegin(), rounds.rend());
    return rounds[quorum() - 1];
}

std::optional<time_point> raft_core::leadershipConfirmedAt(time_point now) const
{
    if (!hasCommittedInTerm())
        return std::nullopt;
    if (isVoter() && quorum() == 1)
        return now;
    return roundSentAt(quorumRound());
}

std::optional<time_point> raft_core::roundSentAt(std::uint64_t round) const
{
    // The tracked rounds have consecutive numbers.
    if (m_rounds.empty() || round < m_rounds.front().round || round > m_rounds.back().round)
        return std::nullopt;
    return m_rounds[round - m_rounds.front().round].sentAt;
}

bool raft_core::leaseValid(time_point now) const
{
    if (m_role != raft_role::Leader)
        return false;
    if (isVoter() && quorum() == 1)
        return true;
    auto sentAt = roundSentAt(quorumRound());
    return sentAt && now - *sentAt < m_settings.minElectionTimeout * leaseTenths / 10;
}

void raft_core::requestRead(std::uint64_t id)
{
    if (!hasCommittedInTerm()) {
        m_ready.failedReads.push_back(id);
        return;
    }
    // Only an acknowledged round that was sent after the request proves that no newer leader had been elected.
    m_reads.push_back({ id, m_round + 1 });
    m_broadcastPending = true;
}

void raft_core::completeReads()
{
    if (m_reads.empty())
        return;
    auto confirmed = quorumRound();
    std::erase_if(m_reads, [&](const pending_read& read) {
        if (read.round > confirmed)
            return false;
        m_ready.confirmedReads.push_back(read.id);
        return true;
    });
}

void raft_core::failReads()
{
    for (const auto& read : m_reads)
        m_ready.failedReads.push_back(read.id);
    m_reads.clear();
}

void raft_core::handleJoinRequest(const wire::replica_id& replica, time_point now)
{
    auto key = keyOf(replica);
    if (m_role != raft_role::Leader || key == keyOf(m_self))
        return;
    auto found = m_progress.find(key);
    if (found != m_progress.end()) {
        found->second.lastContact = now;
        return;
    }
    follower_progress progress;
    progress.id = replica;
    progress.nextIndex = m_log.lastIndex() + 1;
    progress.lastContact = now;
    sendAppend(m_progress.emplace(key, std::move(progress)).first->second, now);
}

bool raft_core::membershipChangePending() const
{
    return m_membersIndex > m_commitIndex || !hasCommittedInTerm();
}

void raft_core::updateMembership(time_point now)
{
    std::erase_if(m_progress, [&](const auto& item) {
        return !item.second.voter && now - item.second.lastContact > m_settings.learnerTimeout;
    });
    if (membershipChangePending())
        return;
    for (const auto& item : m_progress) {
        const auto& progress = item.second;
        // Only a replica that has stored all committed entries becomes a voter. Otherwise the loss of a second VM right
        // after a replacement could remove the last copy of an acknowledged entry.
        if (progress.voter || progress.matchIndex < m_commitIndex)
            continue;
        auto changed = m_members;
        auto* voters = changed.mutable_voters();
        auto earlier = std::find_if(voters->begin(), voters->end(), [&](const auto& voter) { return voter.vm() == item.first.vm; });
        if (earlier != voters->end())
            voters->erase(earlier);
        else if (voters->size() < maxVoters)
            *changed.add_voters() = progress.id;
        else if (!removeUnresponsiveVoter(changed, progress, now))
            continue;
        appendAsLeader(wire::ENTRY_MEMBERSHIP, changed.SerializeAsString());
        return;
    }
}

bool raft_core::removeUnresponsiveVoter(wire::replica_set& changed, const follower_progress& learner, time_point now) const
{
    // A VM that is lost for good is replaced by one with another address. While the lost VM remains a voter, the log
    // tolerates one failure less. This change removes it; the next one adds the learner.
    if (now - learner.lastContact > m_settings.heartbeatInterval * 4)
        return false;
    auto* voters = changed.mutable_voters();
    auto unresponsive = std::find_if(voters->begin(), voters->end(), [&](const auto& voter) {
        auto found = m_progress.find(keyOf(voter));
        return found != m_progress.end() && now - found->second.lastContact > m_settings.voterTimeout;
    });
    if (unresponsive == voters->end())
        return false;
    voters->erase(unresponsive);
    return true;
}

} // namespace pistachiolatch
