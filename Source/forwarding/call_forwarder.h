#pragma once
#include "coordination/coordination.h"
#include "forwarding/call_admission.h"
#include "forwarding/call_arrivals.h"
#include "forwarding/caller_connection.h"
#include "forwarding/connection_pool.h"
#include "forwarding/endpoint_connector.h"
#include "forwarding/endpoint_registry.h"
#include "forwarding/event_splitter.h"
#include "forwarding/response_writer.h"
#include "forwarding/retry_policy.h"
#include "forwarding/send_window.h"
#include "forwarding/stall_policy.h"
#include "forwarding/startup_wait.h"
#include "scheduling/output_estimator.h"
#include <boost/asio/steady_timer.hpp>

namespace pistachiolatch {

namespace forwarding_detail {
    /// Size limit of bodies that are only discarded, or that hold a few fields. A longer one may never end.
    constexpr std::size_t maxSmallBodyBytes = 64UL * 1024;
}

/// State shared by all calls of an entry. The references outlive every call.
struct forwarding_context {
    boost::asio::io_context& context;
    const clock_source& clock;
    metrics& counters;
    control_link& link;
    token_limiter& tokenLimiter;
    endpoint_registry& endpoints;
    connection_pool& pool;
    endpoint_connector& connector;
    retry_budget_client& retryBudget;
    send_window& sendWindow;
    buffer_budget& bufferBudget;
    output_estimator& outputEstimator;
    std::mt19937_64& random;
    startup_wait& startupWait;
    /// How long endpoints go on serving after the confirmation that they leave.
    milliseconds endpointDrainTime;
    /// Whether the entry is shutting down; responses then close their connections.
    const bool& draining;
    /// Whether the entry has more open connections than it can serve; responses then close theirs.
    bool& crowded;
};

/// Processes one call from admission to completion. Sends exactly one response, or closes the connection if a stream
/// can't be completed, so that the caller doesn't take a truncated response for a complete one.
/// Each co_await is a statement of its own: GCC 12 destroys temporaries of a condition that awaits twice.
/// Used on the context's thread.
template <call_codec Codec>
class call_forwarder {
public:
    /// The charge accounts for the request, and for the copy of it that is sent to an endpoint.
    call_forwarder(forwarding_context& shared, std::shared_ptr<caller_connection> caller, caller_request request, buffer_charge charge);
    ~call_forwarder();
    call_forwarder(const call_forwarder&) = delete;
    call_forwarder& operator=(const call_forwarder&) = delete;

    /// Runs the call. Returns whether the connection can carry another one.
    task_of<bool> run();
    /// Rejects the call because the entry may stop before the response is complete. The caller's next attempt reaches
    /// another entry.
    task_of<void> rejectForShutdown();
    /// Ends the call by a time at the latest, at which its caller gets an answer. Precondition: the time is not in the past.
    void answerBy(time_point time);
    /// Gives the call up, because the buffer budget needs what it holds. The caller gets an error, or loses its connection if the
    /// response has begun.
    void end();
    const std::string& requestId() const { return m_metadata.id; }
    /// Logs the end of a call that is interrupted because the process stops.
    void handleShutdown();

private:
    struct prefill_result {
        selected_endpoint endpoint;
        std::string handle;
        time_point completedAt;
    };

    /// Result of a prefill request.
    struct prefill_attempt {
        std::optional<std::string> handle;
        /// Whether the request was sent to the endpoint.
        bool sent = false;
    };

    /// One attempt at an endpoint: its connection, and what is measured and reported of it.
    struct attempt_state {
        /// Identifies the attempt to the planner; 0 if this entry chose the endpoint of a service without engines, or once the
        /// attempt's end was reported.
        std::uint64_t callId = 0;
        std::string endpointId;
        std::shared_ptr<endpoint_connection> connection;
        /// When the last request was sent on the connection.
        time_point sentAt {};
        /// Counts the attempt as load of its endpoint.
        std::shared_ptr<endpoint_reservation> reservation;
        /// The endpoint's software version; empty if unknown.
        std::string softwareVersion;
        /// Address of the entry that relays the connection; empty if it is direct.
        std::string relayedBy;
        /// When the prefill was completed whose handle the attempt uses, if any.
        std::optional<time_point> prefilledAt;
        /// When the request was sent, or the prefill was begun whose handle it uses.
        time_point begunAt {};
        /// Events of the attempt, and when its first one arrived.
        std::uint64_t events = 0;
        time_point generationStartedAt {};
        /// How the body of the last response that was read for the caller ended.
        body_end bodyEnd = body_end::Open;
        /// Speed and health of engines, reported with the attempt's release.
        call_measurements measurements;
        engine_outcomes outcomes;
        /// What the endpoints stated with their responses.
        wire::endpoint_statement stated;
        wire::endpoint_statement prefillStated;
    };

    /// A call whose endpoint has stalled, while another endpoint is asked to run or continue it.
    struct stalled_source {
        selected_endpoint endpoint;
        attempt_state attempt;
        /// Whether the endpoint has sent anything since.
        bool resumed = false;
        /// Whether the other endpoint has taken over.
        bool left = false;
        /// Whether the other endpoint is given up, because it takes long and the call has no retry left if it refuses.
        bool kept = false;

        bool isGoingOn() const { return resumed || kept; }
    };

    /// The endpoints selected for one attempt at a model call, or the endpoint to which a stalled call of a service without engines
    /// moves.
    struct model_placement {
        selected_endpoint decode;
        std::optional<selected_endpoint> prefill;
        /// Whether the leader selected the endpoints. Its choice of a prefill endpoint, or of none, is then followed: it
        /// knows the queues better than this entry.
        bool plannedByLeader = false;
        /// Identifies the attempt to the planner; 0 if this entry chose the endpoint of a service without engines.
        std::uint64_t callId = 0;
    };

    /// The body of a response that is read as a whole.
    struct whole_body {
        std::string bytes;
        body_end end = body_end::Open;
        /// The outcome at another endpoint that the call has moved to meanwhile, if any.
        std::optional<attempt_outcome> moved;
    };

    /// What an endpoint tells of its run.
    enum class run_check {
        Expected,
        /// Another run than expected has the endpoint's id.
        Other,
        /// The endpoint answers, but doesn't tell its run.
        Untold,
        Failed,
    };

    /// Waits until an entry that has just started has a configuration, for as long as the call may wait.
    task_of<void> awaitFirstConfiguration();
    std::optional<error_response> admit();
    /// Finds out which software version began the stream that the caller continues. Returns an error if that is not known, or
    /// if the route doesn't lead to its service any more.
    task_of<std::optional<error_response>> resolveOrigin();
    /// Whether no endpoint can continue the stream, so that the call ends with that cause.
    bool stopIfVersionGone(reason& cause);
    /// Whether all endpoints that can continue the stream are leaving. They still take it for a while, and nobody else can.
    bool onlyLeavingCanContinue() const;
    /// How long ago an endpoint may have begun to leave to be selected for such a stream, and to get it: its prompt is processed
    /// in between.
    milliseconds maxLeavingTimeToSelect() const { return m_shared.endpointDrainTime / 2; }
    milliseconds maxLeavingTimeToSend() const { return m_shared.endpointDrainTime * 3 / 4; }
    /// Whether the endpoint has the software version that began the stream, or nobody has any part of the stream.
    bool mayUse(const selected_endpoint& endpoint) const;
    /// Restricts a query to the endpoints that may continue the stream, if its caller has part of it.
    void requireOrigin(endpoint_query& query) const;
    /// Asks the leader to record the placement as the origin of a resumable stream.
    void describeStream(wire::engine_plan_request& request);
    /// How long the caller may continue the stream.
    milliseconds streamLifetime() const;
    /// Records where a resumable stream is placed, before the request is sent there.
    void recordPlacement();
    /// Opens a connection on which the attempt may be sent. A resumable stream needs one to the run that the endpoint reported:
    /// another run under the same id may have another software version. Returns whether the attempt has such a connection now.
    task_of<bool> openVerifiedConnection(const selected_endpoint& endpoint);
    /// Asks for the run of the endpoint at the current connection, and notes it there if it is the expected one.
    task_of<run_check> checkRun(const selected_endpoint& endpoint);
    /// Returns an error if the request is blocked because endpoints crash while running it.
    std::optional<error_response> checkPoisonBlock();
    /// Hash of the request's organisation, method, host, path and body, computed on first use.
    std::uint64_t fingerprint();
    /// Passes on what a response of an endpoint states about its limit, if anything.
    void recordCallLimit(const selected_endpoint& endpoint, const response_metadata& response, bool isAnswer);
    /// Records how long the endpoint wants no requests and whether it leaves, as its response on the current connection states.
    void recordStatements(const selected_endpoint& endpoint, const response_metadata& response);
    /// Records the load that the endpoint's response states, if any.
    void recordLoad(const selected_endpoint& endpoint, const response_metadata& response, wire::endpoint_statement& stated);
    /// Whether all endpoints of the service rest, so that the call ends with that cause.
    bool stopIfResting(reason& cause);
    /// Reports a broken connection of the last attempt, if any, to the leader and waits for the request's crash count.
    task_of<void> reportCrash();
    /// Records that an endpoint answered the current attempt with success, if that proves that the request crashes no endpoint.
    void recordSuccess();
    /// Records for reportCrash() that the connection to an endpoint broke while it had the request.
    void recordBrokenConnection(const selected_endpoint& endpoint, attempt_stage stage = attempt_stage::Full);
    /// Whether the request was blocked since it was admitted, so that nothing more of it may reach an endpoint.
    bool stopIfBlocked();
    /// What the call will send to endpoints if nothing fails, in bytes.
    std::size_t bytesToSend(bool isModelCall) const;
    /// Encodes the request with these options and starts to send it on the current connection.
    void startSend(const attempt_options& options);
    task_of<token_decision> acquireTokens();
    /// Returns the tokens of a call that no endpoint ran. Precondition: the call has ended.
    void returnUnusedTokens(const token_decision& decision);
    task_of<void> runServiceCall();
    /// Whether all endpoints of the service are evacuated, so that the call ends with that cause.
    bool stopIfEvacuated(reason& cause);
    /// Chooses an endpoint of a service without engines: the leader does if the service is busy, else this entry.
    task_of<std::optional<selected_endpoint>> awaitSlot();
    /// Runs one attempt and reports its end.
    task_of<attempt_outcome> runAttempt(const model_placement& placement);
    /// Frees what the planner reserved for the current attempt, if anything, and reports what was measured. Does nothing the second
    /// time.
    void finishAttempt();
    task_of<void> runModelCall();
    task_of<std::optional<model_placement>> awaitPlacement();
    task_of<void> pauseBeforePoll();
    task_of<std::optional<wire::engine_plan_reply>> requestPlan();
    /// Sends a request to the leader. Returns nothing if it gives no plan in time.
    task_of<std::optional<wire::engine_plan_reply>> awaitPlan(wire::engine_plan_request request);
    /// A query for endpoints that this entry selects itself.
    endpoint_query makeQuery() const;
    /// The same for the next attempt: not tried yet, with room for the call, and able to continue its stream.
    endpoint_query makeAttemptQuery() const;
    std::uint64_t estimateOutputTokens() const;
    milliseconds placementTimeout() const;
    wire::engine_plan_request makePlanRequest(std::uint64_t callId, milliseconds timeout);
    void countEvents(std::uint64_t count);
    idle_stream measureIdleTime(const std::string& endpointId) const;
    /// Whether another endpoint may take the call over if it stalls.
    bool mayMove() const;
    /// The same without regard to how many have refused it.
    bool mayAskOthers() const;
    /// Interrupts the read of the stream once it has stalled.
    void scheduleStallCheck(const selected_endpoint& endpoint, milliseconds delay);
    /// How long an endpoint may take for a response that another endpoint could give before that one is asked.
    milliseconds responseTimeout() const;
    /// How long it takes until the response is late, or the request if the endpoint doesn't read it; not positive if it is.
    milliseconds timeUntilLate() const;
    /// Interrupts the read of the response after a delay, and again if it goes on, if another endpoint may give the response. Gives
    /// the attempt up shortly before the deadline if another response can be sent instead.
    void scheduleResponseCheck(milliseconds delay);
    /// Asks another endpoint to give a response that takes too long; see moveStalledCall().
    task_of<std::optional<attempt_outcome>> moveLateResponse(const selected_endpoint& endpoint);
    /// Reads the head of the current attempt's response. Asks another endpoint if it takes too long, and returns the outcome there if
    /// the call has moved.
    task_of<std::optional<attempt_outcome>> awaitHead(const selected_endpoint& endpoint, response_metadata& response, head_result& head);
    /// Asks another endpoint to take a stalled call over. The call's own endpoint keeps it until the other one answers, and goes on
    /// with it if it sends anything before. Returns the outcome at the other endpoint, or nothing if the call stays.
    task_of<std::optional<attempt_outcome>> moveStalledCall(const selected_endpoint& endpoint);
    task_of<std::optional<model_placement>> selectAlternative(const selected_endpoint& endpoint);
    /// Whether the endpoint has sent anything since the call stalled, or answers a status request.
    task_of<bool> isResponding(const selected_endpoint& endpoint);
    /// Leaves the stalled call's endpoint, if any, once the next one has held the call for a time without refusing it.
    void limitOverlap(const selected_endpoint& next);
    void cancelOverlapLimit();
    /// Whether the call ends early because the entry shuts down, rather than by the caller's deadline or the route's timeout.
    bool endsWithShutdown() const { return m_deadlinePassed && m_deadlineAt == m_shutdownAt; }
    std::string_view cutReason() const;
    /// Ends the time for which two endpoints hold a response that has begun: leaves the stalled call's endpoint if the call has another
    /// retry in case the next one still refuses, else gives the next one up.
    void decideOverlap(const selected_endpoint& next);
    /// Ends the attempt at the stalled call's endpoint, if any, because the next endpoint has taken over.
    void leaveSource(const selected_endpoint& next);
    std::optional<model_placement> placementFromPlan(const wire::engine_plan_reply& plan, std::uint64_t callId) const;
    /// Records an outcome in the registry and, for model calls, in the release message that reports it to the leader.
    void recordOutcome(const std::string& endpointId, endpoint_outcome outcome);
    task_of<attempt_outcome> attemptModelCall(const model_placement& placement);
    /// Whether the prefill can start soon if this entry selects the endpoints itself.
    bool canPrefillSoon(const selected_endpoint& decode);
    task_of<void> ensurePrefill(const model_placement& placement);
    std::optional<selected_endpoint> selectPrefillEndpoint(const model_placement& placement, const std::set<std::string>& tried);
    task_of<prefill_attempt> requestPrefill(const selected_endpoint& endpoint);
    task_of<attempt_outcome> sendAttempt(const selected_endpoint& endpoint, attempt_options options);
    task_of<attempt_outcome> receiveResponse(const selected_endpoint& endpoint);
    task_of<attempt_outcome> forwardStream(const selected_endpoint& endpoint, const response_metadata& response);
    task_of<attempt_outcome> storeFallbackResponse(const selected_endpoint& endpoint, const response_metadata& response);
    task_of<attempt_outcome> forwardCompleteResponse(const selected_endpoint& endpoint, const response_metadata& response);
    /// Reads the rest of a response's body, accounted to the call, and no more of it while the buffer budget has no room. Asks another
    /// endpoint if it takes too long.
    /// Whether the budget lets a response grow of which so much was read.
    bool mayReadMore(std::size_t bytesRead) const;
    task_of<whole_body> readWholeBody(const selected_endpoint& endpoint, buffer_charge& charge);
    /// Reads the head of the response to the request that was sent last.
    task_of<head_result> readHead(response_metadata& response);
    /// What the endpoint is expected to respond to a request of the entry itself, which has no id.
    static response_expectation expectOwnResponse() { return { Codec::requestIdField, {}, false, forwarding_detail::maxSmallBodyBytes }; }
    /// Returns a connection on which a request may be sent; null if there is none or the endpoint was evacuated.
    task_of<std::shared_ptr<endpoint_connection>> openConnection(const selected_endpoint& endpoint, bool idempotent);
    /// Drops what is left of the attempt before.
    void beginAttempt(const model_placement& placement);
    /// Decides after an attempt whether another one follows, and acquires a retry of the budget for it.
    task_of<bool> prepareRetry(attempt_outcome outcome, const std::string& endpointId);
    /// Acquires retries of the budget until the call holds as many. Returns false if the budget is spent.
    task_of<bool> acquireRetries(unsigned needed, retry_need need);
    void recordFirstArrival();
    task_of<void> finishUnanswered(reason failureCause);
    task_of<void> sendErrorResponse(error_response error);
    void releasePrefill();

    void startDeadlineTimer();
    void startAttemptTimer(milliseconds timeout);
    void cancelAttemptTimer();
    void closeAttemptConnection();
    /// Closes the connection of the current attempt, and of a stalled call that another endpoint is asked to take over.
    void closeConnections();
    /// Returns a connection to the pool on which nothing was sent.
    void releaseUnusedConnection(const std::string& endpointId);
    void releaseConnection(const std::string& endpointId, const response_metadata& response);
    void logCallEnded();
    /// Records how the body of an endpoint's response ended.
    void recordBodyEnd(body_end end);
    /// Logs why a response that has started is cut off, with the inputs to that decision.
    void logTruncation(std::string_view cause) const;

    bool closesConnections() const { return m_shared.draining || m_shared.crowded; }
    /// Whether the current attempt is to be given up.
    bool isAborted() const { return m_callerGone || m_deadlinePassed || m_ended || (m_source && m_source->resumed); }
    bool isIdempotent() const { return m_route->kind == call_kind::Idempotent || isResumable(); }
    /// The software version that the next endpoint must have; empty if any will do.
    std::string requiredVersion() const { return m_origin ? m_origin->softwareVersion : std::string(); }
    bool isResumable() const { return m_route->kind == call_kind::Stream && m_route->resumable; }
    milliseconds timeLeft() const { return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(m_deadlineAt - m_shared.clock.now())); }
    milliseconds age() const { return std::chrono::duration_cast<milliseconds>(m_shared.clock.now() - m_receivedAt); }
    attempt_options makeAttemptOptions(const selected_endpoint& endpoint) const;

    forwarding_context& m_shared;
    std::shared_ptr<caller_connection> m_caller;
    caller_request m_request;
    buffer_charge m_requestCharge;
    /// The part of it that is for the head.
    std::size_t m_headCharge = 0;
    request_metadata m_metadata;
    time_point m_receivedAt;
    time_point m_deadlineAt;
    /// When the call has to end because the entry shuts down.
    time_point m_shutdownAt = time_point::max();
    std::shared_ptr<const route_table> m_table;
    const route_config* m_route = nullptr;
    const organisation_config* m_organisation = nullptr;
    const service_config* m_service = nullptr;
    std::uint64_t m_tokens = 0;
    /// Identifies the stream to all processes; 0 if the call is no resumable stream.
    std::uint64_t m_stream = 0;
    /// Where the stream began, once its caller has part of it.
    std::optional<stream_origin> m_origin;
    /// Placements of this call that were recorded.
    std::uint32_t m_placements = 0;
    /// The software version that the leader recorded for the placement that it chose.
    std::optional<std::string> m_leaderVersion;
    /// What the call has yet to send to endpoints if nothing fails.
    send_commitment m_bytesToSend;
    attempt_state m_attempt;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_attemptTimer;
    boost::asio::steady_timer m_overlapTimer;
    /// Identifies the overlap that is limited, if any.
    std::uint64_t m_overlapNumber = 0;
    std::uint64_t m_attemptNumber = 0;
    bool m_attemptExpired = false;
    bool m_callerGone = false;
    bool m_deadlinePassed = false;
    /// Whether end() was called.
    bool m_ended = false;
    bool m_responseStarted = false;
    bool m_keepAlive = true;
    unsigned m_sendCount = 0;
    unsigned m_possibleRuns = 0;
    call_arrivals m_arrivals;
    bool m_firstArrivalRecorded = false;
    /// Refusals by endpoints that were asked to take the call over, and failures to connect to them.
    unsigned m_refusals = 0;
    /// How often another endpoint was asked in vain to give a late response.
    unsigned m_lateMoves = 0;
    std::set<std::string> m_triedEndpoints;
    std::string m_endpointIds;
    std::optional<prefill_result> m_prefill;
    /// The endpoint of the last successful prefill; empty if decode endpoints process the prompt themselves.
    std::string m_prefillEndpointId;
    milliseconds m_prefillDuration { 0 };
    event_splitter m_eventSplitter;
    /// An endpoint's error response, sent to the caller if no other endpoint can serve the call.
    std::string m_fallbackResponse;
    buffer_charge m_fallbackCharge;
    unsigned m_fallbackStatus = 0;
    unsigned m_status = 0;
    std::string m_outcome;
    milliseconds m_firstEventLatency { -1 };
    std::uint64_t m_eventsForwarded = 0;
    /// Since when the call's response or its stream's next data is awaited; zero while it is blocked by a slow caller.
    time_point m_waitingSince {};
    milliseconds m_longestPause { 0 };
    /// The stalled call while another endpoint is asked to take it over, or null.
    stalled_source* m_source = nullptr;
    milliseconds m_retryAfter { 0 };
    /// Why the call is not retried; None while it may be.
    no_retry_reason m_noRetryReason = no_retry_reason::None;
    /// Duration of the last wait for endpoints.
    milliseconds m_endpointWait { 0 };
    /// Whether the leader's last plan reported that all endpoints are full.
    bool m_enginesFull = false;
    bool m_endLogged = false;
    std::optional<std::uint64_t> m_fingerprint;
    /// The endpoint whose connection broke, until it is reported.
    std::optional<selected_endpoint> m_brokenEndpoint;
    attempt_stage m_brokenStage = attempt_stage::Full;
    /// Why the request is refused, if it was blocked after it had been admitted.
    std::optional<error_response> m_block;
    unsigned m_crashReports = 0;
    std::uint32_t m_crashes = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace pistachiolatch

#include "forwarding/call_forwarder_attempts.h"
#include "forwarding/call_forwarder_common.h"
#include "forwarding/call_forwarder_models.h"
#include "forwarding/call_forwarder_moves.h"
#include "forwarding/call_forwarder_responses.h"
#include "forwarding/call_forwarder_resumption.h"
#include "forwarding/call_forwarder_statements.h"
#include "forwarding/call_forwarder_streams.h"
