#pragma once
#include "consensus/memory_log.h"
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// A replica is a VM in one incarnation of its storage. A VM whose storage was wiped comes back as another
/// replica without a vote; otherwise it could vote twice in one term or forget what it acknowledged.
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
    /// A joining replica that is silent for this long is forgotten by the leader.
    milliseconds joinerSilence { 3000 };
    /// A voter that is silent for this long gives its place to a replica on another VM that is caught up and waits.
    /// Longer than a restart takes, so that a VM that comes back with its disk stays a voter.
    milliseconds voterSilence { 2000 };
    /// How long a piece of a snapshot may be unanswered before it is sent again.
    milliseconds snapshotRetry { 300 };
    /// A snapshot goes in pieces, each after the one before was taken. Sent whole, one that takes longer than the retry
    /// over its link was sent again and again, and heartbeats waited behind it.
    std::size_t snapshotPieceBytes = 64UL * 1024;
    std::size_t mostEntriesPerMessage = 256;
    std::size_t mostBytesPerMessage = 1024UL * 1024;
};

enum class raft_role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/// What was on stable storage when the replica started.
struct raft_persistent_state {
    wire::hard_state hardState;
    wire::raft_snapshot snapshot;
    std::vector<wire::log_entry> entries;
};

/// What the host must do, in this order: persist and sync the hard state, the snapshot and the entries;
/// only then send the messages, apply what is committed and answer the reads.
struct raft_ready {
    std::optional<wire::hard_state> hardState;
    std::optional<wire::raft_snapshot> snapshot;
    /// Stored entries from this index on are void; 0 means none.
    std::uint64_t truncateFrom = 0;
    std::vector<wire::log_entry> append;
    std::vector<wire::raft_message> messages;
    std::vector<wire::log_entry> committed;
    std::vector<std::uint64_t> readsDone;
    std::vector<std::uint64_t> readsFailed;
};

/// Where a proposed entry stands in the log.
struct log_position {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    auto operator<=>(const log_position&) const = default;
};

/// The decisions of one replica of a Raft log (Ongaro and Ousterhout, "In Search of an Understandable Consensus
/// Algorithm", 2014): elections with pre-vote and leader stickiness, replication, membership changes of one
/// replica at a time, reads through the quorum, a leader lease. Takes messages and time, returns effects; no I/O.
/// Not thread-safe.
class raft_core {
public:
    raft_core(wire::replica_id self, raft_settings settings, std::uint64_t seed, raft_persistent_state restored, time_point now);

    /// Makes this replica the only voter of a new log. Precondition: the log is empty.
    void bootstrap();
    /// Makes these replicas, of which this one is one, the voters of a new log. Each of them must be given the same
    /// set and none may found twice: all then hold the same first entry, so that exactly one log comes of it,
    /// whichever of them start and in whatever order. Precondition: the log is empty.
    void bootstrap(const wire::replica_set& founders);
    /// Lets time pass: heartbeats, elections, membership steps.
    void tick(time_point now);
    /// Takes in a message from another replica.
    void step(const wire::raft_message& message, time_point now);
    /// Appends a command. Returns nothing when this replica is not the leader.
    std::optional<log_position> propose(std::string command);
    /// Tells the leader of a replica that wants a vote. It is caught up first, then replaces the VM's earlier
    /// replica by two changes of one replica each.
    void handleJoinRequest(const wire::replica_id& replica, time_point now);
    /// Asks for a read that sees all that was acknowledged before; its id comes back in readsDone or readsFailed.
    void requestRead(std::uint64_t id);
    /// Tells that the state up to the index is in a snapshot with these bytes.
    void compact(std::uint64_t index, std::string state);
    /// The effects since the last call.
    raft_ready takeReady();

    raft_role role() const { return m_role; }
    /// The leader, when one is known.
    const std::optional<wire::replica_id>& leader() const { return m_leader; }
    std::uint64_t term() const { return m_hardState.term(); }
    std::uint64_t commitIndex() const { return m_commit; }
    const memory_log& log() const { return m_log; }
    const wire::raft_snapshot& snapshot() const { return m_snapshot; }
    const wire::replica_set& members() const { return m_members; }
    bool isVoter() const { return isVoter(keyOf(m_self)); }
    /// Whether this replica should ask to be let in. One that hears no leader asks too: the entry that made it a
    /// voter may have been lost with its leader, and the new leader then does not know it.
    bool shouldRequestJoin() const { return !isVoter() || !m_leader; }
    /// Whether this replica is leader and no other can have been elected yet. Symptom without it: an isolated
    /// leader goes on granting leases while a new leader already counts them as run out.
    bool leaseValid(time_point now) const;
    /// When this leader was last known to be the only one: the time at which the newest round that a quorum answered
    /// was sent. What was acknowledged by anyone before then is in its log. Nothing unless it leads.
    std::optional<time_point> leadershipConfirmedAt(time_point now) const;
    /// When tick() has something to do next.
    time_point nextDue() const { return m_role == raft_role::Leader ? m_heartbeatDue : m_electionDue; }
    /// Whether this leader has committed an entry of its own term, and so knows all that was ever acknowledged.
    bool hasCommittedInTerm() const;

private:
    /// A snapshot as it is sent.
    struct written_snapshot {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::string data;
    };
    struct follower_progress {
        wire::replica_id id;
        std::uint64_t next = 1;
        std::uint64_t match = 0;
        std::uint64_t ackedRound = 0;
        time_point lastHeard {};
        /// The snapshot that goes to it, how much of it has arrived, and when the last piece left. A transfer that has
        /// begun goes on when the log is compacted meanwhile: begun anew each time, it might never end.
        std::shared_ptr<const written_snapshot> snapshot;
        std::uint64_t snapshotOffset = 0;
        time_point snapshotSentAt {};
        bool voter = false;
    };
    struct pending_read {
        std::uint64_t id;
        std::uint64_t round;
    };
    /// A snapshot that comes in pieces.
    struct incoming_snapshot {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::uint64_t bytes = 0;
        std::string data;
    };
    struct sent_round {
        std::uint64_t round;
        time_point sentAt;
    };

    bool isVoter(const replica_key& key) const;
    std::size_t quorum() const { return static_cast<std::size_t>(m_members.voters_size()) / 2 + 1; }
    bool heardLeaderLately(time_point now) const;
    void resetElectionTimer(time_point now);
    void becomeFollower(std::uint64_t term, time_point now);
    void startPreVote(time_point now);
    void startElection(time_point now);
    void becomeLeader(time_point now);
    void onVoteRequest(const wire::raft_message& message, time_point now);
    void onVoteReply(const wire::raft_message& message, time_point now);
    bool logIsUpToDate(std::uint64_t index, std::uint64_t term) const;
    void onAppend(const wire::raft_message& message, time_point now);
    void takeEntries(const wire::raft_message& message);
    /// Notes that a follower answered this leader. Null where the answer is not for this lead.
    follower_progress* noteAnswer(const wire::raft_message& message, time_point now);
    void onAppendReply(const wire::raft_message& message, time_point now);
    void followLeader(const wire::raft_message& message, time_point now);
    void onSnapshot(const wire::raft_message& message, time_point now);
    void onSnapshotPiece(const wire::raft_message& message, time_point now);
    void onSnapshotPieceReply(const wire::raft_message& message, time_point now);
    void install(const wire::raft_snapshot& snapshot);
    void acknowledgeSnapshot(const wire::raft_message& message, std::uint64_t index);
    std::shared_ptr<const written_snapshot> newestWrittenSnapshot();
    void broadcast(time_point now, bool newRound);
    void sendAppend(follower_progress& progress, time_point now);
    void sendSnapshot(follower_progress& progress, time_point now);
    void advanceCommit();
    void commitTo(std::uint64_t index);
    void appendOwn(wire::entry_kind kind, std::string data);
    void stepMembership(time_point now);
    bool replaceVoter(wire::replica_set& changed, const follower_progress& joiner, time_point now) const;
    bool membershipChangePending() const;
    void refreshMembers();
    void refreshProgress();
    void answerReads();
    void failReads();
    std::uint64_t quorumRound() const;
    wire::raft_message makeMessage(wire::raft_kind kind, const wire::replica_id& to) const;
    void send(wire::raft_message message);
    void saveHardState() { m_ready.hardState = m_hardState; }

    wire::replica_id m_self;
    raft_settings m_settings;
    std::mt19937_64 m_random;
    wire::hard_state m_hardState;
    wire::raft_snapshot m_snapshot;
    /// Written once for all followers.
    std::shared_ptr<const written_snapshot> m_writtenSnapshot;
    incoming_snapshot m_incoming;
    memory_log m_log;
    wire::replica_set m_members;
    std::uint64_t m_membersIndex = 0;
    raft_role m_role = raft_role::Follower;
    std::optional<wire::replica_id> m_leader;
    std::uint64_t m_commit = 0;
    time_point m_now;
    time_point m_heardLeaderAt;
    time_point m_electionDue;
    time_point m_heartbeatDue {};
    std::set<replica_key> m_votes;
    std::map<replica_key, follower_progress> m_progress;
    std::uint64_t m_round = 0;
    std::vector<sent_round> m_rounds;
    std::vector<pending_read> m_reads;
    bool m_broadcastWanted = false;
    raft_ready m_ready;
};

} // namespace pistachiolatch
