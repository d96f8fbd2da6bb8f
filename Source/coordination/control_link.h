#pragma once
#include "coordination/configuration_lease.h"
#include "coordination/crash_journal.h"
#include "coordination/document_fetch.h"
#include "coordination/endpoint_limits.h"
#include "coordination/endpoint_listener.h"
#include "coordination/entry_coordinator.h"
#include "coordination/leader_search.h"
#include "coordination/leader_updates.h"
#include "coordination/prompt_part_client.h"
#include "coordination/relay_participant.h"
#include "coordination/request_success_history.h"
#include "coordination/stream_origin_client.h"
#include "peering/peering.h"
#include "routing/routing.h"
#include "scheduling/scheduling.h"
#include <memory>
#include <optional>

namespace pistachiolatch {

struct control_link_settings {
    /// Initially known peer addresses of control processes.
    std::vector<std::string> controls;
    /// How long an entry may act on its configuration without hearing from a leader. Bounds how long an entry that is cut
    /// off accepts a withdrawn key.
    milliseconds lease { 4000 };
    /// The time within which an accepted configuration must be in force at every entry.
    milliseconds changeBound { 2000 };
};

/// When a message was sent and when it arrived at another process, by the clock of each. The time in between compares with
/// that of other messages to the same process only.
struct path_sample {
    std::string peer;
    time_point sentAt {};
    time_point receivedAt {};
};

/// Endpoints involved in one attempt at a model call, by result.
struct engine_outcomes {
    std::vector<std::string> succeeded;
    std::vector<std::string> failed;
    /// Endpoints that rejected the call as full although the planner expected room.
    std::vector<std::string> refused;
};

struct finished_attempt {
    std::uint64_t callId = 0;
    call_measurements measurements;
    engine_outcomes outcomes;
    /// What the endpoint of the call, and the one that processed its prompt, stated with their responses, if anything.
    wire::endpoint_statement stated {};
    wire::endpoint_statement prefillStated {};
};

/// An entry's connection to the leader. Keeps the configuration and the endpoints up to date and tracks until when the
/// configuration may be used. Every control process names the leader and the other control processes, so outdated
/// initial addresses are corrected.
/// Thread safety: all calls on the thread that runs the context.
class control_link {
public:
    control_link(boost::asio::io_context& context, peer_network& network, const clock_source& clock, metrics& counters,
        control_link_settings settings, configuration_decoder decode, endpoint_listener& endpoints);

    /// Has syncs state the participant's offer and passes others' offers to it. Precondition: it outlives the link.
    void setRelayParticipant(relay_participant& participant) { m_relays = &participant; }
    void start();
    void stop();
    /// Adds addresses of control processes to contact.
    void addControls(const std::vector<std::string>& addresses);
    /// Handles a message that was not requested. Returns false if it is none of this class.
    bool onMessage(const wire::envelope& message);
    /// The applied configuration, or null if there is none.
    const std::shared_ptr<const route_table>& routeTable() const { return m_table; }
    bool hasCurrentConfiguration() const { return m_table && m_clock.now() < m_lease.expiry(); }
    /// Address of the leader that replied last; empty if none replies.
    const std::string& leader() const { return m_leader; }
    /// Entries in the fleet, including this one; at least 1.
    unsigned entryCount() const { return m_entries; }
    /// Sets a handler that receives the number of entries each time that a leader states it.
    void onEntryCount(std::function<void(unsigned entries)> handler) { m_entryCountHandler = std::move(handler); }
    /// Asks the leader where to place a call. The handler receives nullopt if no leader replies in time.
    void requestPlan(wire::engine_plan_request request, std::function<void(std::optional<wire::engine_plan_reply>)> handler);
    /// Checks at once whether the leader still replies, with a shorter timeout than a regular sync.
    void probeLeader();
    /// Sends a message to a control process that only tells how long the way there takes. The handler receives nothing if it
    /// was not answered.
    void probePath(std::function<void(std::optional<path_sample>)> handler);
    /// Reports the end of an attempt that the leader placed.
    void reportFinished(const finished_attempt& attempt);
    void reportUnreachable(const std::string& endpoint, std::uint64_t born);
    /// Handles what the response of an endpoint to a request sent at `sentAt` states about its limit in calls per second.
    void onResponse(const std::string& endpoint, std::uint64_t incarnation, std::optional<double> limit, time_point sentAt);
    /// The limits that endpoints name.
    endpoint_limits& endpointLimits() { return m_limits; }
    /// Where streams began.
    stream_origin_client& streamOrigins() { return m_origins; }
    /// Reports that the connection to an endpoint broke while it ran a request. The handler receives the number of
    /// crashes that the leader counts against the request, or those that this entry saw if no leader replies in time.
    void reportCrash(const wire::crash_report& report, std::function<void(std::uint32_t crashes)> handler);
    /// Whether the leader places the calls to this service, which has no engines. False while no leader is known.
    bool isQueued(const std::string& service) const { return m_queuedServices.count(service) > 0; }
    /// Whether blockOf() may return a block for any request.
    bool mayBlockRequests() const { return !m_blocked.empty() || !m_crashes.empty(); }
    request_block blockOf(std::uint64_t fingerprint) const;
    /// Records that an endpoint answered an attempt at the request with success.
    void recordRequestSucceeded(std::uint64_t fingerprint, time_point begunAt);
    /// Whether a prompt with these parts is blocked, by the leader or, while none is known, by the crashes that this entry saw.
    request_block blockOfParts(const std::vector<std::uint64_t>& parts);
    /// Records that a call whose prompt has these parts ran to its end.
    void recordPartsSucceeded(const std::vector<std::uint64_t>& parts);
    /// Tells the leader that this entry shuts down, so that its shares go to the others.
    void sendLeaving();

private:
    struct sync_request {
        std::uint64_t number = 0;
        std::string address;
        time_point sentAt;
    };
    void sendSync(milliseconds timeout);
    void failPlanRequests();
    void scheduleSync(milliseconds delay);
    milliseconds syncTimeout() const;
    void onSyncTimeout(const sync_request& request);
    void onSyncReply(const wire::envelope* reply, const sync_request& request);
    void onNotLeader(const wire::entry_update& update, const sync_request& request);
    /// Ages in the update count from agesFrom: when a requested update was requested, so that network delay never makes
    /// anything look newer, or when an unrequested one arrived.
    /// Precondition: the update was admitted.
    void applyUpdate(const wire::entry_update& update, time_point agesFrom);
    void applyDirectory(const wire::entry_update& update);
    /// Whether a leader's update may be taken up, rather than being one of a former leader.
    bool admit(const wire::entry_update& update);
    void handlePiece(const wire::document_piece& piece);
    void applyDocument();
    void continueFetch();
    void setLeader(const std::string& leader);
    void sendCrashKnowledge();
    /// Crashes under the request that this entry saw, since its last success, and that the leader doesn't know.
    std::uint32_t countSeenCrashes(std::uint64_t fingerprint) const;

    peer_network& m_network;
    const clock_source& m_clock;
    metrics& m_metrics;
    control_link_settings m_settings;
    configuration_decoder m_decode;
    endpoint_listener& m_endpoints;
    relay_participant* m_relays = nullptr;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_syncTimeoutTimer;
    boost::asio::steady_timer m_fetchTimer;
    document_fetch m_fetch;
    configuration_lease m_lease;
    std::uint64_t m_lastSync = 0;
    /// The sync whose reply or timeout schedules the next one; 0 if there is none.
    std::uint64_t m_pendingSync = 0;
    /// Exponentially weighted average of sync round trips.
    milliseconds m_roundTrip { 0 };
    leader_search m_search;
    std::string m_leader;
    /// The control process that probePath() asked last.
    std::string m_lastProbed;
    std::shared_ptr<const route_table> m_table;
    leader_updates m_updates;
    unsigned m_entries = 1;
    std::function<void(unsigned)> m_entryCountHandler;
    /// Whether the block is certain, by fingerprint of the blocked request.
    std::map<std::uint64_t, bool> m_blocked;
    crash_journal m_crashes;
    request_success_history m_requestSuccesses;
    prompt_part_client m_parts;
    endpoint_limits m_limits;
    stream_origin_client m_origins;
    /// Kept while no leader is known: an entry that is out of touch must not return work to an evacuated data centre.
    evacuation_table m_evacuations;
    std::set<std::string> m_queuedServices;
    bool m_leaving = false;
    bool m_probing = false;
    std::uint64_t m_lastPlan = 0;
    std::map<std::uint64_t, std::function<void(std::optional<wire::engine_plan_reply>)>> m_plans;
};

} // namespace pistachiolatch
