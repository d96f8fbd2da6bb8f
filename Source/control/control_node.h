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
    result<void> persist(const raft_ready& ready)
    {
        return std::visit([&](auto& store) { return store.persist(ready); }, m_store);
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

/// A replica as its storage holds it.
struct opened_replica {
    wire::replica_id self;
    replica_store store;
    raft_persistent_state restored;
};
/// Opens the storage, again after a write or sync failed. Errors: the storage can't be used yet.
using replica_opener = std::function<result<opened_replica>(bool afterFailure)>;

/// What a submission came to, for the operator who waits.
struct submit_answer {
    /// Empty when the log took it; else why not.
    std::string unavailable;
    submit_outcome outcome;
    bool inForce = false;
};

/// A new replica whose log is in memory only. Thread safety: any thread.
opened_replica memoryReplica(const wire_settings& wire);

/// One control VM: a replica of the log, and while it leads the sessions, shard owners and answers to operators. While its
/// storage can't be used it takes no part in the log, and opens the storage again and again.
/// Thread safety: everything happens on the control thread; other threads post to its loop.
class control_node {
public:
    struct parts {
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
    explicit control_node(parts given);

    void onMessage(const wire::envelope& message);
    void tick();

    /// Submits a batch; the answer comes when it is in force everywhere, or refused.
    void submit(wire::submit_batch batch, std::function<void(submit_answer)> answer);
    /// Calls back with whether the state read now holds all that was ever acknowledged.
    void readThroughQuorum(std::function<void(bool current)> answer);
    /// Precondition: called inside a readThroughQuorum answer or for a report only.
    const control_state& state() const { return m_state; }
    bool leads() const { return m_leads; }
    /// Reports for operators.
    std::string statusJson() const;
    std::string eventsJson() const;
    /// Asks the entry that handled a request what it did.
    void explain(const std::string& requestId, std::function<void(std::optional<std::vector<std::string>>)> answer);
    /// Asks each scheduler for its pools; lines gathered so far come back at the timeout.
    void schedulerLines(std::function<void(std::vector<std::string>)> answer);

private:
    using proposal_handler = std::function<void(const apply_outcome* outcome)>;
    struct pending_proposal {
        std::uint64_t term;
        proposal_handler handler;
    };
    struct awaiting_force {
        std::uint64_t revision;
        time_point deadline;
        std::function<void(bool inForce)> answer;
    };

    raft_core& core() { return m_host->core(); }
    const raft_core& core() const { return m_host->core(); }
    raft_callbacks effects();
    void restore(opened_replica replica);
    void onStorageFailure(const std::string& why);
    void reopenStorage();
    void propose(const wire::command& command, proposal_handler handler);
    void apply(const wire::log_entry& entry);
    void settle();
    void drain();
    void compactIfLong();
    void followLeadership();
    void failPending();
    void sendJoin();

    // While leading.
    void onHeartbeat(const wire::envelope& message);
    void fillGrant(wire::session_grant& grant, std::uint64_t revision, std::uint64_t shardVersion, std::uint64_t poisonVersion, std::uint64_t liveVersion) const;
    void pushChanges();
    void stepSessions();
    void assignOwners();
    std::vector<std::string> wantedShards() const;
    void answerAwaiting();
    void expireLedger();
    void onLedger(const wire::envelope& message);
    void onCrash(const wire::envelope& message);
    void noteEvent(const std::string& process, const std::string& text);
    void keepEvent(const wire::process_event& event);
    bool mayGrant() const;

    control_loop& m_loop;
    const clock_source& m_clock;
    metrics& m_metrics;
    wire_settings m_wire;
    wire::replica_id m_self;
    replica_opener m_open;
    std::optional<raft_host<replica_store>> m_host;
    bool m_storageFailed = false;
    time_point m_reopenAt {};
    control_state m_state;
    std::uint64_t m_applied = 0;
    bool m_leads = false;
    std::optional<session_table> m_sessions;
    std::map<std::uint64_t, pending_proposal> m_pending;
    std::map<std::uint64_t, std::function<void(bool)>> m_reads;
    std::uint64_t m_lastRead = 0;
    std::vector<awaiting_force> m_awaiting;
    std::deque<wire::process_event> m_events;
    time_point m_nextJoin {};
    time_point m_nextExpiry {};
    time_point m_shardsWantedSince {};
    bool m_assigning = false;
    std::uint64_t m_pushedRevision = 0;
    std::uint64_t m_pushedShards = 0;
    std::uint64_t m_pushedLive = 0;
    std::uint64_t m_pushedPoison = 0;
};

} // namespace pistachiolatch
