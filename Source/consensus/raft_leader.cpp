#include "consensus/raft_core.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    constexpr std::size_t mostRoundsKept = 64;
    constexpr int mostVoters = 5;
    // The lease ends a tenth before the followers' silence does, for clocks that run at different speeds.
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
        progress.next = m_log.lastIndex() + 1;
        progress.lastHeard = m_now;
        progress.voter = true;
        m_progress.emplace(key, std::move(progress));
    }
}

void raft_core::broadcast(time_point now, bool newRound)
{
    m_broadcastWanted = false;
    if (newRound) {
        m_rounds.push_back({ ++m_round, now });
        if (m_rounds.size() > mostRoundsKept)
            m_rounds.erase(m_rounds.begin());
        m_heartbeatDue = now + m_settings.heartbeatInterval;
    }
    for (auto& [key, progress] : m_progress)
        sendAppend(progress, now);
}

void raft_core::sendAppend(follower_progress& progress, time_point now)
{
    if (progress.next <= m_log.baseIndex()) {
        sendSnapshot(progress, now);
        return;
    }
    auto message = makeMessage(wire::RAFT_APPEND, progress.id);
    message.set_index(progress.next - 1);
    message.set_log_term(m_log.termAt(progress.next - 1));
    message.set_commit(m_commit);
    message.set_round(m_round);
    std::size_t bytes = 0;
    while (progress.next <= m_log.lastIndex() && bytes < m_settings.mostBytesPerMessage
        && static_cast<std::size_t>(message.entries_size()) < m_settings.mostEntriesPerMessage) {
        const auto& entry = m_log.at(progress.next++);
        bytes += entry.data().size();
        *message.add_entries() = entry;
    }
    send(std::move(message));
}

std::shared_ptr<const raft_core::written_snapshot> raft_core::newestWrittenSnapshot()
{
    if (!m_writtenSnapshot || m_writtenSnapshot->index != m_snapshot.index())
        m_writtenSnapshot = std::make_shared<written_snapshot>(written_snapshot { m_snapshot.index(), m_snapshot.term(), m_snapshot.SerializeAsString() });
    return m_writtenSnapshot;
}

void raft_core::sendSnapshot(follower_progress& progress, time_point now)
{
    if (!progress.snapshot) {
        progress.snapshot = newestWrittenSnapshot();
        progress.snapshotOffset = 0;
        progress.snapshotSentAt = {};
    }
    if (progress.snapshotSentAt != time_point {} && now - progress.snapshotSentAt < m_settings.snapshotRetry)
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

raft_core::follower_progress* raft_core::noteAnswer(const wire::raft_message& message, time_point now)
{
    if (message.term() > term()) {
        becomeFollower(message.term(), now);
        return nullptr;
    }
    auto found = m_progress.find(keyOf(message.from()));
    if (m_role != raft_role::Leader || message.term() < term() || found == m_progress.end())
        return nullptr;
    auto& progress = found->second;
    progress.lastHeard = now;
    progress.ackedRound = std::max(progress.ackedRound, message.round());
    return &progress;
}

void raft_core::onSnapshotPieceReply(const wire::raft_message& message, time_point now)
{
    auto* answering = noteAnswer(message, now);
    if (!answering)
        return;
    auto& progress = *answering;
    bool current = progress.snapshot && message.index() == progress.snapshot->index;
    // A reply that came twice asks for what was sent already.
    if (!current || message.piece_offset() == progress.snapshotOffset || message.piece_offset() >= progress.snapshot->data.size())
        return;
    progress.snapshotOffset = message.piece_offset();
    progress.snapshotSentAt = {};
    sendSnapshot(progress, now);
}

void raft_core::onAppendReply(const wire::raft_message& message, time_point now)
{
    auto* answering = noteAnswer(message, now);
    if (!answering)
        return;
    auto& progress = *answering;
    if (message.reject()) {
        progress.next = std::max(progress.match, message.index()) + 1;
        sendAppend(progress, now);
        return;
    }
    bool lagging = progress.next <= m_log.lastIndex();
    progress.match = std::max(progress.match, message.index());
    progress.next = std::max(progress.next, progress.match + 1);
    if (progress.snapshot && progress.match >= progress.snapshot->index)
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
        matches.push_back(m_log.lastIndex());
    for (const auto& [key, progress] : m_progress) {
        if (progress.voter)
            matches.push_back(progress.match);
    }
    if (matches.size() < quorum())
        return;
    std::sort(matches.rbegin(), matches.rend());
    auto candidate = matches[quorum() - 1];
    if (candidate <= m_commit || m_log.termAt(candidate) != term())
        return;
    commitTo(candidate);
    // Followers learn of the commit at once, not at the next heartbeat.
    m_broadcastWanted = true;
}

bool raft_core::hasCommittedInTerm() const
{
    return m_role == raft_role::Leader && m_log.termAt(m_commit) == term();
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
    auto round = quorumRound();
    for (const auto& sent : m_rounds) {
        if (sent.round == round)
            return sent.sentAt;
    }
    return std::nullopt;
}

bool raft_core::leaseValid(time_point now) const
{
    if (m_role != raft_role::Leader)
        return false;
    auto round = quorumRound();
    if (isVoter() && quorum() == 1)
        return true;
    for (const auto& sent : m_rounds) {
        if (sent.round == round)
            return now - sent.sentAt < m_settings.minElectionTimeout * leaseTenths / 10;
    }
    return false;
}

void raft_core::requestRead(std::uint64_t id)
{
    if (!hasCommittedInTerm()) {
        m_ready.readsFailed.push_back(id);
        return;
    }
    // Only an acknowledgement of a round sent after the question proves that no newer leader had been elected.
    m_reads.push_back({ id, m_round + 1 });
    m_broadcastWanted = true;
}

void raft_core::answerReads()
{
    if (m_reads.empty())
        return;
    auto confirmed = quorumRound();
    std::erase_if(m_reads, [&](const pending_read& waiting) {
        if (waiting.round > confirmed)
            return false;
        m_ready.readsDone.push_back(waiting.id);
        return true;
    });
}

void raft_core::failReads()
{
    for (const auto& waiting : m_reads)
        m_ready.readsFailed.push_back(waiting.id);
    m_reads.clear();
}

void raft_core::handleJoinRequest(const wire::replica_id& replica, time_point now)
{
    auto key = keyOf(replica);
    if (m_role != raft_role::Leader || key == keyOf(m_self))
        return;
    auto found = m_progress.find(key);
    if (found != m_progress.end()) {
        found->second.lastHeard = now;
        return;
    }
    follower_progress progress;
    progress.id = replica;
    progress.next = m_log.lastIndex() + 1;
    progress.lastHeard = now;
    sendAppend(m_progress.emplace(key, std::move(progress)).first->second, now);
}

bool raft_core::membershipChangePending() const
{
    return m_membersIndex > m_commit || !hasCommittedInTerm();
}

void raft_core::stepMembership(time_point now)
{
    std::erase_if(m_progress, [&](const auto& item) {
        return !item.second.voter && now - item.second.lastHeard > m_settings.joinerSilence;
    });
    if (membershipChangePending())
        return;
    for (const auto& item : m_progress) {
        const auto& progress = item.second;
        // A vote only for a replica that holds, synced, all that is committed. Otherwise a second VM lost
        // right after a repair could take the last copy of an acknowledged entry with it.
        if (progress.voter || progress.match < m_commit)
            continue;
        auto changed = m_members;
        auto* voters = changed.mutable_voters();
        auto earlier = std::find_if(voters->begin(), voters->end(), [&](const auto& voter) { return voter.vm() == item.first.vm; });
        if (earlier != voters->end())
            voters->erase(earlier);
        else if (voters->size() < mostVoters)
            *changed.add_voters() = progress.id;
        else if (!replaceVoter(changed, progress, now))
            continue;
        appendOwn(wire::ENTRY_MEMBERSHIP, changed.SerializeAsString());
        return;
    }
}

bool raft_core::replaceVoter(wire::replica_set& changed, const follower_progress& joiner, time_point now) const
{
    // A VM that is gone for good is succeeded by one with another address. While its place stays taken, the log
    // bears one loss less than it should. The place is freed first and filled by the next change.
    if (now - joiner.lastHeard > m_settings.heartbeatInterval * 4)
        return false;
    auto* voters = changed.mutable_voters();
    auto silent = std::find_if(voters->begin(), voters->end(), [&](const auto& voter) {
        auto found = m_progress.find(keyOf(voter));
        return found != m_progress.end() && now - found->second.lastHeard > m_settings.voterSilence;
    });
    if (silent == voters->end())
        return false;
    voters->erase(silent);
    return true;
}

} // namespace pistachiolatch
