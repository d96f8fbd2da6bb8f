#pragma once
#include "coordination/document_cache.h"
#include "coordination/entry_loads.h"
#include "coordination/relay_directory.h"
#include "coordination/request_blocks.h"
#include "coordination/software_version_quorum.h"
#include "coordination/stage_order_client.h"
#include "coordination/stream_origin_service.h"
#include "coordination/transfer_pacer.h"
#include "limits/limits.h"
#include "membership/membership.h"
#include "replication/replication.h"
#include "routing/routing.h"
#include "scheduling/organisation_waits.h"
#include "scheduling/placement_queue.h"
#include "scheduling/slot_planner.h"
#include <functional>
#include <optional>

namespace pistachiolatch {

/// Tokens that a deployment tolerates beyond an organisation's rate and burst in any window. Half of them extend the
/// bucket, so that a single request above a small organisation's burst is granted and random bursts within the tolerance
/// are not refused. Of the other half, a quarter of the slack is for entries while the limits have no owner. The rest is what
/// a new owner starts with: it can't know what its predecessor granted, and starting empty would refuse requests within the
/// limits for seconds.
struct limit_tolerance {
    /// Share of the tokens that rate and burst allow in a window.
    double overshoot = 0;
    std::uint64_t slackTokens = 0;
    milliseconds window { 0 };

    /// Tokens by which the bucket exceeds the burst.
    std::uint64_t extraBurst(std::uint64_t rate, std::uint64_t burst) const
    {
        auto allowed = static_cast<double>(rate) * std::chrono::duration<double>(window).count() + static_cast<double>(burst);
        return static_cast<std::uint64_t>((overshoot * allowed + static_cast<double>(slackTokens)) / 2);
    }
    /// Tokens in the bucket of a new owner.
    std::uint64_t initialTokens(std::uint64_t rate, std::uint64_t burst) const { return extraBurst(rate, burst) - slackTokens / 4; }
    /// Tokens of each organisation that all entries together may grant while the limits have no owner.
    std::uint64_t fallbackTokens() const { return slackTokens / 4; }
};

struct coordinator_settings {
    directory_settings directory;
    /// Removes an entry that sends no sync for this long: its lease has expired, so it serves no requests.
    milliseconds entryLease { 4000 };
    /// How often endpoints report.
    milliseconds reportInterval { 1200 };
    limit_tolerance tolerance;
    retry_tolerance retries;
    /// Name of this VM, sent as the holder of stage orders.
    std::string vm;
};

/// Parses a document's body.
using configuration_decoder = std::function<result<configuration>(const std::string& body)>;

/// The part of a control process that serves entries and endpoints. Every control process keeps the whole directory of
/// endpoints, since any of them may be elected; only the leader answers entries and owns the limits.
/// Thread safety: all calls on the thread that runs the context.
class entry_coordinator {
public:
    entry_coordinator(boost::asio::io_context& context, peer_network& network, document_replica& replica, const clock_source& clock,
        metrics& counters, coordinator_settings settings, configuration_decoder decode);

    /// Enables stage orders to endpoints. Precondition: the client outlives the coordinator.
    void setStageOrderClient(stage_order_client& client) { m_stageOrders = &client; }
    void start();
    void stop();
    /// Handles a message of a peer. Returns false if it is none of this class.
    bool onMessage(const wire::envelope& message, const peer_network::peer& from);
    void onPeerLost(const peer_network::peer& lost);
    void onDocumentChanged();
    void onEvacuationsChanged();
    void onLeadershipChanged(bool isLeader);
    /// Handles a report that an endpoint sent to this process. A report that the endpoint leaves is confirmed once the
    /// leader has it and has updated the entries: after the confirmation the endpoint expects no new work.
    void handleReport(const wire::endpoint_report& report, std::function<void(bool confirmed)> handler);
    /// Whether any endpoint has reported from the data centre.
    bool knowsDataCentre(const std::string& dataCentre) const { return m_directory.hasDataCentre(dataCentre); }

private:
    struct entry_session {
        /// Identifies the entry in the planner, the plan queue and the loads, as a text of its number.
        std::string name;
        std::uint64_t number = 0;
        peer_network::peer peer;
        std::uint64_t documentVersion = 0;
        std::uint64_t directorySource = 0;
        std::uint64_t directoryVersion = 0;
        /// The version of the request blocks that the entry has, or that was sent last, if any.
        std::optional<std::uint64_t> blocksVersion;
        /// The version of the list of queued services that was sent last.
        std::uint64_t queuedServicesVersion = 0;
        /// The revision of the evacuations that the entry has, or that was sent last.
        std::uint64_t evacuationRevision = 0;
        /// The version of the relay offers that was sent last.
        std::uint64_t relaysVersion = 0;
        time_point relaysSentAt {};
        time_point lastSyncAt;
        /// False for entries of an earlier version, which need whole documents.
        bool supportsPieces = false;
        /// The last request for a piece.
        wire::document_ask pieceRequest;
    };
    struct pending_request {
        peer_network::peer peer;
        wire::envelope message;
    };

    /// Runs an action once after a delay; arming it again meanwhile changes nothing.
    struct one_shot_timer {
        boost::asio::steady_timer timer;
        bool armed = false;
    };

    void onSync(const wire::envelope& message, const peer_network::peer& from);
    void onDocumentRequest(const wire::document_ask& request, const peer_network::peer& from);
    void onDirectoryRequest(const wire::directory_ask& request, const peer_network::peer& from);
    void sendPieces();
    bool sendPiece(entry_session& session);
    void fillEndpoints(wire::entry_update& update, entry_session& session);
    void onReport(const wire::envelope& message, const peer_network::peer& from);
    /// Applies an endpoint's report to the directory and the request blocks. Returns whether either changed. The directory gets it
    /// once a majority of control has heard of the endpoint's software version.
    bool applyReport(const wire::endpoint_report& report);
    /// Asks the other control processes to confirm that they have heard of a report's software version.
    void confirmVersion(const wire::endpoint_report& report);
    /// Applies the reports that were held until a majority of control had heard of their software versions.
    void releaseHeldReports();
    void onCrash(const wire::envelope& message, const peer_network::peer& from);
    void updateBlocks();
    /// Applies what an endpoint stated about its limit, and tells the entries if it changed.
    void applyLimit(const wire::endpoint_limit& limit);
    /// Records a crash that an entry reported, and passes it on to the other control processes if this one leads.
    void recordCrash(wire::crash_report report);
    /// Records what an entry told of parts of prompts, and tells the entries if the blocks changed.
    /// Sends a message to all other control processes.
    void sendToPeers(const wire::envelope& message);
    void recordPartStatuses(const google::protobuf::RepeatedPtrField<wire::prompt_part_status>& statuses, const entry_session& session);
    /// Records what an entry told of successes of requests, and passes it on to the other control processes if this one leads and
    /// fewer crashes count because of it.
    void recordSuccesses(const google::protobuf::RepeatedPtrField<wire::request_success>& successes);
    void onPlanRequest(const wire::envelope& message, const peer_network::peer& from);
    void onRelease(const wire::envelope& message, const peer_network::peer& from);
    void processPlanQueue();
    void processSlotQueue();
    void armTimer(one_shot_timer& timer, milliseconds delay, void (entry_coordinator::*action)());
    template <typename Planner>
    void placeWaiting(placement_queue<Planner>& queue, Planner& planner);
    /// Tells operators how the organisations fare in shortage.
    void reportOrganisationWaits();
    void publishOrganisationWaits(const organisation_wait_summary& summary);
    static queued_request decodeQueuedRequest(const wire::engine_plan_request& request, time_point now);
    /// Tells the entries if other services than before are queued.
    void updateQueuedServices();
    /// Records which version of its service will begin the stream of a placed call, if it is one. Returns the version.
    std::string recordOrigin(const wire::engine_plan_request& request, const std::string& endpoint);
    void sendPlanReply(std::uint64_t ticket, const engine_placement& plan, milliseconds retryAfter);
    void removeEntry(peer_connection* entry);
    void updatePlanner();
    void updateEvacuated();
    /// Limits the endpoints of data centres that are used again: they may have become cold meanwhile, which their next reports
    /// tell.
    void assumeCold(const std::set<std::string>& dataCentres);
    /// Tells the entries of changed endpoints, and which services are queued because of them.
    void announceEndpoints();
    void balanceStages();
    void onLimitRequest(const wire::envelope& message, const peer_network::peer& from);
    /// Takes back tokens that an entry was granted and no endpoint got.
    void returnTokens(const wire::limit_request& request);
    void onRetryRequest(const wire::envelope& message, const peer_network::peer& from);
    void fillUpdate(wire::entry_update& update, entry_session& session);
    void pushChanges();
    /// Tells the entries of an endpoint whose report changed something: at once if it leaves, else together with others.
    void pushReported(const wire::endpoint_report& report);
    void processLimitRequests();
    /// Applies the newest document to what control knows of routes, and to what the leader limits.
    void applyConfiguration();
    void configureLimits(const configuration& current);
    void onTimer();

    boost::asio::io_context& m_context;
    peer_network& m_network;
    document_replica& m_replica;
    const clock_source& m_clock;
    metrics& m_metrics;
    coordinator_settings m_settings;
    configuration_decoder m_decode;
    endpoint_directory m_directory;
    request_blocks m_blocks;
    std::map<peer_connection*, entry_session> m_entries;
    entry_loads m_loads;
    relay_directory m_relays;
    stream_origin_service m_origins;
    software_version_quorum m_versions;
    document_cache m_documents;
    transfer_pacer<peer_connection*> m_pacer;
    boost::asio::steady_timer m_pieceTimer;
    engine_planner m_planner;
    stage_order_client* m_stageOrders = nullptr;
    time_point m_leaderSince {};
    /// This leader answers plan requests from then on.
    time_point m_planningStartsAt {};
    /// When a leader was last known to this process.
    time_point m_leaderKnownAt {};
    /// The evacuated data centres that the planners know.
    std::set<std::string> m_evacuated;
    /// The directory version that the planner has.
    std::uint64_t m_plannerVersion = 0;
    std::uint64_t m_lastEntryNumber = 0;
    placement_queue<engine_planner> m_planQueue;
    slot_planner m_slotPlanner;
    placement_queue<slot_planner> m_slotQueue;
    organisation_waits m_organisationWaits;
    std::uint64_t m_queuedServicesVersion = 0;
    time_point m_queuedServicesCheckedAt {};
    std::map<std::uint64_t, pending_request> m_pendingPlans;
    one_shot_timer m_planTimer;
    one_shot_timer m_slotTimer;
    one_shot_timer m_announcementTimer;
    std::optional<rate_limiter> m_limits;
    /// Identifies m_limits: tokens that another owner granted are not returned to it.
    std::uint64_t m_limitEpoch = 0;
    retry_ledger m_retries;
    /// Organisations that m_limits holds.
    std::set<std::string> m_limitedOrganisations;
    std::map<std::uint64_t, pending_request> m_pendingLimits;
    std::uint64_t m_lastTicket = 0;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_limitTimer;
    bool m_limitTimerArmed = false;
};

} // namespace pistachiolatch
