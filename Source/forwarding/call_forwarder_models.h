#pragma once
// Calls to model engines. Included only by call_forwarder.h.
#include "forwarding/call_forwarder.h"
#include "forwarding/call_forwarder_common.h"
#include "routing/call_priority.h"

namespace pistachiolatch {

namespace forwarding_detail {
    /// Concurrent prompts at which a prefill endpoint counts as full. A prompt takes about 100 ms, so a longer queue
    /// would exceed the latency target.
    constexpr unsigned prefillRequestCapacity = 4;
    /// Maximum of concurrent prompts at a prefill endpoint while the entry selects endpoints itself. After a restart of
    /// all VMs, entries know few endpoints and all callers return at once: without a limit, prompts would queue at the
    /// only known prefill endpoint until they time out.
    constexpr unsigned maxUnplannedPrompts = 2;
    /// Fraction of a prefill handle's lifetime in which it is used; the rest covers the transfer to the decode endpoint.
    constexpr int handleReuseTenths = 6;
    /// Timeout of a prefill request, as a fraction of the route's latency target.
    constexpr int prefillTimeoutTenths = 9;
    /// Time for an endpoint to answer that it freed a prefill result.
    constexpr milliseconds releaseTimeout { 1000 };
    /// Prefill attempts before the prompt is left to the decode endpoint.
    constexpr unsigned maxPrefillAttempts = 2;
    /// Interval at which a call checks for a free decode endpoint while all are full.
    constexpr milliseconds capacityPollInterval { 40 };
    /// How long a call may wait for engine memory, as a fraction of the route's latency target. A call that starts later
    /// misses its target and would displace one that can meet it, so it gets a Retry-After instead.
    constexpr int placementTimeoutTenths = 7;
    /// The same while the entry selects endpoints itself.
    constexpr int unplannedTimeoutTenths = 5;
    /// A started stream may wait for another endpoint for this fraction of the tolerated pause; the rest covers the
    /// prefill there.
    constexpr int resumeTimeoutDivisor = 2;
}

template <call_codec Codec>
task_of<void> call_forwarder<Codec>::runModelCall()
{
    reason cause = reason::NoCapacity;
    while (!isAborted()) {
        if (stopIfEvacuated(cause) || stopIfBlocked() || stopIfVersionGone(cause) || stopIfResting(cause))
            break;
        m_attempt.callId = m_shared.endpoints.nextCallId();
        auto waitStartedAt = m_shared.clock.now();
        auto placement = co_await awaitPlacement();
        m_endpointWait = std::chrono::duration_cast<milliseconds>(m_shared.clock.now() - waitStartedAt);
        if (!placement) {
            m_noRetryReason = no_retry_reason::NoEndpoint;
            break;
        }
        auto outcome = co_await runAttempt(*placement);
        if (outcome == attempt_outcome::Completed)
            co_return;
        co_await reportCrash();
        cause = outcome == attempt_outcome::RefusedNotRun ? reason::NoCapacity : outcome == attempt_outcome::NotSent ? reason::ConnectFailed
                                                                                                                     : reason::EndpointFailed;
        if (isAborted())
            break;
        bool mayRetry = co_await prepareRetry(outcome, m_attempt.endpointId);
        if (!mayRetry)
            break;
        if (m_origin && hasCertainlyNotRun(outcome))
            co_await pauseBeforePoll();
    }
    co_await finishUnanswered(cause);
}

template <call_codec Codec>
endpoint_query call_forwarder<Codec>::makeAttemptQuery() const
{
    auto query = makeQuery();
    if (m_service->engine) {
        query.stage = m_shared.endpoints.hasServing(query.service, wire::STAGE_DECODE) ? wire::STAGE_DECODE : wire::STAGE_ANY;
        query.tokens = m_tokens;
        query.memoryTokens = m_service->engine->memoryTokens;
    }
    query.exclude = m_triedEndpoints;
    requireOrigin(query);
    return query;
}

template <call_codec Codec>
std::uint64_t call_forwarder<Codec>::estimateOutputTokens() const
{
    if (!m_metadata.tokens)
        return 0;
    return m_shared.outputEstimator.estimate(m_route->name, m_metadata.tokens->output, m_metadata.outputTokensHint);
}

template <call_codec Codec>
milliseconds call_forwarder<Codec>::placementTimeout() const
{
    // Once a stream has started, giving up early has no benefit: its caller would get a truncated stream.
    if (m_responseStarted || m_origin)
        return maxToleratedPause(m_route->latencyTarget, m_route->gapTarget) / forwarding_detail::resumeTimeoutDivisor;
    auto startBy = m_receivedAt + m_route->latencyTarget * forwarding_detail::placementTimeoutTenths / 10;
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(startBy - m_shared.clock.now()));
}

template <call_codec Codec>
wire::engine_plan_request call_forwarder<Codec>::makePlanRequest(std::uint64_t callId, milliseconds timeout)
{
    wire::engine_plan_request planRequest;
    planRequest.set_patience_ms(saturatingCast<std::uint32_t>(timeout.count()));
    planRequest.set_target_left_ms(saturatingCast<std::uint32_t>(std::max(milliseconds(0), m_route->latencyTarget - age()).count()));
    planRequest.set_deadline_left_ms(saturatingCast<std::uint32_t>(timeLeft().count()));
    // A completed prefill may wait for a decode engine for its handle's lifetime; refusing the call would waste it.
    planRequest.set_begun(m_responseStarted || m_prefill || m_origin);
    planRequest.set_software_version(requiredVersion());
    planRequest.set_call_id(callId);
    planRequest.set_service(m_service->name);
    planRequest.set_data_centre(m_shared.endpoints.dataCentre());
    planRequest.set_prompt_tokens(m_metadata.tokens ? m_metadata.tokens->prompt : 0);
    planRequest.set_output_tokens(estimateOutputTokens());
    planRequest.set_slot(!m_service->engine);
    if (m_service->engine)
        planRequest.set_memory_tokens(m_service->engine->memoryTokens);
    planRequest.set_priority(callPriority(*m_route, m_organisation));
    if (m_organisation)
        planRequest.set_organisation(m_organisation->name);
    planRequest.set_fingerprint(fingerprint());
    for (const auto& id : m_shared.endpoints.unhealthyEndpoints(m_service->name))
        planRequest.add_avoid(id);
    for (const auto& id : m_triedEndpoints)
        planRequest.add_exclude(id);
    for (const auto& id : m_shared.endpoints.unwillingEndpoints())
        planRequest.add_exclude(id);
    return planRequest;
}

template <call_codec Codec>
task_of<std::optional<wire::engine_plan_reply>> call_forwarder<Codec>::requestPlan()
{
    auto planRequest = makePlanRequest(m_attempt.callId, placementTimeout());
    describeStream(planRequest);
    auto plan = co_await awaitPlan(std::move(planRequest));
    co_return plan;
}

template <call_codec Codec>
task_of<std::optional<wire::engine_plan_reply>> call_forwarder<Codec>::awaitPlan(wire::engine_plan_request request)
{
    pending_reply<std::optional<wire::engine_plan_reply>> reply(m_shared.context.get_executor());
    m_shared.link.requestPlan(std::move(request), reply.completer());
    auto plan = co_await reply.wait(timeLeft());
    if (!plan)
        co_return std::nullopt;
    co_return *plan;
}

template <call_codec Codec>
std::optional<typename call_forwarder<Codec>::model_placement> call_forwarder<Codec>::placementFromPlan(const wire::engine_plan_reply& plan, std::uint64_t callId) const
{
    auto decode = m_shared.endpoints.find(plan.decode());
    if (!decode || !mayUse(*decode))
        return std::nullopt;
    return model_placement { *decode, m_shared.endpoints.find(plan.prefill()), true, callId };
}

template <call_codec Codec>
task_of<std::optional<typename call_forwarder<Codec>::model_placement>> call_forwarder<Codec>::awaitPlacement()
{
    // The leader places nothing at endpoints that leave.
    std::optional<wire::engine_plan_reply> plan;
    if (!onlyLeavingCanContinue())
        plan = co_await requestPlan();
    m_enginesFull = plan && plan->full();
    if (m_enginesFull) {
        m_retryAfter = milliseconds(plan->retry_after_ms());
        co_return std::nullopt;
    }
    auto planned = plan ? placementFromPlan(*plan, m_attempt.callId) : std::nullopt;
    m_leaderVersion.reset();
    if (planned) {
        m_leaderVersion = plan->software_version();
        co_return planned;
    }
    // Without a leader, or if the plan names an endpoint that this entry doesn't know yet, the entry selects itself.
    auto waitDeadline = m_shared.clock.now() + (m_origin ? placementTimeout() : m_route->latencyTarget * forwarding_detail::unplannedTimeoutTenths / 10);
    while (!isAborted()) {
        auto decode = m_shared.endpoints.select(makeAttemptQuery());
        if (decode && canPrefillSoon(*decode))
            co_return model_placement { *decode, std::nullopt, false, m_attempt.callId };
        if (m_shared.clock.now() >= waitDeadline)
            break;
        // Endpoints tried before may be available again: their queues drain while this call waits.
        m_triedEndpoints.clear();
        co_await pauseBeforePoll();
    }
    co_return std::nullopt;
}

template <call_codec Codec>
task_of<void> call_forwarder<Codec>::pauseBeforePoll()
{
    boost::asio::steady_timer timer(m_shared.context, forwarding_detail::capacityPollInterval);
    co_await timer.async_wait(forwarding_detail::asTuple);
}

template <call_codec Codec>
task_of<attempt_outcome> call_forwarder<Codec>::attemptModelCall(const model_placement& placement)
{
    co_await ensurePrefill(placement);
    if (isAborted())
        co_return attempt_outcome::NotSent;
    auto options = makeAttemptOptions(placement.decode);
    // A handle can be used once: a move of the stream while it runs needs another one.
    auto sentPrefill = std::exchange(m_prefill, std::nullopt);
    if (sentPrefill) {
        options.prefillAddress = sentPrefill->endpoint.address;
        options.prefillHandle = sentPrefill->handle;
        m_attempt.prefilledAt = sentPrefill->completedAt;
    }
    auto outcome = co_await sendAttempt(placement.decode, std::move(options));
    // It is still valid only if the decode endpoint was not reached or did not run the call.
    if (hasCertainlyNotRun(outcome) && sentPrefill)
        m_prefill = std::move(sentPrefill);
    co_return outcome;
}

template <call_codec Codec>
std::optional<selected_endpoint> call_forwarder<Codec>::selectPrefillEndpoint(const model_placement& placement, const std::set<std::string>& tried)
{
    if (placement.plannedByLeader && tried.empty())
        return placement.prefill;
    auto query = makeQuery();
    query.stage = wire::STAGE_PREFILL;
    query.requestCapacity = forwarding_detail::prefillRequestCapacity;
    query.maxRequests = forwarding_detail::maxUnplannedPrompts;
    query.exclude = tried;
    query.preferredDataCentre = placement.decode.dataCentre;
    return m_shared.endpoints.select(query);
}

template <call_codec Codec>
bool call_forwarder<Codec>::canPrefillSoon(const selected_endpoint& decode)
{
    bool hasPrefillEndpoints = m_shared.endpoints.hasServing(m_service->name, wire::STAGE_PREFILL);
    return m_prefill || !hasPrefillEndpoints || selectPrefillEndpoint({ decode, std::nullopt, false, 0 }, {});
}

template <call_codec Codec>
task_of<void> call_forwarder<Codec>::ensurePrefill(const model_placement& placement)
{
    auto lifetime = m_service->engine->handleLifetime * forwarding_detail::handleReuseTenths / 10;
    if (m_prefill && m_shared.clock.now() - m_prefill->completedAt < lifetime)
        co_return;
    releasePrefill();
    std::set<std::string> tried;
    for (unsigned i = 0; i < forwarding_detail::maxPrefillAttempts && !isAborted(); ++i) {
        auto endpoint = selectPrefillEndpoint(placement, tried);
        if (!endpoint)
            co_return;
        // A prefill that fails makes the request itself a retry, and without one the call would have to be refused. The decode
        // endpoint processes the prompt then.
        if (m_shared.retryBudget.isSpent(m_service->name) && m_shared.endpoints.mayFail(endpoint->id))
            co_return;
        bool granted = co_await acquireRetries(m_arrivals.grantsToPrefill(), retry_need::Optional);
        if (!granted || isAborted())
            co_return;
        auto now = m_shared.clock.now();
        tried.insert(endpoint->id);
        auto prefill = co_await requestPrefill(*endpoint);
        const auto& handle = prefill.handle;
        if (prefill.sent)
            m_arrivals.recordPrefill(handle.has_value());
        if (handle) {
            m_prefillEndpointId = endpoint->id;
            m_prefill = prefill_result { *endpoint, *handle, m_shared.clock.now() };
            m_attempt.measurements.prefillTokens = m_metadata.tokens ? m_metadata.tokens->prompt : 0;
            m_prefillDuration = std::chrono::duration_cast<milliseconds>(m_prefill->completedAt - now);
            m_attempt.measurements.prefillTime = m_prefillDuration;
            co_return;
        }
        if (!isAborted())
            logEvent("prefill_failed", { { "request", m_metadata.id }, { "endpoint", endpoint->id }, { "age_ms", age().count() } });
    }
}

template <call_codec Codec>
task_of<typename call_forwarder<Codec>::prefill_attempt> call_forwarder<Codec>::requestPrefill(const selected_endpoint& endpoint)
{
    endpoint_reservation reservation(m_shared.endpoints, endpoint.id, 0);
    auto connection = co_await openConnection(endpoint, true);
    if (!connection)
        co_return prefill_attempt {};
    auto options = makeAttemptOptions(endpoint);
    options.stage = attempt_stage::Prefill;
    recordFirstArrival();
    if (stopIfBlocked() || m_shared.endpoints.saidLeaving(endpoint.id)) {
        releaseUnusedConnection(endpoint.id);
        co_return prefill_attempt {};
    }
    m_attempt.sentAt = m_shared.clock.now();
    startSend(options);
    startAttemptTimer(m_route->latencyTarget * forwarding_detail::prefillTimeoutTenths / 10);
    response_metadata response;
    std::string body;
    auto head = co_await readHead(response);
    auto end = body_end::Reset;
    if (head == head_result::Received) {
        recordStatements(endpoint, response);
        end = co_await connection->readRemainingBody(body);
    }
    cancelAttemptTimer();
    m_attempt.connection.reset();
    if (!isCompleteBody(end)) {
        connection->close();
        if (!isAborted())
            recordOutcome(endpoint.id, endpoint_outcome::Unreachable);
        recordBrokenConnection(endpoint, attempt_stage::Prefill);
        co_return prefill_attempt { std::nullopt, true };
    }
    auto status = connection->status();
    m_attempt.connection = connection;
    recordLoad(endpoint, response, m_attempt.prefillStated);
    releaseConnection(endpoint.id, response);
    std::optional<std::string> handle;
    if (status == 200)
        handle = Codec::parsePrefillHandle(body);
    if (status != forwarding_detail::misdirected)
        recordCallLimit(endpoint, response, handle.has_value());
    auto outcome = handle ? endpoint_outcome::Succeeded : response.guaranteedNotRun ? endpoint_outcome::Refused
                                                                                    : endpoint_outcome::Failed;
    recordOutcome(endpoint.id, outcome);
    co_return prefill_attempt { std::move(handle), true };
}

template <call_codec Codec>
void call_forwarder<Codec>::releasePrefill()
{
    auto unused = std::exchange(m_prefill, std::nullopt);
    if (!unused || m_shared.clock.now() - unused->completedAt > m_service->engine->handleLifetime || m_shared.endpoints.isResting(unused->endpoint.id))
        return;
    // The result won't be fetched, so free its memory at the endpoint before it expires.
    auto release = [](forwarding_context& shared, prefill_result prefill) -> task_of<void> {
        std::shared_ptr<endpoint_connection> connection;
        std::function<bool()> neverAborted = [] { return false; };
        // The request has no id.
        std::string requestId;
        bool opened = co_await shared.connector.open(prefill.endpoint, requestId, true, connection, neverAborted);
        if (opened) {
            boost::asio::steady_timer timer(shared.context, forwarding_detail::releaseTimeout);
            timer.async_wait([connection](boost::system::error_code error) {
                if (!error)
                    connection->close();
            });
            connection->startSend(Codec::encodePrefillRelease(prefill.endpoint.address, prefill.handle), expectOwnResponse(), shared.sendWindow, shared.clock);
            co_await connection->readResponseHead();
        }
        if (connection)
            connection->close();
    };
    boost::asio::co_spawn(m_shared.context, release(m_shared, std::move(*unused)), boost::asio::detached);
}

} // namespace pistachiolatch
