#pragma once
#include "coordination/configuration_lease.h"
#include "coordination/document_fetch.h"
#include "coordination/endpoint_listener.h"
#include "coordination/entry_coordinator.h"
#include "peering/peering.h"
#include "routing/routing.h"
#include "scheduling/scheduling.h"
#include <memory>
#include <optional>

namespace pistachiolatch {

struct control_link_settings {
    /// Peer addresses of control processes, as far as known at the start.
    std::vector<std::string> controls;
    /// How long an entry may act on what it knows without word from a leader. It bounds the time for which an entry
    /// that is cut off goes on with a withdrawn key.
    milliseconds lease { 4000 };
    /// The time within which an accepted configuration must be in force at every entry.
    milliseconds changeBound { 2000 };
};

/// The engines that served, or failed, a part of a model call.
struct engine_outcomes {
    std::vector<std::string> succeeded;
    std::vector<std::string> failed;
    /// Those that refused it as full, though they were thought to have room.
    std::vector<std::string> refused;
};

/// Whether requests with a fingerprint are refused because endpoints crash while running them.
enum class request_block {
    None,
    /// Connections to endpoints broke while they ran the request; whether the endpoints crashed is not known yet.
    Suspected,
    Certain,
};

/// A try at a model call that has ended.
struct ended_try {
    std::uint64_t callId = 0;
    call_figures figures;
    engine_outcomes outcomes;
};

/// An entry's link to the leader: keeps the configuration and the endpoints current, and knows until when they may be
/// acted on. Any control process that answers tells who leads and which others there are, so that stale addresses at
/// the start do no harm.
/// Thread safety: everything is called on the thread that runs the context.
class control_link {
public:
    control_link(boost::asio::io_context& context, peer_network& network, const clock_source& clock, metrics& counters,
        control_link_settings settings, configuration_decoder decode, endpoint_listener& endpoints);

    void start();
    void stop();
    /// Adds addresses at which control processes may be found.
    void addControls(const std::vector<std::string>& addresses);
    /// Takes in an update that nobody asked for. Returns whether the message was one.
    bool onMessage(const wire::envelope& message);
    /// The configuration, or null while there is none.
    const std::shared_ptr<const route_table>& table() const { return m_table; }
    /// Whether the configuration may be acted on now.
    bool isCurrent() const { return m_table && m_clock.now() < m_lease.until(); }
    /// The leader that last answered; empty when none does.
    const std::string& leader() const { return m_leader; }
    /// Entries in the fleet, this one among them; at least 1.
    unsigned entries() const { return m_entries; }
    /// Asks the leader where a model call should go. The handler gets null when no leader answers in time.
    void plan(wire::engine_plan_request ask, std::function<void(std::optional<wire::engine_plan_reply>)> handler);
    /// Takes note that the leader did not answer a question in time: it is asked for a sign of life at once, and given up
    /// sooner than at the next sync.
    void suspectLeader();
    /// Tells the leader that a try which it placed has ended.
    void release(const ended_try& ended);
    /// Tells the leader that an endpoint could not be reached.
    void reportUnreachable(const std::string& endpoint, std::uint64_t born);
    /// Tells the leader that the connection to an endpoint broke while it ran a request. The handler gets the number of
    /// crashes that the leader counts against the request, or 0 if no leader is known or answers in time.
    void tellCrash(const wire::crash_report& report, std::function<void(std::uint32_t crashes)> handler);
    bool blocksRequests() const { return !m_blocked.empty(); }
    request_block blockOf(std::uint64_t fingerprint) const;
    /// Tells the leader that this entry leaves, so that its shares go to the others.
    void sendLeaving();

private:
    struct sync_question {
        std::uint64_t number = 0;
        std::string asked;
        time_point sentAt;
    };
    void syncNow(milliseconds timeout);
    void failPlans();
    void scheduleSync(milliseconds delay);
    milliseconds silenceAfter() const;
    void onSilence(const sync_question& question);
    void onReply(const wire::envelope* reply, const sync_question& question);
    void onOtherLeader(const wire::entry_update& update, const sync_question& question);
    /// The moment is the one from which the ages in the update count: when it was asked for, so that its way makes nothing
    /// younger, or when it came unasked.
    void takeUpdate(const wire::entry_update& update, time_point agesFrom);
    void takePiece(const wire::document_piece& piece);
    void applyDocument();
    void fetchMore();
    void noteLeader(const std::string& leader);
    std::string nextControl();

    peer_network& m_network;
    const clock_source& m_clock;
    metrics& m_metrics;
    control_link_settings m_settings;
    configuration_decoder m_decode;
    endpoint_listener& m_endpoints;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_silenceTimer;
    boost::asio::steady_timer m_fetchTimer;
    document_fetch m_fetch;
    configuration_lease m_lease;
    std::uint64_t m_lastSync = 0;
    /// The sync whose answer the next step waits for; 0 when none is.
    std::uint64_t m_awaitedSync = 0;
    /// How long answers to syncs take, weighted towards the newest.
    milliseconds m_roundTrip { 0 };
    std::set<std::string> m_controls;
    std::string m_leader;
    std::string m_hint;
    std::string m_lastAsked;
    std::shared_ptr<const route_table> m_table;
    std::uint64_t m_directorySource = 0;
    std::uint64_t m_directoryVersion = 0;
    unsigned m_entries = 1;
    /// Fingerprints of blocked requests, each with whether its block is certain.
    std::map<std::uint64_t, bool> m_blocked;
    bool m_leaving = false;
    bool m_suspecting = false;
    std::uint64_t m_lastPlan = 0;
    std::map<std::uint64_t, std::function<void(std::optional<wire::engine_plan_reply>)>> m_plans;
};

} // namespace pistachiolatch
