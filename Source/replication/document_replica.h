#pragma once
#include "consensus/consensus.h"
#include "peering/peering.h"
#include "replication/replica_identity.h"
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>

namespace pistachiolatch {

/// What became of a submitted document.
struct document_outcome {
    /// Whether nothing is known: no leader, no quorum, or the leader was lost meanwhile. The document may yet be accepted.
    bool unavailable = false;
    /// The version in force afterwards; at least the submitted one.
    std::uint64_t heldVersion = 0;
};

/// What the process does with a replica's events.
struct replica_events {
    /// A newer document was committed.
    std::function<void()> documentChanged;
    /// This replica became the leader, or stopped being it.
    std::function<void(bool leads)> leadershipChanged;
};

/// Where a replica keeps its files, and how its log begins.
struct replica_home {
    std::string folder;
    founding_facts facts;
};

/// One replica of the log that holds the configuration document. Of two documents the one with the higher version
/// wins; an equal or lower version changes nothing, so that a document sent again is acknowledged again.
/// A replica whose files can't be read or written takes no part in the log, since it couldn't keep what it acknowledges. It
/// goes on passing questions to the leader, and reads its files anew until they can be used.
/// Thread safety: everything is called on the thread that runs the context.
class document_replica {
public:
    using submit_handler = std::function<void(document_outcome)>;
    /// Gets null when the newest document can't be told for certain.
    using read_handler = std::function<void(const wire::document* newest)>;

    /// Precondition: the references outlive the replica.
    document_replica(boost::asio::io_context& context, peer_network& network, const clock_source& clock, metrics& counters,
        replica_home home, replica_events events);

    /// Opens the files and takes part, at once or as soon as they can be used.
    void start();
    void stop();
    /// Takes in what a peer sent, if it is for the log. Returns whether it was.
    bool onMessage(const wire::envelope& message, const peer_network::peer& from);
    /// Adds addresses at which replicas may be found.
    void learnPeers(const std::vector<std::string>& addresses);

    /// Submits a document that was checked; goes through the leader, wherever it is.
    void submit(wire::document document, submit_handler handler);
    /// Reads the newest document through a quorum; goes through the leader, wherever it is.
    void read(read_handler handler);

    /// The newest committed document that this replica knows.
    const wire::document& document() const { return m_document; }
    /// How long this replica has known that document to be committed.
    milliseconds documentAge() const;
    /// Whether this replica leads and no other can.
    bool leads() const;
    /// The address of the leader, as far as known.
    std::string leaderAddress() const;
    /// How long ago this leader was last known to be the only one; nothing when it can't tell.
    std::optional<milliseconds> confirmedAge() const;
    /// The other replicas that are known, voters or not.
    std::vector<std::string> peers() const;
    /// Whether its files can be used, so that it takes part in the log.
    bool hasStorage() const { return m_usable; }
    /// The term of its log; 0 where its files could not be read.
    std::uint64_t term() const { return m_host ? core().term() : 0; }
    bool isVoter() const { return m_usable && core().isVoter(); }
    /// Voters of the log, as far as this replica knows; none while its files can't be used.
    std::size_t voters() const { return m_usable ? static_cast<std::size_t>(core().members().voters_size()) : 0; }

private:
    /// Precondition: the files can be used.
    raft_core& core() { return m_host->core(); }
    const raft_core& core() const { return m_host->core(); }
    static raft_settings electionSettings();
    raft_callbacks effects();
    void openStorage();
    result<void> openFiles();
    void retryStorage();
    void noteLeader(const wire::raft_message& message);
    void onJoin(const wire::replica_id& replica);
    void settle();
    void armTimer();
    void onTimer();
    void sendJoin();
    void apply(const wire::log_entry& entry);
    void load(const wire::raft_snapshot& snapshot);
    void take(wire::document document);
    /// Returns whether the files can be used still.
    bool compactIfLong();
    void followLeadership();
    void failPending();
    void propose(const wire::document& document, submit_handler handler);
    void readHere(read_handler handler);
    void onStorageFailure(const std::string& why);

    /// The leader as a replica without storage knows it, from what the leader goes on sending.
    struct heard_leader {
        std::string address;
        std::uint64_t term = 0;
        time_point at {};
    };
    struct pending_submit {
        std::uint64_t term;
        std::uint64_t version;
        submit_handler handler;
    };

    peer_network& m_network;
    const clock_source& m_clock;
    metrics& m_metrics;
    replica_events m_events;
    replica_home m_home;
    wire::replica_id m_self;
    /// Present from the first time that the files could be read.
    std::optional<raft_host<file_log_store>> m_host;
    bool m_usable = false;
    bool m_stopped = false;
    /// Whether a write or sync failed since the files were last opened.
    bool m_unsynced = false;
    time_point m_unusableSince;
    int m_openTries = 0;
    heard_leader m_heard;
    boost::asio::steady_timer m_storageTimer;
    boost::asio::steady_timer m_timer;
    time_point m_armedFor {};
    time_point m_nextJoin {};
    std::set<std::string> m_peers;
    wire::document m_document;
    time_point m_documentSince;
    std::uint64_t m_applied = 0;
    std::uint64_t m_bytesSinceSnapshot = 0;
    bool m_leads = false;
    std::map<std::uint64_t, pending_submit> m_pending;
    std::map<std::uint64_t, read_handler> m_reads;
    std::uint64_t m_lastRead = 0;
};

} // namespace pistachiolatch
