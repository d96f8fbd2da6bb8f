#pragma once
#include "consensus/consensus.h"
#include "membership/evacuation_table.h"
#include "peering/peering.h"
#include "replication/replica_identity.h"
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace pistachiolatch {

struct submit_result {
    /// Whether the result is unknown: no leader, no quorum, or the leader was lost meanwhile. The document may still be
    /// accepted later.
    bool unavailable = false;
    /// The committed version afterwards; at least the submitted one.
    std::uint64_t currentVersion = 0;
};

/// Callbacks of a replica.
struct replica_events {
    /// A newer document was committed.
    std::function<void()> documentChanged;
    /// The evacuation of a data centre was ordered or withdrawn.
    std::function<void()> evacuationsChanged;
    /// This replica gained or lost the leadership.
    std::function<void(bool isLeader)> leadershipChanged;
};

struct replica_settings {
    std::string folder;
    bootstrap_settings bootstrap;
};

/// A replica of the Raft log that holds the configuration document and the evacuations of data centres. The document with
/// the highest version wins; submitting an equal or lower version changes nothing and is acknowledged, so that a submission
/// can be retried. Evacuations are entries of their own: a document that is submitted meanwhile neither contains nor
/// changes them.
/// A replica whose files can't be read or written does not participate in the log, since it couldn't persist what it
/// acknowledges. It still forwards requests to the leader, and retries opening its files.
/// Thread safety: all calls on the thread that runs the context.
class document_replica {
public:
    using submit_handler = std::function<void(submit_result)>;
    /// Receives null if the newest document could not be determined.
    using read_handler = std::function<void(const wire::document* newest)>;
    using evacuation_handler = std::function<void(wire::evacuation_result)>;

    /// Precondition: the references outlive the replica.
    document_replica(boost::asio::io_context& context, peer_network& network, const clock_source& clock, metrics& counters,
        replica_settings settings, replica_events events);

    /// Opens the files, with retries, and then participates in the log.
    void start();
    void stop();
    /// Handles a message of a peer. Returns false if it is none of this class.
    bool onMessage(const wire::envelope& message, const peer_network::peer& from);
    /// Adds addresses of other replicas.
    void addPeers(const std::vector<std::string>& addresses);

    /// Submits a validated document, through the leader.
    void submit(wire::document document, submit_handler handler);
    /// Orders the evacuation of a data centre or its withdrawal, through the leader. It is accepted once a majority has
    /// stored it, and again each time that it is repeated. EVACUATION_UNAVAILABLE means that the result is unknown: no leader,
    /// no quorum, a control process of a version without evacuations, or that the data centre changed meanwhile.
    /// Precondition: the name is valid.
    void submitEvacuation(const std::string& dataCentre, bool evacuated, evacuation_handler handler);
    /// The evacuations that this replica knows to be committed.
    const evacuation_table& evacuations() const { return m_evacuations; }
    /// Reads the newest document with a quorum, through the leader.
    void read(read_handler handler);

    /// The newest document that this replica knows to be committed.
    const wire::document& document() const { return m_document; }
    /// Time since this replica learned that the document is committed.
    milliseconds documentAge() const;
    /// Whether this replica is the leader and holds a valid lease, so that there is no other.
    bool isLeader() const;
    /// The address of the leader; empty if unknown.
    std::string leaderAddress() const;
    /// Time since a quorum last confirmed this leader; nothing if unknown.
    std::optional<milliseconds> confirmedAge() const;
    /// Addresses of all other known replicas, voters or not.
    std::vector<std::string> peers() const;
    /// Addresses of the other replicas that vote; empty while this replica's files are unusable.
    std::vector<std::string> otherVoters() const;
    /// Whether the files are usable, so that the replica participates in the log.
    bool hasStorage() const { return m_storageUsable; }
    /// The term of the log; 0 if the files could not be read yet.
    std::uint64_t term() const { return m_host ? core().term() : 0; }
    /// This replica; its incarnation is 0 until its files were opened.
    const wire::replica_id& self() const { return m_self; }
    bool isVoter() const { return m_storageUsable && core().isVoter(); }
    /// Number of voters that this replica knows; 0 while its files are unusable.
    std::size_t voters() const { return m_storageUsable ? static_cast<std::size_t>(core().members().voters_size()) : 0; }

private:
    /// Precondition: the files are usable.
    raft_core& core() { return m_host->core(); }
    const raft_core& core() const { return m_host->core(); }
    static raft_settings raftSettings();
    raft_callbacks effects();
    void openStorage();
    result<void> openFiles();
    void scheduleStorageRetry();
    void recordLeader(const wire::raft_message& message);
    void onJoin(const wire::replica_id& replica);
    void processEffects();
    void scheduleTimer();
    void onTimer();
    void sendJoin();
    void apply(const wire::log_entry& entry);
    void loadSnapshot(const wire::raft_snapshot& snapshot);
    void setDocument(wire::document document);
    void applyEvacuation(const wire::evacuation_order& order);
    void proposeEvacuation(const wire::evacuation_order& order, evacuation_handler handler);
    wire::evacuation_result resultOf(const wire::evacuation_order& order) const;
    /// The VM of a voter that doesn't support evacuations; empty if none is known.
    std::string findUnsupportingVoter() const;
    void recordSupport(const wire::raft_message& message);
    /// Called once a write is stored since the files were opened, or none is needed.
    void recordStorageUsable();
    void compactIfNeeded();
    void updateLeadership();
    void failPending();
    void propose(const wire::document& document, submit_handler handler);
    /// Appends a command to the log. The handler is told, after the command was applied, whether its entry was lost.
    void proposeCommand(const wire::command& command, std::function<void(bool lost)> handler);
    void readLocally(read_handler handler);
    void onStorageFailure(const std::string& why);

    /// Timeout of a submission or read that is forwarded to the leader. Callers try the next VM after a second.
    static constexpr milliseconds leaderCallTimeout { 800 };
    /// The leader as observed from its messages by a replica without usable files.
    struct observed_leader {
        std::string address;
        std::uint64_t term = 0;
        time_point at {};
    };
    struct pending_command {
        std::uint64_t term;
        std::function<void(bool lost)> handler;
    };

    peer_network& m_network;
    const clock_source& m_clock;
    metrics& m_metrics;
    boost::asio::io_context::executor_type m_executor;
    /// Expires with this replica, which completed writes may outlive.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    replica_events m_events;
    replica_settings m_settings;
    wire::replica_id m_self;
    /// Set once the files were read for the first time.
    std::optional<raft_host<file_log_store>> m_host;
    bool m_storageUsable = false;
    bool m_stopped = false;
    /// Whether a write or sync failed since the files were last opened.
    bool m_reopenAfterFailure = false;
    time_point m_storageUnusableSince;
    int m_openAttempts = 0;
    observed_leader m_observedLeader;
    boost::asio::steady_timer m_storageTimer;
    boost::asio::steady_timer m_timer;
    time_point m_timerDue {};
    time_point m_nextJoinAt {};
    std::set<std::string> m_peers;
    wire::document m_document;
    time_point m_documentSince;
    evacuation_table m_evacuations;
    /// Whether the last message of a replica said that it supports evacuations, by VM and incarnation.
    std::map<std::pair<std::string, std::uint64_t>, bool> m_supportsEvacuations;
    std::uint64_t m_applied = 0;
    std::uint64_t m_bytesSinceSnapshot = 0;
    bool m_isLeader = false;
    std::map<std::uint64_t, pending_command> m_pending;
    std::map<std::uint64_t, read_handler> m_reads;
    std::uint64_t m_lastRead = 0;
};

} // namespace pistachiolatch
