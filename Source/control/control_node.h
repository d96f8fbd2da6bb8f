#pragma once
#include "consensus/consensus.h"
#include "membership/membership.h"
#include "records/records.h"
#include "wire/wire.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace pistachiolatch {

/// The storage of a replica: files on a VM with a disk, memory on one without.
class replica_store {
public:
    explicit replica_store(std::variant<file_log_store, memory_log_store> store)
        : m_store(std::move(store))
    {
    }
    result<void> persist(const raft_write& write)
    {
        return std::visit([&](auto& store) { return store.persist(write); }, m_store);
    }
    result<void> compact(const wire::raft_snapshot& snapshot, const std::vector<wire::log_entry>& rest)
    {
        return std::visit([&](auto& store) { return store.compact(snapshot, rest); }, m_store);
    }

    void close()
    {
        std::visit([](auto& store) { store.close(); }, m_store);
    }

private:
    std::variant<file_log_store, memory_log_store> m_store;
};

/// A replica with the state read from its storage.
struct opened_replica {
    wire::replica_id self;
    replica_store store;
    raft_persistent_state restored;
};
/// Opens the storage, or reopens it after a failed write or sync. Errors: the storage is still unusable.
using replica_opener = std::function<result<opened_replica>(bool afterFailure)>;

/// The result of a submission, as returned to the operator.
struct submit_response {
    /// Empty if the batch was committed to the log; otherwise the error code.
    std::string unavailable;
    submit_outcome outcome;
    bool inForce = false;
};

/// Creates a replica whose log is in memory only. Thread safety: any thread.
opened_replica makeMemoryReplica(const wire_settings& wire);

/// One control VM: a replica of the log which, while leader, also manages sessions and shard owners and serves operators.
/// While its storage is unusable it doesn't take part in the log and retries to open the storage.
/// Thread safety: control thread only; other threads post to its loop.
class control_node {
public:
    struct dependencies {
        control_loop& loop;
        const clock_source& clock;
        metrics& counters;
        wire_settings wire;
        /// The stored replica, or the error from opening it. On an error the node runs without a vote and retries periodically.
        result<opened_replica> replica;
        replica_opener open;
        /// Precondition: if set, `replica` holds a value.
        bool bootstrap = false;
    };
    explicit control_node(dependencies deps);

    void onMessage(const wire::envelope& message);
    void tick();

    /// Submits a batch. Calls back once the batch is in force everywhere, was rejected, or could not be confirmed.
    void submit(wire::submit_batch batch, std::function<void(submit_response)> handler);
    /// Linearizable read: calls back with whether the state now includes every acknowledged change.
    void readThroughQuorum(std::function<void(bool current)> handler);
    /// Precondition: called from a readThroughQuorum() handler, or for status output only.
    const control_state& state() const { return m_state; }
    bool isLeader() const { return m_isLeader; }
    /// Status output for operators.
    std::string statusJson() const;
    std::string eventsJson() const;
    /// Fetches the history of a request from the entry that handled it.
    void explain(const std::string& requestId, std::function<void(std::optional<std::vector<std::string>>)> handler);
    /// Fetches the pool status of each scheduler. Schedulers that don't reply in time are left out.
    void requestSchedulerStatus(std::function<void(std::vector<std::string>)> handler);

private:
    using proposal_handler = std::function<void(const apply_outcome* outcome)>;
    struct pending_proposal {
        std::uint64_t term;
        proposal_handler handler;
    };
    struct pending_confirmation {
        std::uint64_t revision;
        time_point deadline;
        std::function<void(bool inForce)> handler;
    };

    raft_core& core() { return m_host->core(); }
    const raft_core& core() const { return m_host->core(); }
    raft_callbacks makeCallbacks();
    void restore(opened_replica replica);
    void handleStorageFailure(const std::string& why);
    void reopenStorage();
    void propose(const wire::command& command, proposal_handler handler);
    void apply(const wire::log_entry& entry);
    void processUpdates();
    void processReady();
    /// Logs that the control thread did not run for long.
    void reportPause();
    void compactLogIfNeeded();
    void updateLeadership();
    void failPendingRequests();
    void sendJoinRequest();

    // Leader only.
    void handleHeartbeat(const wire::envelope& message);
    void buildGrant(wire::session_grant& grant, std::uint64_t revision, std::uint64_t shardVersion, std::uint64_t poisonVersion, std::uint64_t liveVersion) const;
    void pushChanges();
    void updateSessions();
    void assignShardOwners();
    std::vector<std::string> listRequiredShards() const;
    void completeSubmissions();
    void expireLedgerEntries();
    void handleLedgerCommand(const wire::envelope& message);
    void handleCrashReport(const wire::envelope& message);
    void addEvent(const std::string& process, const std::string& text);
    void storeEvent(const wire::process_event& event);
    bool canGrantLeases() const;

    control_loop& m_loop;
    const clock_source& m_clock;
    metrics& m_metrics;
    wire_settings m_wire;
    wire::replica_id m_self;
    replica_opener m_openReplica;
    time_point m_lastTick {};
    std::optional<raft_host<replica_store>> m_host;
    bool m_storageFailed = false;
    time_point m_reopenAt {};
    control_state m_state;
    std::uint64_t m_appliedIndex = 0;
    bool m_isLeader = false;
    std::optional<session_table> m_sessions;
    std::map<std::uint64_t, pending_proposal> m_pendingProposals;
    std::map<std::uint64_t, std::function<void(bool)>> m_pendingReads;
    std::uint64_t m_lastReadId = 0;
    std::vector<pending_confirmation> m_pendingConfirmations;
    std::deque<wire::process_event> m_events;
    time_point m_nextJoinRequest {};
    time_point m_nextLedgerExpiry {};
    time_point m_leaderSince {};
    std::uint64_t m_leaderTerm = 0;
    bool m_assignmentPending = false;
    std::uint64_t m_pushedRevision = 0;
    std::uint64_t m_pushedShards = 0;
    std::uint64_t m_pushedLive = 0;
    std::uint64_t m_pushedPoison = 0;
};

} // namespace pistachiolatch
