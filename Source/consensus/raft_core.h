#pragma once
#include "consensus/memory_log.h"
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Identifies a replica: a VM and the incarnation of its storage. A VM whose storage was wiped becomes a new replica
/// without a vote; otherwise it could vote twice in one term or lose entries that it acknowledged.
struct replica_key {
    std::string vm;
    std::uint64_t incarnation = 0;
    auto operator<=>(const replica_key&) const = default;
};

replica_key keyOf(const wire::replica_id& id);

struct raft_settings {
    milliseconds heartbeatInterval { 60 };
    milliseconds minElectionTimeout { 500 };
    milliseconds maxElectionTimeout { 900 };
    /// The leader removes a learner (a replica without a vote that is catching up) after this long without contact.
    milliseconds learnerTimeout { 3000 };
    /// After this long without contact a voter can be replaced by a learner on another VM that has caught up.
    /// Longer than a restart takes, so that a VM that restarts with its disk stays a voter.
    milliseconds voterTimeout { 2000 };
    /// An unacknowledged snapshot piece is sent again after this time.
    milliseconds snapshotRetryTimeout { 300 };
    /// A snapshot is sent in pieces, each after the previous one was acknowledged. Sent as one message, a snapshot that
    /// takes longer to transfer than the retry timeout would be sent repeatedly and would delay heartbeats.
    std::size_t snapshotPieceBytes = 64UL * 1024;
    std::size_t maxEntriesPerMessage = 256;
    std::size_t maxBytesPerMessage = 1024UL * 1024;
    /// Beyond these, a replica takes no more entries until some are stored.
    std::size_t maxUnstoredEntries = 10000;
    std::size_t maxUnstoredBytes = 64UL * 1024 * 1024;
};

enum class raft_role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/// The state that a replica restores from stable storage when it starts.
struct raft_persistent_state {
    wire::hard_state hardState;
    wire::raft_snapshot snapshot;
    std::vector<wire::log_entry> entries;
};

/// The position of an entry in the log.
struct log_position {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    auto operator<=>(const log_position&) const = default;
};

/// State to be stored: the snapshot, which replaces the log, then the hard state and the entries.
struct raft_write {
    std::optional<wire::hard_state> hardState;
    std::optional<wire::raft_snapshot> snapshot;
    std::vector<wire::log_entry> append;

    bool isEmpty() const { return !hardState && !snapshot && append.empty(); }
    /// The last entry that the write stores, or the end of its snapshot; index 0 if it contains neither.
    log_position end() const;
};

/// Output of a raft_core. Its host passes the writes to stable storage in their order and may do the rest meanwhile, except
/// for `messagesAfterWrite`: they promise what this write and the earlier ones store.
struct raft_ready {
    raft_write write;
    /// To be sent once this write and all earlier ones are on stable storage.
    std::vector<wire::raft_message> messagesAfterWrite;
    /// To be sent at once.
    std::vector<wire::raft_message> messages;
    std::vector<wire::log_entry> committed;
    std::vector<std::uint64_t> confirmedReads;
    std::vector<std::uint64_t> failedReads;
};

/// Implements one replica of a Raft log (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
/// 2014): elections with pre-vote and leader stickiness, replication, single-replica membership changes, quorum reads
/// and a leader lease. Its inputs are messages, the time and completed writes, its output is a raft_ready; it does no I/O.
/// A leader sends entries and heartbeats while it stores its own copy, which counts towards a majority once it is stored, and a
/// follower confirms heartbeats meanwhile (Ongaro, "Consensus: Bridging Theory and Practice", 10.2.1). So a replica whose disk is
/// slow neither loses its lead nor contact with the leader.
/// Not thread-safe.
class raft_core {
public:
    raft_core(wire::replica_id self, raft_settings settings, std::uint64_t seed, raft_persistent_state restored, time_point now);

    /// Makes this replica the only voter of a new log. Precondition: the log is empty.
    void bootstrap();
    /// Makes these replicas, including this one, the voters of a new log. Each of them must be given the same set, and
    /// none may bootstrap twice: all then have the same first entry, so that exactly one log results, whichever of them
    /// start and in whatever order. Precondition: the log is empty.
    void bootstrap(const wire::replica_set& voters);
    /// Handles due heartbeats, elections and membership changes.
    void tick(time_point now);
    /// Handles a message from another replica.
    void step(const wire::raft_message& message, time_point now);
    /// Appends a command. Returns nothing if this replica is not the leader, or its disk is too far behind.
    std::optional<log_position> propose(std::string command);
    /// Adds a replica that asks to become a voter as a learner, if this replica is the leader. Once it has caught up, it
    /// replaces the VM's earlier replica in two changes of one replica each.
    void handleJoinRequest(const wire::replica_id& replica, time_point now);
    /// Requests a read that sees every entry acknowledged before; its id is returned in confirmedReads or failedReads.
    void requestRead(std::uint64_t id);
    /// Stores the serialized state up to the index as the snapshot and removes the log entries that it covers. Returns false if
    /// the log already starts after the index. Precondition: no write is left to take.
    bool compact(std::uint64_t index, std::string state);
    /// Returns the output since the last call. While a write is under way, the next one and what waits for it can be left for a
    /// later call, so that they become a single write. A snapshot is never left, since the entries committed after it are applied
    /// to its state.
    raft_ready takeReady(bool takesWrite = true);
    /// Records that a write and all earlier ones are on stable storage. `end`: raft_write::end().
    void recordStored(const std::optional<wire::hard_state>& hardState, log_position end, time_point now);

    raft_role role() const { return m_role; }
    /// The leader, if known.
    const std::optional<wire::replica_id>& leader() const { return m_leader; }
    std::uint64_t term() const { return m_hardState.term(); }
    std::uint64_t commitIndex() const { return m_commitIndex; }
    const memory_log& log() const { return m_log; }
    const wire::raft_snapshot& snapshot() const { return m_snapshot; }
    const wire::replica_set& members() const { return m_members; }
    bool isVoter() const { return isVoter(keyOf(m_self)); }
    /// Whether this replica should send join requests. One that knows no leader sends them too: the entry that made it a
    /// voter may have been lost with the previous leader, and the new leader then does not know it.
    bool shouldRequestJoin() const { return !isVoter() || !m_leader; }
    /// Whether this replica is the leader and no other can have been elected yet. Without this check, an isolated leader
    /// would keep granting leases that a new leader already considers expired.
    bool leaseValid(time_point now) const;
    /// The send time of the newest heartbeat round that a quorum acknowledged. No newer leader existed then, so the log
    /// contains every entry acknowledged before that time. Nothing if unknown or this replica is not the leader.
    std::optional<time_point> leadershipConfirmedAt(time_point now) const;
    /// When tick() has to be called next.
    time_point nextDue() const { return m_role == raft_role::Leader ? m_heartbeatDue : m_electionDue; }
    /// Whether this leader has committed an entry of its term, and so knows every entry that was ever acknowledged.
    bool hasCommittedInTerm() const;

private:
    struct serialized_snapshot {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::string data;
    };
    struct follower_progress {
        wire::replica_id id;
        std::uint64_t nextIndex = 1;
        std::uint64_t matchIndex = 0;
        std::uint64_t ackedRound = 0;
        time_point lastContact {};
        /// The snapshot in transfer, the bytes acknowledged, and when the last piece was sent. The transfer continues
        /// when the log is compacted meanwhile; restarted at each compaction, it might never complete.
        std::shared_ptr<const serialized_snapshot> snapshot;
        std::uint64_t snapshotOffset = 0;
        time_point snapshotSentAt {};
        bool voter = false;
    };
    struct pending_read {
        std::uint64_t id;
        std::uint64_t round;
    };
    /// A snapshot that is being received in pieces.
    struct incoming_snapshot {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::uint64_t bytes = 0;
        std::string data;
    };
    /// A broadcast to all followers; its acknowledgement by a quorum confirms the leader.
    struct sent_round {
        std::uint64_t round;
        time_point sentAt;
    };

    bool isVoter(const replica_key& key) const;
    std::size_t quorum() const { return static_cast<std::size_t>(m_members.voters_size()) / 2 + 1; }
    bool hasRecentLeaderContact(time_point now) const;
    void resetElectionTimer(time_point now);
    /// Gives voters the time to store their votes, if their disks are as slow as this replica's.
    void extendElection(time_point now);
    void becomeFollower(std::uint64_t term, time_point now);
    void startPreVote(time_point now);
    void startElection(time_point now);
    void becomeLeader(time_point now);
    void handleVoteRequest(const wire::raft_message& message, time_point now);
    void handleVoteReply(const wire::raft_message& message, time_point now);
    bool logIsUpToDate(std::uint64_t index, std::uint64_t term) const;
    void handleAppend(const wire::raft_message& message, time_point now);
    void appendEntries(const wire::raft_message& message);
    /// Records that a follower replied. Null if this replica is not the leader of the reply's term or the sender is unknown.
    follower_progress* recordReply(const wire::raft_message& message, time_point now);
    void handleAppendReply(const wire::raft_message& message, time_point now);
    void followLeader(const wire::raft_message& message, time_point now);
    void handleSnapshot(const wire::raft_message& message, time_point now);
    void handleSnapshotPiece(const wire::raft_message& message, time_point now);
    void handleSnapshotPieceReply(const wire::raft_message& message, time_point now);
    void installSnapshot(const wire::raft_snapshot& snapshot);
    void acknowledgeSnapshot(const wire::raft_message& message, std::uint64_t index);
    std::shared_ptr<const serialized_snapshot> serializeSnapshot();
    void broadcast(time_point now, bool newRound);
    void sendAppend(follower_progress& progress, time_point now);
    void sendSnapshot(follower_progress& progress, time_point now);
    void advanceCommit();
    void commitTo(std::uint64_t index);
    void appendAsLeader(wire::entry_kind kind, std::string data);
    void updateMembership(time_point now);
    bool removeUnresponsiveVoter(wire::replica_set& changed, const follower_progress& learner, time_point now) const;
    bool membershipChangePending() const;
    void refreshMembers();
    void refreshProgress();
    void completeReads();
    void failReads();
    std::uint64_t quorumRound() const;
    /// When a round was sent, if it is still tracked.
    std::optional<time_point> roundSentAt(std::uint64_t round) const;
    wire::raft_message makeMessage(wire::raft_kind kind, const wire::replica_id& to) const;
    void send(wire::raft_message message);
    /// Sends a follower's confirmation, the part of it that isn't stored yet after the write.
    void sendAppendReply(wire::raft_message message);
    bool isHardStateStored() const;
    /// Whether more entries wait for the disk than a replica may hold.
    bool isStorageBehind() const;
    void truncateFrom(std::uint64_t index);
    void saveHardState() { m_ready.write.hardState = m_hardState; }

    wire::replica_id m_self;
    raft_settings m_settings;
    std::mt19937_64 m_random;
    wire::hard_state m_hardState;
    wire::hard_state m_storedHardState;
    wire::raft_snapshot m_snapshot;
    /// The current snapshot, serialized once for all followers.
    std::shared_ptr<const serialized_snapshot> m_serializedSnapshot;
    incoming_snapshot m_incomingSnapshot;
    memory_log m_log;
    wire::replica_set m_members;
    std::uint64_t m_membersIndex = 0;
    raft_role m_role = raft_role::Follower;
    std::optional<wire::replica_id> m_leader;
    std::uint64_t m_commitIndex = 0;
    /// The log up to this index is on stable storage.
    std::uint64_t m_storedIndex = 0;
    time_point m_now;
    time_point m_lastLeaderContact;
    time_point m_electionDue;
    time_point m_electionStartedAt {};
    time_point m_heartbeatDue {};
    std::set<replica_key> m_votes;
    std::map<replica_key, follower_progress> m_progress;
    std::uint64_t m_round = 0;
    std::deque<sent_round> m_rounds;
    std::vector<pending_read> m_reads;
    bool m_broadcastPending = false;
    raft_ready m_ready;
};

} // namespace pistachiolatch
