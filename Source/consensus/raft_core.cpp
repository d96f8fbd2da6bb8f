#include "consensus/raft_core.h"

#include <algorithm>

namespace pistachiolatch {

replica_key keyOf(const wire::replica_id& id)
{
    return { id.vm(), id.incarnation() };
}

raft_core::raft_core(wire::replica_id self, raft_settings settings, std::uint64_t seed, raft_persistent_state restored, time_point now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
    , m_hardState(std::move(restored.hardState))
    , m_storedHardState(m_hardState)
    , m_snapshot(std::move(restored.snapshot))
    , m_log(m_snapshot.index(), m_snapshot.term(), std::move(restored.entries))
    , m_commitIndex(m_snapshot.index())
    , m_storedIndex(m_log.lastIndex())
    , m_now(now)
    // A replica that restarts may have acknowledged a heartbeat just before. Treating the start as contact with a leader
    // keeps it from voting for another candidate while that leader's lease is still valid.
    , m_lastLeaderContact(now)
{
    refreshMembers();
    resetElectionTimer(now);
}

void raft_core::bootstrap()
{
    wire::replica_set voters;
    *voters.add_voters() = m_self;
    bootstrap(voters);
}

void raft_core::bootstrap(const wire::replica_set& voters)
{
    m_hardState.set_term(1);
    saveHardState();
    wire::log_entry entry;
    entry.set_index(1);
    entry.set_term(1);
    entry.set_kind(wire::ENTRY_MEMBERSHIP);
    entry.set_data(voters.SerializeAsString());
    m_ready.write.append.push_back(entry);
    m_log.append(std::move(entry));
    refreshMembers();
}

void raft_core::tick(time_point now)
{
    m_now = now;
    if (m_role == raft_role::Leader) {
        if (leaseValid(now))
            m_lastLeaderContact = now;
        // A leader that lost its quorum steps down, so that callers get "no quorum" instead of stale state.
        if (now - m_lastLeaderContact > m_settings.maxElectionTimeout) {
            becomeFollower(term(), now);
            return;
        }
        updateMembership(now);
        if (now >= m_heartbeatDue || m_broadcastPending)
            broadcast(now, true);
        return;
    }
    if (now < m_electionDue || !isVoter())
        return;
    // Until its vote is stored, neither this replica nor the one that it voted for can have been elected.
    if (isHardStateStored())
        startPreVote(now);
    else
        resetElectionTimer(now);
}

void raft_core::step(const wire::raft_message& message, time_point now)
{
    m_now = now;
    // Ignore messages to an earlier incarnation of this VM.
    if (keyOf(message.to()) != keyOf(m_self))
        return;
    switch (message.kind()) {
    case wire::RAFT_PRE_VOTE:
    case wire::RAFT_VOTE:
        handleVoteRequest(message, now);
        return;
    case wire::RAFT_PRE_VOTE_REPLY:
    case wire::RAFT_VOTE_REPLY:
        handleVoteReply(message, now);
        return;
    case wire::RAFT_APPEND:
        handleAppend(message, now);
        return;
    case wire::RAFT_APPEND_REPLY:
        handleAppendReply(message, now);
        return;
    case wire::RAFT_SNAPSHOT:
        handleSnapshot(message, now);
        return;
    case wire::RAFT_SNAPSHOT_PIECE:
        handleSnapshotPiece(message, now);
        return;
    case wire::RAFT_SNAPSHOT_PIECE_REPLY:
        handleSnapshotPieceReply(message, now);
        return;
    default:
        return;
    }
}

std::optional<log_position> raft_core::propose(std::string command)
{
    if (m_role != raft_role::Leader || isStorageBehind())
        return std::nullopt;
    appendAsLeader(wire::ENTRY_COMMAND, std::move(command));
    return log_position { m_log.lastIndex(), term() };
}

void raft_core::appendAsLeader(wire::entry_kind kind, std::string data)
{
    wire::log_entry entry;
    entry.set_index(m_log.lastIndex() + 1);
    entry.set_term(term());
    entry.set_kind(kind);
    entry.set_data(std::move(data));
    m_ready.write.append.push_back(entry);
    m_log.append(std::move(entry));
    if (kind == wire::ENTRY_MEMBERSHIP)
        refreshMembers();
    m_broadcastPending = true;
}

bool raft_core::compact(std::uint64_t index, std::string state)
{
    if (index <= m_log.baseIndex() || index > m_commitIndex)
        return false;
    m_snapshot.set_index(index);
    m_snapshot.set_term(m_log.termAt(index));
    m_snapshot.set_state(std::move(state));
    // The members at the snapshot's index: those of the newest membership entry up to it.
    for (auto i = index; i >= m_log.firstIndex(); --i) {
        if (m_log.at(i).kind() != wire::ENTRY_MEMBERSHIP)
            continue;
        m_snapshot.mutable_members()->ParseFromString(m_log.at(i).data());
        break;
    }
    m_log.compactTo(index);
    return true;
}

raft_ready raft_core::takeReady(bool takesWrite)
{
    if (m_role == raft_role::Leader && m_broadcastPending)
        broadcast(m_now, !m_reads.empty());
    completeReads();
    auto ready = std::exchange(m_ready, {});
    if (!takesWrite && !ready.write.snapshot) {
        std::swap(m_ready.write, ready.write);
        std::swap(m_ready.messagesAfterWrite, ready.messagesAfterWrite);
    }
    return ready;
}

log_position raft_write::end() const
{
    if (!append.empty())
        return { append.back().index(), append.back().term() };
    if (snapshot)
        return { snapshot->index(), snapshot->term() };
    return {};
}

void raft_core::recordStored(const std::optional<wire::hard_state>& hardState, log_position end, time_point now)
{
    if (hardState) {
        m_storedHardState = *hardState;
        if (m_role == raft_role::Candidate && isHardStateStored())
            extendElection(now);
    }
    // Entries that another leader replaced meanwhile are stored by a later write.
    bool isInLog = end.index > 0 && end.index >= m_log.baseIndex() && m_log.termAt(end.index) == end.term;
    if (isInLog)
        m_storedIndex = std::max(m_storedIndex, end.index);
    advanceCommit();
}

bool raft_core::isStorageBehind() const
{
    auto first = std::max(m_storedIndex + 1, m_log.firstIndex());
    if (m_log.lastIndex() > first + m_settings.maxUnstoredEntries)
        return true;
    std::size_t bytes = 0;
    for (auto index = first; index <= m_log.lastIndex(); ++index)
        bytes += m_log.at(index).data().size();
    return bytes > m_settings.maxUnstoredBytes;
}

bool raft_core::isHardStateStored() const
{
    return m_storedHardState.term() == m_hardState.term() && m_storedHardState.voted_for_vm() == m_hardState.voted_for_vm()
        && m_storedHardState.voted_for_incarnation() == m_hardState.voted_for_incarnation();
}

void raft_core::becomeFollower(std::uint64_t newTerm, time_point now)
{
    if (newTerm > term()) {
        m_hardState.set_term(newTerm);
        m_hardState.clear_voted_for_vm();
        m_hardState.clear_voted_for_incarnation();
        saveHardState();
        m_leader.reset();
    }
    if (m_role == raft_role::Leader)
        m_leader.reset();
    m_role = raft_role::Follower;
    m_votes.clear();
    m_progress.clear();
    failReads();
    resetElectionTimer(now);
}

void raft_core::handleAppend(const wire::raft_message& message, time_point now)
{
    auto reply = makeMessage(wire::RAFT_APPEND_REPLY, message.from());
    if (message.term() < term()) {
        reply.set_reject(true);
        send(std::move(reply));
        return;
    }
    followLeader(message, now);

    reply.set_term(term());
    reply.set_round(message.round());
    if (message.entries_size() > 0 && isStorageBehind()) {
        // What is committed is in the leader's log too. It sends the rest again once this replica takes entries.
        reply.set_index(std::min(m_storedIndex, m_commitIndex));
        send(std::move(reply));
        return;
    }
    bool covered = message.index() < m_log.baseIndex();
    bool matches = covered || m_log.termAt(message.index()) == message.log_term();
    if (!matches || (message.index() > m_log.lastIndex())) {
        reply.set_reject(true);
        // The leader continues after this index, the last one at which the logs can match.
        reply.set_index(std::min(m_log.lastIndex(), message.index() > 0 ? message.index() - 1 : 0));
        send(std::move(reply));
        return;
    }
    appendEntries(message);
    auto lastNew = message.index() + static_cast<std::uint64_t>(message.entries_size());
    // Entries covered by the snapshot are committed, so they match without comparing terms.
    auto matchIndex = std::max(lastNew, covered ? m_log.baseIndex() : 0);
    commitTo(std::min(message.commit(), matchIndex));
    reply.set_index(matchIndex);
    sendAppendReply(std::move(reply));
}

void raft_core::appendEntries(const wire::raft_message& message)
{
    for (const auto& entry : message.entries()) {
        if (entry.index() <= m_log.baseIndex() || m_log.termAt(entry.index()) == entry.term())
            continue;
        if (entry.index() <= m_log.lastIndex())
            truncateFrom(entry.index());
        m_ready.write.append.push_back(entry);
        m_log.append(entry);
    }
    refreshMembers();
}

void raft_core::truncateFrom(std::uint64_t index)
{
    m_log.truncateFrom(index);
    m_storedIndex = std::min(m_storedIndex, index - 1);
    std::erase_if(m_ready.write.append, [&](const auto& pending) { return pending.index() >= index; });
}

void raft_core::followLeader(const wire::raft_message& message, time_point now)
{
    if (message.term() > term() || m_role != raft_role::Follower)
        becomeFollower(message.term(), now);
    m_leader = message.from();
    m_lastLeaderContact = now;
    resetElectionTimer(now);
}

void raft_core::handleSnapshot(const wire::raft_message& message, time_point now)
{
    if (message.term() < term())
        return;
    followLeader(message, now);
    installSnapshot(message.snapshot());
    acknowledgeSnapshot(message, message.snapshot().index());
}

void raft_core::handleSnapshotPiece(const wire::raft_message& message, time_point now)
{
    if (message.term() < term())
        return;
    followLeader(message, now);
    // The snapshot was already installed; its acknowledgement was lost.
    if (message.index() <= m_commitIndex) {
        acknowledgeSnapshot(message, message.index());
        return;
    }
    bool differentSnapshot = message.index() != m_incomingSnapshot.index || message.log_term() != m_incomingSnapshot.term || message.snapshot_bytes() != m_incomingSnapshot.bytes;
    if (differentSnapshot)
        m_incomingSnapshot = { message.index(), message.log_term(), message.snapshot_bytes(), {} };
    if (message.piece_offset() == m_incomingSnapshot.data.size())
        m_incomingSnapshot.data += message.piece();
    if (m_incomingSnapshot.data.size() < m_incomingSnapshot.bytes) {
        auto reply = makeMessage(wire::RAFT_SNAPSHOT_PIECE_REPLY, message.from());
        reply.set_round(message.round());
        reply.set_index(message.index());
        reply.set_piece_offset(m_incomingSnapshot.data.size());
        send(std::move(reply));
        return;
    }
    wire::raft_snapshot snapshot;
    bool valid = m_incomingSnapshot.data.size() == m_incomingSnapshot.bytes && snapshot.ParseFromString(m_incomingSnapshot.data) && snapshot.index() == message.index();
    m_incomingSnapshot = {};
    // Without a reply to an invalid snapshot, the leader's retry starts the transfer again from the beginning.
    if (!valid)
        return;
    installSnapshot(snapshot);
    acknowledgeSnapshot(message, snapshot.index());
}

void raft_core::installSnapshot(const wire::raft_snapshot& snapshot)
{
    // A delayed or duplicated snapshot may end within this log. The entries after it were acknowledged; removing them
    // would leave the leader counting copies that no longer exist.
    bool alreadyInLog = m_log.termAt(snapshot.index()) == snapshot.term();
    if (alreadyInLog)
        commitTo(snapshot.index());
    if (alreadyInLog || snapshot.index() <= m_commitIndex)
        return;
    m_snapshot = snapshot;
    m_log.reset(snapshot.index(), snapshot.term());
    m_commitIndex = snapshot.index();
    // Pending entries that are not persisted yet precede the snapshot or conflict with it.
    m_ready.write.append.clear();
    m_ready.committed.clear();
    m_ready.write.snapshot = snapshot;
    m_storedIndex = 0;
    refreshMembers();
}

void raft_core::acknowledgeSnapshot(const wire::raft_message& message, std::uint64_t index)
{
    auto reply = makeMessage(wire::RAFT_APPEND_REPLY, message.from());
    reply.set_round(message.round());
    reply.set_index(std::max(m_commitIndex, index));
    sendAppendReply(std::move(reply));
}

void raft_core::commitTo(std::uint64_t index)
{
    for (; m_commitIndex < index; ++m_commitIndex)
        m_ready.committed.push_back(m_log.at(m_commitIndex + 1));
}

void raft_core::refreshMembers()
{
    // The newest membership entry in the log takes effect when it is appended, committed or not.
    for (auto i = m_log.lastIndex(); i >= m_log.firstIndex() && i > 0; --i) {
        if (m_log.at(i).kind() != wire::ENTRY_MEMBERSHIP)
            continue;
        m_members.ParseFromString(m_log.at(i).data());
        m_membersIndex = i;
        refreshProgress();
        return;
    }
    m_members = m_snapshot.members();
    m_membersIndex = m_snapshot.index();
    refreshProgress();
}

bool raft_core::isVoter(const replica_key& key) const
{
    return std::any_of(m_members.voters().begin(), m_members.voters().end(), [&](const auto& voter) { return keyOf(voter) == key; });
}

wire::raft_message raft_core::makeMessage(wire::raft_kind kind, const wire::replica_id& to) const
{
    wire::raft_message message;
    message.set_kind(kind);
    *message.mutable_from() = m_self;
    *message.mutable_to() = to;
    message.set_term(term());
    return message;
}

void raft_core::send(wire::raft_message message)
{
    bool isVote = message.kind() == wire::RAFT_PRE_VOTE || message.kind() == wire::RAFT_PRE_VOTE_REPLY || message.kind() == wire::RAFT_VOTE || message.kind() == wire::RAFT_VOTE_REPLY;
    // A replica that restarts must not take part again in a term that it has forgotten.
    auto& messages = isVote || !isHardStateStored() ? m_ready.messagesAfterWrite : m_ready.messages;
    messages.push_back(std::move(message));
}

void raft_core::sendAppendReply(wire::raft_message message)
{
    if (message.index() <= m_storedIndex) {
        send(std::move(message));
        return;
    }
    // The round is confirmed at once, so that the leader keeps its lease however long the write takes.
    auto stored = message;
    stored.set_index(m_storedIndex);
    send(std::move(stored));
    // A later confirmation to the same leader includes the earlier ones.
    auto& waiting = m_ready.messagesAfterWrite;
    bool includesLast = !waiting.empty() && waiting.back().kind() == wire::RAFT_APPEND_REPLY && waiting.back().term() == message.term()
        && !waiting.back().reject() && waiting.back().index() <= message.index() && keyOf(waiting.back().to()) == keyOf(message.to());
    if (includesLast)
        waiting.back() = std::move(message);
    else
        waiting.push_back(std::move(message));
}

} // namespace pistachiolatch
