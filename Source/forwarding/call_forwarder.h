#pragma once
#include "coordination/coordination.h"
#include "forwarding/caller_connection.h"
#include "forwarding/connection_pool.h"
#include "forwarding/endpoint_registry.h"
#include "forwarding/event_splitter.h"
#include "forwarding/response_writer.h"
#include "forwarding/retry_policy.h"
#include "forwarding/shared_retry_budget.h"
#include "forwarding/stall_policy.h"
#include "scheduling/output_forecast.h"
#include <boost/asio/steady_timer.hpp>

namespace pistachiolatch {

/// What all calls of an entry share. The references outlive every call.
struct forwarding_context {
    boost::asio::io_context& context;
    const clock_source& clock;
    metrics& counters;
    control_link& link;
    token_account& tokens;
    endpoint_registry& roster;
    connection_pool& pool;
    shared_retry_budget& budget;
    output_forecast& outputs;
    std::mt19937_64& random;
    /// Whether the entry is shutting down; answers then close their connections.
    const bool& draining;
};

/// One call from admission to its end. Answers its caller exactly once, or breaks the connection where a stream can't
/// be finished, so that nobody takes a part for the whole.
/// Each co_await stands in a statement of its own: GCC 12 destroys temporaries of a condition that awaits twice.
/// Used on the context's thread.
template <call_codec Dialect>
class forward_call {
public:
    forward_call(forwarding_context& shared, std::shared_ptr<caller_channel> caller, caller_request request);
    ~forward_call();
    forward_call(const forward_call&) = delete;
    forward_call& operator=(const forward_call&) = delete;

    /// Serves the call. Returns whether the connection can carry another.
    task_of<bool> run();
    /// Refuses the call because the entry ends before its answer might. The caller's next attempt reaches another entry.
    task_of<void> refuseAtShutdown();
    const std::string& requestId() const { return m_head.id; }
    /// Logs the end of a call that is interrupted because the process stops.
    void cutAtShutdown();

private:
    struct prefill_result {
        std::string endpointAddress;
        std::string dataCentre;
        std::string handle;
        time_point at;
    };

    /// What came of asking an endpoint to read a prompt.
    struct prefill_try {
        std::optional<std::string> handle;
        /// Whether the question left for the endpoint.
        bool sent = false;
    };

    /// The endpoints of one try at a model call.
    struct model_places {
        picked_endpoint decode;
        std::optional<picked_endpoint> prefill;
        /// Whether the leader chose; it then knows better than this entry whether a prefill endpoint is worth its queue.
        bool planned = false;
        /// Names this try towards the planner.
        std::uint64_t callId = 0;
    };

    std::optional<error_response> admit();
    /// Returns the refusal if the request is blocked because endpoints crash while running it.
    std::optional<error_response> refusedAsPoison();
    /// Hash of the request's organisation, method, host, path and body, computed on first use.
    std::uint64_t fingerprint();
    /// Reports a broken connection of the last attempt, if any, to the leader and waits for the request's crash count.
    task_of<void> reportCrash();
    /// Records for reportCrash() that the connection to an endpoint broke while it had the request.
    void noteBrokenConnection(const picked_endpoint& endpoint);
    task_of<token_verdict> takeTokens();
    task_of<void> runPlain();
    task_of<void> runModel();
    task_of<std::optional<model_places>> awaitPlaces();
    task_of<std::optional<wire::engine_plan_reply>> planByLeader();
    endpoint_query decodeQuery() const;
    std::uint64_t expectedOutput() const;
    milliseconds patienceForPlaces() const;
    wire::engine_plan_request planQuestion(std::uint64_t callId, milliseconds patience) const;
    void noteEvents(std::string_view piece);
    quiet_stream quietStream(const std::string& endpointId) const;
    void watchQuiet(picked_endpoint endpoint, milliseconds delay);
    void seekOtherPlaces(const picked_endpoint& endpoint);
    std::optional<model_places> placesOfPlan(const wire::engine_plan_reply& plan, std::uint64_t callId) const;
    std::optional<model_places> placesElsewhere(const std::optional<wire::engine_plan_reply>& plan, const picked_endpoint& endpoint, std::uint64_t callId);
    void leaveFor(const model_places& places, const picked_endpoint& endpoint);
    void noteMoved(const std::string& endpointId);
    /// Notes what a send tells of its endpoint, here and, for model calls, with the release that the leader learns from.
    void judge(const std::string& endpointId, endpoint_verdict verdict);
    task_of<attempt_end> serveModelAt(const model_places& places);
    /// Whether the prompt can be read soon, where this entry chooses by itself.
    bool mayBeReadAlone(const picked_endpoint& decode);
    task_of<void> ensurePrefill(const model_places& places);
    std::optional<picked_endpoint> pickPrefill(const model_places& places, const std::set<std::string>& tried);
    task_of<prefill_try> prefillAt(const picked_endpoint& endpoint);
    task_of<attempt_end> sendTo(const picked_endpoint& endpoint, attempt_options orders);
    task_of<attempt_end> receive(const picked_endpoint& endpoint);
    task_of<attempt_end> passStream(const picked_endpoint& endpoint, const response_metadata& answer);
    task_of<attempt_end> keepSpare(const picked_endpoint& endpoint, const response_metadata& answer);
    task_of<attempt_end> passWhole(const picked_endpoint& endpoint, const response_metadata& answer);
    task_of<call_failure> readOwnHead(response_metadata& answer);
    task_of<std::shared_ptr<endpoint_connection>> open(const picked_endpoint& endpoint, bool mayBeRepeated);
    bool tryAgainAfter(attempt_end end, const std::string& endpointId);
    task_of<void> conclude(reason whyNotServed);
    task_of<void> refuse(error_response refusal);
    void releasePrefill();

    void startDeadline();
    void armAttempt(milliseconds patience);
    void disarmAttempt();
    void cutCurrent();
    void finishConnection(const std::string& endpointId, const response_metadata& answer);
    void logEnd();
    /// Logs why an answer is cut after it has begun, with the inputs to that decision.
    void logCut(std::string_view why) const;

    bool ended() const { return m_callerGone || m_deadlinePassed; }
    bool idempotent() const { return m_route->kind == call_kind::Idempotent || resumable(); }
    bool resumable() const { return m_route->kind == call_kind::Stream && m_route->resumable; }
    milliseconds timeLeft() const { return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(m_endsAt - m_shared.clock.now())); }
    milliseconds age() const { return std::chrono::duration_cast<milliseconds>(m_shared.clock.now() - m_receivedAt); }
    attempt_options ordersFor(const picked_endpoint& endpoint) const;

    forwarding_context& m_shared;
    std::shared_ptr<caller_channel> m_caller;
    caller_request m_request;
    request_metadata m_head;
    time_point m_receivedAt;
    time_point m_endsAt;
    std::shared_ptr<const route_table> m_table;
    const route_config* m_route = nullptr;
    const organisation_config* m_organisation = nullptr;
    const service_config* m_service = nullptr;
    std::uint64_t m_tokens = 0;
    std::shared_ptr<endpoint_connection> m_current;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_attemptTimer;
    std::uint64_t m_attempt = 0;
    bool m_attemptExpired = false;
    bool m_callerGone = false;
    bool m_deadlinePassed = false;
    bool m_answerBegun = false;
    bool m_keepAlive = true;
    unsigned m_sends = 0;
    unsigned m_mayHaveRunAt = 0;
    std::set<std::string> m_tried;
    std::string m_endpoints;
    std::optional<prefill_result> m_prefill;
    bool m_firstPrefillDone = false;
    /// The prefill endpoint that last read the prompt; empty while decode endpoints read it.
    std::string m_promptReadAt;
    milliseconds m_promptReadIn { 0 };
    event_splitter m_events;
    /// An endpoint's own error, kept while another endpoint is tried: where none can be, it is the caller's answer.
    std::string m_spareAnswer;
    unsigned m_spareStatus = 0;
    unsigned m_status = 0;
    std::string m_outcome;
    milliseconds m_firstPiece { -1 };
    /// The call's name towards the planner, the events passed on, and when the endpoint at hand sent its first.
    std::uint64_t m_callId = 0;
    std::uint64_t m_eventsPassed = 0;
    std::uint64_t m_eventsHere = 0;
    time_point m_generatingSince {};
    /// What this try told of engines' speed and health.
    call_figures m_figures;
    engine_outcomes m_outcomes;
    /// Since when the stream's next bytes are awaited; zero while a slow caller holds it back.
    time_point m_quietSince {};
    milliseconds m_longestPause { 0 };
    /// Where a stream that stands still goes on; its share of the retry budget is taken.
    std::optional<model_places> m_nextPlaces;
    /// Whether the endpoint that it left was alive, so that nothing is held against it.
    bool m_leftLive = false;
    milliseconds m_retryAfter { 0 };
    /// Why the call is not sent again; None while it may be.
    no_retry_reason m_noRetryReason = no_retry_reason::None;
    /// Duration of the last wait for endpoints.
    milliseconds m_endpointWait { 0 };
    /// Whether the leader's last plan reported that all engines are full.
    bool m_enginesFull = false;
    bool m_endLogged = false;
    std::optional<std::uint64_t> m_fingerprint;
    /// The endpoint whose connection broke, until it is reported.
    std::optional<picked_endpoint> m_brokenEndpoint;
    unsigned m_crashReports = 0;
    std::uint32_t m_crashes = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace pistachiolatch

#include "forwarding/call_forwarder_common.h"
#include "forwarding/call_forwarder_models.h"
#include "forwarding/call_forwarder_responses.h"
#include "forwarding/call_forwarder_streams.h"
