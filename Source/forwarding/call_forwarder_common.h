#pragma once
// Processing common to all calls, and calls to services without engines. Included only by call_forwarder.h.
#include "forwarding/call_forwarder.h"
#include <boost/asio.hpp>
#include <xxhash.h>

namespace pistachiolatch {

namespace forwarding_detail {
    constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    /// Size limit of responses that are buffered before they are forwarded; the same as for callers' requests.
    constexpr std::size_t maxResponseBytes = 16UL * 1024 * 1024;
    /// Status of an endpoint that isn't the expected one.
    constexpr unsigned misdirected = 421;
    /// How often a body that waits for room in the buffer budget is looked at again.
    constexpr milliseconds bufferRetryInterval { 100 };
    /// Size limit of an event of a stream. Incomplete events are buffered.
    constexpr std::size_t maxEventBytes = 1024UL * 1024;
    /// How long the body of a refusal is read, so that its connection can be used again.
    constexpr milliseconds refusalBodyTimeout { 250 };
    /// The wait for tokens of the organisation's limit is bounded by this fraction of the route's latency target.
    constexpr int tokenTimeoutDivisor = 3;
    /// Retry-After if there is no endpoint or configuration; either is usually available within about a second.
    constexpr milliseconds defaultRetryAfter { 700 };
    /// Retry-After for a request suspected of crashing endpoints: endpoints that are still running have reported by then.
    constexpr milliseconds suspicionRetryAfter { 2000 };
    /// Retry-After while all endpoints of a service are evacuated. Operators take such an order back within seconds; none
    /// of them says when.
    constexpr milliseconds evacuatedRetryAfter { 2000 };
    /// Refusals and failed connections after which an endpoint isn't asked again to continue a stream.
    constexpr unsigned maxRefusalsToContinue = 8;
    /// Interval at which calls that wait for the first configuration look for it.
    constexpr milliseconds configurationPollInterval { 20 };
    /// Minimum Retry-After for a caller over its rate limit.
    constexpr milliseconds minRateRetryAfter { 200 };
    /// Returns the cost of a call against the organisation's limit; a call that declares no tokens costs plainTokens.
    inline std::uint64_t tokenCost(const organisation_config& organisation, const request_metadata& metadata)
    {
        if (!organisation.limitsTokens)
            return 1;
        return metadata.tokens ? metadata.tokens->prompt + metadata.tokens->output : organisation.plainTokens;
    }
}

template <call_codec Codec>
call_forwarder<Codec>::call_forwarder(forwarding_context& shared, std::shared_ptr<caller_connection> caller, caller_request request, buffer_charge charge)
    : m_shared(shared)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_requestCharge(std::move(charge))
    , m_metadata(Codec::parseRequest(m_request))
    , m_receivedAt(shared.clock.now())
    , m_deadlineAt(m_receivedAt + m_metadata.deadline.value_or(milliseconds(std::chrono::hours(1))))
    , m_table(shared.link.routeTable())
    , m_deadlineTimer(shared.context)
    , m_attemptTimer(shared.context)
    , m_overlapTimer(shared.context)
{
    m_keepAlive = m_request.keep_alive();
    m_headCharge = m_requestCharge.bytes() - std::min(m_requestCharge.bytes(), 2 * m_request.body().size());
}

template <call_codec Codec>
call_forwarder<Codec>::~call_forwarder()
{
    *m_alive = false;
    m_caller->stopWatching();
    m_deadlineTimer.cancel();
    m_attemptTimer.cancel();
    m_overlapTimer.cancel();
}

template <call_codec Codec>
task_of<bool> call_forwarder<Codec>::run()
{
    co_await awaitFirstConfiguration();
    auto refused = admit();
    if (refused) {
        co_await sendErrorResponse(*refused);
        co_return m_keepAlive;
    }
    startDeadlineTimer();
    auto alive = m_alive;
    m_caller->watchDisconnect([this, alive] {
        if (!*alive)
            return;
        m_callerGone = true;
        closeConnections();
    });
    if (m_route->kind == call_kind::Stream && m_metadata.continuesStream)
        refused = co_await resolveOrigin();
    token_decision decision;
    if (!refused)
        decision = co_await acquireTokens();
    if (refused && !isAborted()) {
        co_await sendErrorResponse(*refused);
    } else if (!decision.granted && !isAborted()) {
        auto cause = decision.overRate ? reason::OverRate : reason::LimitUnreachable;
        error_response error { cause, httpStatus(cause), std::max(decision.retryAfter, forwarding_detail::minRateRetryAfter) };
        co_await sendErrorResponse(error);
    } else if (!isAborted()) {
        const auto& service = m_origin ? m_origin->service : chooseService(*m_route, std::uniform_real_distribution<double>()(m_shared.random));
        m_service = m_table->findService(service);
        bool isModelCall = m_service->engine && m_route->kind == call_kind::Stream;
        auto bytes = bytesToSend(isModelCall);
        m_shared.sendWindow.recordCall(bytes);
        m_bytesToSend = send_commitment(m_shared.sendWindow, bytes);
        if (isModelCall)
            co_await runModelCall();
        else
            co_await runServiceCall();
    } else {
        co_await finishUnanswered(reason::DeadlinePassed);
    }
    releasePrefill();
    returnUnusedTokens(decision);
    logCallEnded();
    // A stream that started before the shutdown announced keep-alive, but the process might stop before it could respond
    // to another request.
    bool keepConnection = m_keepAlive && !m_callerGone && !m_shared.draining && !m_caller->isClosed();
    co_return keepConnection;
}

template <call_codec Codec>
task_of<void> call_forwarder<Codec>::rejectForShutdown()
{
    error_response error { reason::ShuttingDown, httpStatus(reason::ShuttingDown), milliseconds(0) };
    co_await sendErrorResponse(error);
}

template <call_codec Codec>
task_of<void> call_forwarder<Codec>::awaitFirstConfiguration()
{
    if (m_table || m_shared.link.hasCurrentConfiguration())
        co_return;
    auto until = m_receivedAt + m_shared.startupWait.timeFor(m_metadata.deadline, m_receivedAt);
    if (until <= m_receivedAt)
        co_return;
    m_shared.startupWait.recordWaiting();
    boost::asio::steady_timer timer(m_shared.context);
    while (!m_shared.link.hasCurrentConfiguration() && m_shared.clock.now() < until && !m_caller->isClosed()) {
        timer.expires_after(forwarding_detail::configurationPollInterval);
        co_await timer.async_wait(forwarding_detail::asTuple);
    }
    m_shared.startupWait.recordResumed();
    m_table = m_shared.link.routeTable();
    m_shared.counters.count(m_table ? "calls_resumed_after_start" : "calls_refused_after_start");
    m_shared.counters.observe("start_wait_seconds", m_shared.clock.now() - m_receivedAt);
}

template <call_codec Codec>
std::optional<error_response> call_forwarder<Codec>::admit()
{
    auto reject = [](reason cause, std::optional<milliseconds> retryAfter = std::nullopt) { return error_response { cause, httpStatus(cause), retryAfter }; };
    // An entry without a current configuration must not use the old one: a key may have been withdrawn meanwhile.
    if (!m_shared.link.hasCurrentConfiguration())
        return reject(reason::NoConfig, forwarding_detail::defaultRetryAfter);
    auto admission = admitCall(*m_table, m_request, m_metadata);
    m_route = admission.route;
    m_organisation = admission.organisation;
    if (admission.refusal)
        return reject(*admission.refusal);
    if (auto refused = checkPoisonBlock())
        return refused;
    m_deadlineAt = std::min(m_deadlineAt, m_receivedAt + m_route->timeout);
    m_tokens = m_metadata.tokens ? m_metadata.tokens->prompt + m_metadata.tokens->output : 0;
    if (isResumable())
        m_stream = streamKey(m_organisation ? m_organisation->name : std::string(), m_metadata.firstAttemptId.empty() ? m_metadata.id : m_metadata.firstAttemptId);
    return std::nullopt;
}

template <call_codec Codec>
std::optional<error_response> call_forwarder<Codec>::checkPoisonBlock()
{
    auto block = m_shared.link.blockOfParts(m_metadata.promptParts);
    if (block != request_block::Certain && m_shared.link.mayBlockRequests())
        block = std::max(block, m_shared.link.blockOf(fingerprint()));
    switch (block) {
    case request_block::None:
        return std::nullopt;
    case request_block::Suspected:
        return error_response { reason::SuspectedPoison, httpStatus(reason::SuspectedPoison), forwarding_detail::suspicionRetryAfter };
    case request_block::Certain:
        break;
    }
    return error_response { reason::PoisonRequest, httpStatus(reason::PoisonRequest), std::nullopt };
}

template <call_codec Codec>
bool call_forwarder<Codec>::stopIfBlocked()
{
    m_block = checkPoisonBlock();
    if (m_block)
        m_noRetryReason = no_retry_reason::Poison;
    return m_block.has_value();
}

template <call_codec Codec>
std::uint64_t call_forwarder<Codec>::fingerprint()
{
    if (!m_fingerprint) {
        auto toView = [this](boost::beast::string_view text) { return std::string_view(text.data(), text.size()); };
        auto identity = fmt::format("{}\n{}\n{}\n{}\n", m_organisation ? m_organisation->name : std::string(), toView(m_request.method_string()), toView(m_request[boost::beast::http::field::host]), toView(m_request.target()));
        m_fingerprint = XXH3_64bits_withSeed(m_request.body().data(), m_request.body().size(), XXH3_64bits(identity.data(), identity.size()));
    }
    return *m_fingerprint;
}

template <call_codec Codec>
void call_forwarder<Codec>::recordBrokenConnection(const selected_endpoint& endpoint, attempt_stage stage)
{
    // A connection closed by this entry is no evidence of a crash.
    if (isAborted() || m_attemptExpired)
        return;
    m_brokenEndpoint = endpoint;
    m_brokenStage = stage;
}

template <call_codec Codec>
void call_forwarder<Codec>::recordSuccess()
{
    bool isContinued = m_attempt.events != m_eventsForwarded || !m_metadata.resumeAfterEventId.empty();
    // The request may crash the endpoints that process prompts.
    bool lacksPrefill = m_service->engine && !m_attempt.prefilledAt && (m_arrivals.isPrefillSent() || m_shared.endpoints.hasServing(m_service->name, wire::STAGE_PREFILL));
    if (!isContinued && !lacksPrefill)
        m_shared.link.recordRequestSucceeded(fingerprint(), m_attempt.begunAt);
}

template <call_codec Codec>
endpoint_query call_forwarder<Codec>::makeQuery() const
{
    endpoint_query query;
    query.service = m_service->name;
    query.excludeCold = m_service->coldCallsPerSecond > 0;
    query.limits = &m_shared.link.endpointLimits();
    query.entries = m_shared.link.entryCount();
    return query;
}

template <call_codec Codec>
task_of<void> call_forwarder<Codec>::reportCrash()
{
    auto endpoint = std::exchange(m_brokenEndpoint, std::nullopt);
    if (!endpoint || isAborted())
        co_return;
    wire::crash_report report;
    report.set_fingerprint(fingerprint());
    report.set_endpoint(endpoint->id);
    report.set_endpoint_incarnation(endpoint->incarnation);
    report.set_request_id(toPlainIdentifier(m_metadata.id, maxReportedRequestIdBytes));
    report.set_attempt(m_crashReports++);
    // Endpoints crash on a part of a prompt when they begin to write, not when they process it or later in the stream.
    if (m_brokenStage == attempt_stage::Full && m_attempt.events == 0)
        report.mutable_parts()->Assign(m_metadata.promptParts.begin(), m_metadata.promptParts.end());
    pending_reply<std::uint32_t> reply(m_shared.context.get_executor());
    m_shared.link.reportCrash(report, reply.completer());
    auto crashes = co_await reply.wait(timeLeft());
    m_crashes = std::max<std::uint32_t>(crashes.value_or(0), m_crashReports);
}

template <call_codec Codec>
std::size_t call_forwarder<Codec>::bytesToSend(bool isModelCall) const
{
    // A prompt is sent to one endpoint to be processed, and to another that writes the stream.
    return m_request.body().size() * (isModelCall ? 2 : 1);
}

template <call_codec Codec>
void call_forwarder<Codec>::startSend(const attempt_options& options)
{
    m_bytesToSend.spend(m_request.body().size());
    // The connection accounts for the copy from now on.
    m_requestCharge.resize(m_headCharge + m_request.body().size(), m_shared.clock.now());
    m_attempt.connection->recordRequest(m_metadata.id);
    response_expectation expected { Codec::requestIdField, m_metadata.id, m_metadata.withoutBody };
    if (options.stage == attempt_stage::Prefill)
        expected.maxBodyBytes = forwarding_detail::maxSmallBodyBytes;
    m_attempt.connection->startSend(Codec::encodeRequest(m_request, options), std::move(expected), m_shared.sendWindow, m_shared.clock, buffer_charge(m_shared.bufferBudget, m_caller->holder()));
}

template <call_codec Codec>
task_of<token_decision> call_forwarder<Codec>::acquireTokens()
{
    if (!m_organisation || m_organisation->rate == 0)
        co_return token_decision { true, false, milliseconds(0) };
    auto timeout = std::min(m_route->latencyTarget / forwarding_detail::tokenTimeoutDivisor, timeLeft());
    pending_reply<token_decision> reply(m_shared.context.get_executor());
    m_shared.tokenLimiter.acquire(*m_organisation, { forwarding_detail::tokenCost(*m_organisation, m_metadata), m_origin.has_value() }, timeout, reply.completer());
    auto decision = co_await reply.wait(timeLeft());
    co_return decision.value_or(token_decision {});
}

template <call_codec Codec>
void call_forwarder<Codec>::returnUnusedTokens(const token_decision& decision)
{
    bool mayHaveRun = m_possibleRuns > 0 || m_arrivals.isPrefillSent();
    if (decision.granted && !mayHaveRun && m_organisation)
        m_shared.tokenLimiter.giveBack(*m_organisation, forwarding_detail::tokenCost(*m_organisation, m_metadata), decision);
}

template <call_codec Codec>
void call_forwarder<Codec>::startDeadlineTimer()
{
    m_deadlineTimer.expires_after(timeLeft());
    m_deadlineTimer.async_wait([this, alive = m_alive](boost::system::error_code error) {
        if (error || !*alive)
            return;
        m_deadlinePassed = true;
        closeConnections();
    });
}

template <call_codec Codec>
void call_forwarder<Codec>::answerBy(time_point time)
{
    m_shutdownAt = time;
    m_deadlineAt = std::min(m_deadlineAt, time);
    bool isAdmitted = m_route != nullptr;
    if (isAdmitted)
        startDeadlineTimer();
}

template <call_codec Codec>
void call_forwarder<Codec>::startAttemptTimer(milliseconds timeout)
{
    m_attemptExpired = false;
    auto attempt = ++m_attemptNumber;
    m_attemptTimer.expires_after(timeout);
    m_attemptTimer.async_wait([this, attempt, alive = m_alive](boost::system::error_code error) {
        if (error || !*alive || attempt != m_attemptNumber)
            return;
        m_attemptExpired = true;
        closeAttemptConnection();
    });
}

template <call_codec Codec>
void call_forwarder<Codec>::cancelAttemptTimer()
{
    ++m_attemptNumber;
    m_attemptTimer.cancel();
}

template <call_codec Codec>
void call_forwarder<Codec>::closeAttemptConnection()
{
    // Closing the connection cancels the request at the endpoint.
    if (m_attempt.connection)
        m_attempt.connection->close();
}

template <call_codec Codec>
void call_forwarder<Codec>::closeConnections()
{
    closeAttemptConnection();
    if (m_source)
        m_source->attempt.connection->close();
}

template <call_codec Codec>
attempt_options call_forwarder<Codec>::makeAttemptOptions(const selected_endpoint& endpoint) const
{
    attempt_options options;
    options.endpointId = endpoint.id;
    options.timeLeft = timeLeft();
    options.organisation = m_organisation ? m_organisation->name : std::string();
    options.resumeAfterEventId = m_eventSplitter.lastEventId().empty() ? m_metadata.resumeAfterEventId : m_eventSplitter.lastEventId();
    return options;
}

template <call_codec Codec>
task_of<std::shared_ptr<endpoint_connection>> call_forwarder<Codec>::openConnection(const selected_endpoint& endpoint, bool idempotent)
{
    if (m_shared.endpoints.isResting(endpoint.id))
        co_return nullptr;
    std::function<bool()> aborted = [this] { return isAborted(); };
    bool opened = co_await m_shared.connector.open(endpoint, m_metadata.id, idempotent, m_attempt.connection, aborted);
    if (!opened) {
        closeAttemptConnection();
        m_attempt.connection.reset();
        if (!isAborted())
            recordOutcome(endpoint.id, endpoint_outcome::Unreachable);
        co_return nullptr;
    }
    m_attempt.relayedBy = m_attempt.connection->relayAddress();
    // The data centre may have been evacuated after the endpoint was chosen, such as while the prompt was processed, or the
    // endpoint may have asked for rest.
    if (m_shared.endpoints.isEvacuated(endpoint.id) || m_shared.endpoints.isResting(endpoint.id)) {
        releaseUnusedConnection(endpoint.id);
        co_return nullptr;
    }
    co_return m_attempt.connection;
}

template <call_codec Codec>
bool call_forwarder<Codec>::stopIfEvacuated(reason& cause)
{
    if (!m_shared.endpoints.isServiceEvacuated(m_service->name))
        return false;
    cause = reason::Evacuated;
    m_noRetryReason = no_retry_reason::NoEndpoint;
    return true;
}

template <call_codec Codec>
task_of<void> call_forwarder<Codec>::runServiceCall()
{
    reason cause = reason::NoEndpoint;
    while (!isAborted()) {
        if (stopIfEvacuated(cause) || stopIfVersionGone(cause) || stopIfResting(cause))
            break;
        auto waitStartedAt = m_shared.clock.now();
        auto endpoint = co_await awaitSlot();
        m_endpointWait += std::chrono::duration_cast<milliseconds>(m_shared.clock.now() - waitStartedAt);
        if (!endpoint) {
            cause = m_enginesFull ? reason::NoCapacity : cause;
            m_noRetryReason = no_retry_reason::NoEndpoint;
            break;
        }
        // The caller may have left while the call waited for a slot.
        if (isAborted()) {
            finishAttempt();
            break;
        }
        model_placement placement { *endpoint, std::nullopt, false, m_attempt.callId };
        auto outcome = co_await runAttempt(placement);
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
        if (m_origin && outcome == attempt_outcome::NotSent)
            co_await pauseBeforePoll();
    }
    co_await finishUnanswered(cause);
}

template <call_codec Codec>
task_of<void> call_forwarder<Codec>::finishUnanswered(reason failureCause)
{
    if (m_callerGone) {
        m_outcome = reasonName(reason::CallerGone);
        co_return;
    }
    if (m_responseStarted) {
        // Part of the response has been sent; only a closed connection tells the caller that it is truncated.
        m_outcome = endsWithShutdown() ? "cut_at_shutdown" : m_deadlinePassed ? "cut_at_deadline"
                                                                              : "cut_midway";
        logTruncation(cutReason());
        m_keepAlive = false;
        m_caller->close();
        co_return;
    }
    if (!m_fallbackResponse.empty()) {
        m_keepAlive = false;
        m_responseStarted = true;
        m_status = m_fallbackStatus;
        m_outcome = "answered";
        m_fallbackCharge.clear();
        bool written = co_await m_caller->write(std::move(m_fallbackResponse));
        m_callerGone = !written;
        co_return;
    }
    if (m_possibleRuns > 0) {
        auto cause = m_deadlinePassed ? reason::DeadlinePassed : reason::EndpointFailed;
        error_response error { cause, httpStatus(cause), std::nullopt };
        co_await sendErrorResponse(error);
        co_return;
    }
    // Blocked before anything ran.
    if (m_block) {
        co_await sendErrorResponse(*m_block);
        co_return;
    }
    if (m_noRetryReason == no_retry_reason::RetryBudgetSpent)
        failureCause = reason::RetryBudgetSpent;
    auto cause = endsWithShutdown() ? reason::ShuttingDown : m_deadlinePassed ? reason::DeadlineUnreachable
                                                                              : failureCause;
    if (m_ended)
        cause = reason::BuffersFull;
    auto retryAfter = m_retryAfter > milliseconds(0) ? m_retryAfter : forwarding_detail::defaultRetryAfter;
    if (cause == reason::Evacuated)
        retryAfter = forwarding_detail::evacuatedRetryAfter;
    // Other entries are ready.
    if (cause == reason::ShuttingDown)
        retryAfter = milliseconds(0);
    error_response error { cause, httpStatus(cause), retryAfter };
    co_await sendErrorResponse(error);
}

template <call_codec Codec>
std::string_view call_forwarder<Codec>::cutReason() const
{
    if (endsWithShutdown())
        return "shutdown";
    return m_deadlinePassed ? "deadline" : noRetryReasonName(m_noRetryReason);
}

template <call_codec Codec>
task_of<void> call_forwarder<Codec>::sendErrorResponse(error_response error)
{
    m_keepAlive = m_keepAlive && !closesConnections();
    m_shared.counters.countRefusal(error.cause);
    m_status = error.status;
    m_outcome = reasonName(error.cause);
    m_responseStarted = true;
    auto bytes = Codec::encodeErrorResponse(m_metadata, error, !m_keepAlive);
    bool written = co_await m_caller->write(std::move(bytes));
    m_callerGone = m_callerGone || !written;
    if (!m_route)
        logCallEnded();
}

template <call_codec Codec>
void call_forwarder<Codec>::recordOutcome(const std::string& endpointId, endpoint_outcome outcome)
{
    m_shared.endpoints.recordOutcome(endpointId, outcome);
    if (outcome == endpoint_outcome::Succeeded)
        m_attempt.outcomes.succeeded.push_back(endpointId);
    else if (outcome != endpoint_outcome::Refused)
        m_attempt.outcomes.failed.push_back(endpointId);
    else
        m_attempt.outcomes.refused.push_back(endpointId);
}

template <call_codec Codec>
void call_forwarder<Codec>::logTruncation(std::string_view cause) const
{
    auto latestVersion = m_shared.link.routeTable() ? m_shared.link.routeTable()->version() : 0;
    logEvent("answer_cut", { { "request", m_metadata.id }, { "why", cause }, { "route", m_route->name }, { "version", m_table->version() }, { "latest_version", latestVersion }, { "events", m_eventsForwarded }, { "body_end", bodyEndName(m_attempt.bodyEnd) }, { "partial_event_bytes", m_eventSplitter.remainder().size() }, { "may_have_run_at", m_possibleRuns }, { "most_endpoints", m_route->maxEndpoints }, { "resumable", isResumable() ? 1 : 0 }, { "deadline_ms", m_metadata.deadline.value_or(milliseconds(0)).count() }, { "timeout_ms", m_route->timeout.count() }, { "time_left_ms", timeLeft().count() }, { "endpoint_wait_ms", m_endpointWait.count() }, { "engines_full", m_enginesFull ? 1 : 0 }, { "draining", m_shared.draining ? 1 : 0 }, { "age_ms", age().count() } });
}

template <call_codec Codec>
void call_forwarder<Codec>::recordBodyEnd(body_end end)
{
    m_attempt.bodyEnd = end;
    m_shared.counters.count(fmt::format("endpoint_body_end_{}", bodyEndName(end)));
}

template <call_codec Codec>
void call_forwarder<Codec>::end()
{
    m_ended = true;
    // A caller that doesn't read its response holds the write up for as long as the connection is open.
    if (m_responseStarted) {
        m_callerGone = true;
        m_caller->close();
    }
    closeConnections();
}

template <call_codec Codec>
void call_forwarder<Codec>::handleShutdown()
{
    // An error or a complete response that is still being written already has its outcome.
    if (!m_outcome.empty())
        return;
    m_outcome = "cut_at_shutdown";
    if (m_responseStarted)
        logTruncation("shutdown");
    logCallEnded();
}

template <call_codec Codec>
void call_forwarder<Codec>::logCallEnded()
{
    // The coroutine of a call that was cut off at shutdown may resume after its connection is closed.
    if (std::exchange(m_endLogged, true))
        return;
    m_shared.counters.observe("call_seconds", age());
    logEvent("call_ended", { { "request", m_metadata.id }, { "route", m_route ? m_route->name : std::string() }, { "organisation", m_organisation ? m_organisation->name : std::string() }, { "version", m_table ? m_table->version() : 0 }, { "outcome", m_outcome }, { "status", m_status }, { "body_end", bodyEndName(m_attempt.bodyEnd) }, { "endpoints", m_endpointIds }, { "relayed_by", m_attempt.relayedBy }, { "software_version", m_attempt.softwareVersion }, { "first_attempt", m_metadata.firstAttemptId }, { "prompt_read_at", m_prefillEndpointId }, { "prompt_read_ms", m_prefillDuration.count() }, { "sends", m_sendCount }, { "endpoint_wait_ms", m_endpointWait.count() }, { "tokens", m_tokens }, { "first_ms", m_firstEventLatency.count() }, { "pause_ms", m_longestPause.count() }, { "ms", age().count() } });
}

} // namespace pistachiolatch
