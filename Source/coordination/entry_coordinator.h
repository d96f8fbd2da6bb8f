#pragma once
#include "coordination/document_cache.h"
#include "coordination/entry_loads.h"
#include "coordination/request_blocks.h"
#include "coordination/stage_order_client.h"
#include "coordination/transfer_pacer.h"
#include "limits/limits.h"
#include "membership/membership.h"
#include "replication/replication.h"
#include "routing/routing.h"
#include "scheduling/plan_queue.h"
#include <functional>
#include <optional>

namespace pistachiolatch {

/// What a deployment tolerates beyond an organisation's rate and burst in any window. Half of it goes to the bucket, so
/// that a single request larger than a small organisation's burst is served and chance bursts within the tolerance are
/// not refused. Of the other half, one part is what a new owner of the limits starts with, since it can't know what its
/// predecessor let through: with nothing, it refused what had been within the limits for seconds. The rest is what
/// entries let through while the limits have no owner.
struct limit_tolerance {
    /// Share of what rate and burst allow in a window.
    double overshoot = 0;
    std::uint64_t slackTokens = 0;
    milliseconds window { 0 };

    /// The tokens that an organisation may have beyond its burst at once.
    std::uint64_t extraBurst(std::uint64_t rate, std::uint64_t burst) const
    {
        auto allowed = static_cast<double>(rate) * std::chrono::duration<double>(window).count() + static_cast<double>(burst);
        return static_cast<std::uint64_t>((overshoot * allowed + static_cast<double>(slackTokens)) / 2);
    }
    /// What a new owner starts an organisation with.
    std::uint64_t startTokens(std::uint64_t rate, std::uint64_t burst) const { return extraBurst(rate, burst) - slackTokens / 4; }
    /// What all entries together may let through for each organisation while the limits have no owner.
    std::uint64_t withoutOwner() const { return slackTokens / 4; }
};

struct coordinator_settings {
    directory_settings directory;
    /// An entry that is silent for longer than its lease lasts can't act any more, and is forgotten.
    milliseconds entryLease { 4000 };
    limit_tolerance tolerance;
    /// Names this VM as the holder of orders.
    std::string vm;
};

/// Reads a document's body into the configuration it holds.
using configuration_decoder = std::function<result<configuration>(const std::string& body)>;

/// The part of control that entries and endpoints deal with. Every control process keeps the whole directory of
/// endpoints, since any of them may lead next; only the leader speaks to entries and owns the limits.
/// Thread safety: everything is called on the thread that runs the context.
class entry_coordinator {
public:
    entry_coordinator(boost::asio::io_context& context, peer_network& network, document_replica& replica, const clock_source& clock,
        metrics& counters, coordinator_settings settings, configuration_decoder decode);

    /// Gives orders to endpoints through this; without it none are given. Precondition: it outlives the coordinator.
    void setStageOrderClient(stage_order_client& orders) { m_orders = &orders; }
    void start();
    void stop();
    /// Takes in what a peer sent, if it is for this part. Returns whether it was.
    bool onMessage(const wire::envelope& message, const peer_network::peer& from);
    void onPeerLost(const peer_network::peer& lost);
    void onDocumentChanged();
    void onLeadershipChanged(bool leads);
    /// Takes in a report that an endpoint sent here. That an endpoint leaves is confirmed once the leader knows it and
    /// has told the entries: an endpoint takes the confirmation as word that no new work will come.
    void report(const wire::endpoint_report& report, std::function<void(bool taken)> handler);

private:
    struct entry_session {
        /// Names the session towards the planner and in the loads.
        std::string name;
        peer_network::peer peer;
        std::uint64_t documentVersion = 0;
        std::uint64_t directorySource = 0;
        std::uint64_t directoryVersion = 0;
        /// The version of the request blocks last sent to it, if any.
        std::optional<std::uint64_t> blocksVersion;
        time_point heardAt;
        /// Whether it asks for documents in pieces, and the piece that it asked for last.
        bool takesPieces = false;
        wire::document_ask asked;
    };
    struct waiting_answer {
        peer_network::peer peer;
        wire::envelope call;
    };

    void onSync(const wire::envelope& message, const peer_network::peer& from);
    void onDocumentAsk(const wire::document_ask& ask, const peer_network::peer& from);
    void onDirectoryAsk(const wire::directory_ask& ask, const peer_network::peer& from);
    void sendPieces();
    bool sendPiece(entry_session& session);
    void fillEndpoints(wire::entry_update& update, entry_session& session);
    void onReport(const wire::envelope& message, const peer_network::peer& from);
    /// Applies an endpoint's report to the directory and the request blocks. Returns whether either changed.
    bool takeReport(const wire::endpoint_report& report);
    void onCrash(const wire::envelope& message, const peer_network::peer& from);
    void onPlanRequest(const wire::envelope& message, const peer_network::peer& from);
    void onRelease(const wire::envelope& message, const peer_network::peer& from);
    void answerPlans();
    void answerPlan(std::uint64_t ticket, const engine_plan& plan, milliseconds retryAfter);
    void forgetEntry(peer_connection* entry);
    void refreshPlanner();
    void balanceStages();
    void onLimitRequest(const wire::envelope& message, const peer_network::peer& from);
    void fillUpdate(wire::entry_update& update, entry_session& session);
    void pushChanges();
    void answerLimits();
    void configureLimits();
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
    document_shelf m_shelf;
    transfer_pacer<peer_connection*> m_pacer;
    boost::asio::steady_timer m_pieceTimer;
    engine_planner m_planner;
    stage_order_client* m_orders = nullptr;
    time_point m_leadsSince {};
    /// From when on this leader places calls.
    time_point m_planFrom {};
    /// When a leader was last known here.
    time_point m_leaderKnownAt {};
    /// The directory's version that the planner has.
    std::uint64_t m_planned = 0;
    std::uint64_t m_lastEntry = 0;
    plan_queue m_queue;
    std::map<std::uint64_t, waiting_answer> m_waitingPlans;
    boost::asio::steady_timer m_planTimer;
    bool m_planTimerArmed = false;
    std::optional<limit_owner> m_limits;
    std::set<std::string> m_limited;
    std::map<std::uint64_t, waiting_answer> m_waiting;
    std::uint64_t m_lastTicket = 0;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_limitTimer;
    bool m_limitTimerArmed = false;
};

} // namespace pistachiolatch
