#pragma once
// Attempts at single endpoints, and their retries. Included only by call_forwarder.h.
#include "forwarding/call_forwarder.h"
#include "forwarding/call_forwarder_common.h"

namespace pistachiolatch {

template <call_codec Codec>
void call_forwarder<Codec>::beginAttempt(const model_placement& placement)
{
    m_attempt.callId = placement.callId;
    m_attempt.endpointId = placement.decode.id;
    m_attempt.events = 0;
    m_attempt.generationStartedAt = {};
    m_attempt.prefilledAt.reset();
    // The endpoint before may have stopped in the middle of an event, which the next one sends from its beginning.
    if (!m_source)
        m_eventSplitter.discardRemainder();
    m_attempt.reservation = std::make_shared<endpoint_reservation>(m_shared.endpoints, placement.decode.id, m_service->engine ? m_tokens : 0);
    if (m_attempt.callId == 0)
        return;
    auto promptTokens = m_service->engine && m_metadata.tokens ? m_metadata.tokens->prompt : 0;
    m_shared.endpoints.addRunningCall(m_attempt.callId, placement.decode.id, promptTokens, m_service->engine ? estimateOutputTokens() : 0);
}

template <call_codec Codec>
void call_forwarder<Codec>::finishAttempt()
{
    m_attempt.reservation.reset();
    m_shared.endpoints.removeRunningCall(m_attempt.callId);
    auto measurements = std::exchange(m_attempt.measurements, {});
    if (m_service->engine) {
        auto generating = m_attempt.generationStartedAt == time_point {} ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(m_shared.clock.now() - m_attempt.generationStartedAt);
        measurements.generatedTokens = m_attempt.events * m_service->engine->tokensPerEvent;
        measurements.generationTime = generating;
    }
    auto outcomes = std::exchange(m_attempt.outcomes, {});
    auto stated = std::exchange(m_attempt.stated, {});
    auto prefillStated = std::exchange(m_attempt.prefillStated, {});
    if (auto callId = std::exchange(m_attempt.callId, 0); callId != 0)
        m_shared.link.reportFinished({ callId, std::move(measurements), std::move(outcomes), std::move(stated), std::move(prefillStated) });
}

template <call_codec Codec>
task_of<attempt_outcome> call_forwarder<Codec>::runAttempt(const model_placement& placement)
{
    beginAttempt(placement);
    auto outcome = attempt_outcome::NotSent;
    if (m_service->engine) {
        outcome = co_await attemptModelCall(placement);
    } else {
        auto options = makeAttemptOptions(placement.decode);
        outcome = co_await sendAttempt(placement.decode, std::move(options));
    }
    finishAttempt();
    co_return outcome;
}

template <call_codec Codec>
task_of<std::optional<selected_endpoint>> call_forwarder<Codec>::awaitSlot()
{
    m_attempt.callId = 0;
    m_enginesFull = false;
    if (!m_service->engine && m_shared.link.isQueued(m_service->name) && !onlyLeavingCanContinue()) {
        m_attempt.callId = m_shared.endpoints.nextCallId();
        auto plan = co_await requestPlan();
        m_enginesFull = plan && plan->full();
        if (m_enginesFull) {
            m_retryAfter = milliseconds(plan->retry_after_ms());
            co_return std::nullopt;
        }
        auto planned = plan ? m_shared.endpoints.find(plan->decode()) : std::nullopt;
        if (planned && mayUse(*planned)) {
            m_leaderVersion = plan->software_version();
            co_return planned;
        }
        if (plan)
            finishAttempt();
        m_attempt.callId = 0;
    }
    m_leaderVersion.reset();
    co_return m_shared.endpoints.select(makeAttemptQuery());
}

template <call_codec Codec>
task_of<bool> call_forwarder<Codec>::acquireRetries(unsigned needed, retry_need need)
{
    while (m_arrivals.grants(m_shared.clock.now()) < needed) {
        pending_reply<bool> reply(m_shared.context.get_executor());
        m_shared.retryBudget.acquire(m_service->name, need, reply.completer());
        auto granted = co_await reply.wait(timeLeft());
        if (!granted.value_or(false))
            co_return false;
        m_arrivals.recordGrant(m_shared.clock.now());
    }
    co_return true;
}

template <call_codec Codec>
void call_forwarder<Codec>::recordFirstArrival()
{
    if (!std::exchange(m_firstArrivalRecorded, true))
        m_shared.retryBudget.recordFirstAttempt(m_service->name);
}

template <call_codec Codec>
task_of<bool> call_forwarder<Codec>::prepareRetry(attempt_outcome outcome, const std::string& endpointId)
{
    // Few endpoints may have the version that began a stream; one that was full or silent may take it while the stream waits.
    bool mayAskAgain = m_origin && hasCertainlyNotRun(outcome) && ++m_refusals <= forwarding_detail::maxRefusalsToContinue;
    if (!mayAskAgain)
        m_triedEndpoints.insert(endpointId);
    m_noRetryReason = determineNoRetryReason({ outcome, m_route->kind, m_route->resumable, m_possibleRuns, m_route->maxEndpoints, timeLeft() });
    if (m_crashes >= crash_tracker::crashesToBlock || stopIfBlocked())
        m_noRetryReason = no_retry_reason::Poison;
    if (m_noRetryReason == no_retry_reason::None) {
        bool granted = co_await acquireRetries(m_arrivals.grantsToSend(), retry_need::Required);
        if (!granted)
            m_noRetryReason = no_retry_reason::RetryBudgetSpent;
    }
    bool allowed = m_noRetryReason == no_retry_reason::None && !isAborted();
    auto cause = outcome == attempt_outcome::NotSent ? reason::ConnectFailed : outcome == attempt_outcome::RefusedNotRun ? reason::EndpointRefused
                                                                                                                         : reason::EndpointFailed;
    if (allowed)
        m_shared.counters.countRetry(cause);
    logEvent("attempt_failed", { { "request", m_metadata.id }, { "endpoint", endpointId }, { "why", reasonName(cause) }, { "stalled", outcome == attempt_outcome::Stalled ? 1 : 0 }, { "may_have_run_at", m_possibleRuns }, { "body_end", bodyEndName(m_attempt.bodyEnd) }, { "again", allowed ? 1 : 0 }, { "no_retry_reason", noRetryReasonName(m_noRetryReason) }, { "arrivals", m_arrivals.count() }, { "age_ms", age().count() } });
    co_return allowed;
}

template <call_codec Codec>
task_of<attempt_outcome> call_forwarder<Codec>::sendAttempt(const selected_endpoint& endpoint, attempt_options options)
{
    if (!mayUse(endpoint))
        co_return attempt_outcome::NotSent;
    bool granted = co_await acquireRetries(m_arrivals.grantsToSend(), retry_need::Required);
    if (!granted || isAborted())
        co_return isAborted() ? attempt_outcome::Stalled : attempt_outcome::NotSent;
    bool opened = co_await openVerifiedConnection(endpoint);
    if (opened && (m_shared.endpoints.isResting(endpoint.id) || (!m_origin && m_shared.endpoints.saidLeaving(endpoint.id)))) {
        releaseUnusedConnection(endpoint.id);
        opened = false;
    }
    // An endpoint must get nothing that it may not end before it is gone.
    if (opened && m_origin && m_shared.endpoints.isLeavingLongerThan(endpoint.id, maxLeavingTimeToSend())) {
        releaseUnusedConnection(endpoint.id);
        opened = false;
    }
    if (!opened)
        co_return isAborted() ? attempt_outcome::Stalled : attempt_outcome::NotSent;
    if (stopIfBlocked()) {
        releaseUnusedConnection(endpoint.id);
        co_return attempt_outcome::NotSent;
    }
    recordPlacement();
    auto connection = m_attempt.connection;
    recordFirstArrival();
    m_arrivals.recordSent();
    ++m_sendCount;
    ++m_possibleRuns;
    m_attemptExpired = false;
    m_attempt.bodyEnd = body_end::Open;
    m_endpointIds += (m_endpointIds.empty() ? "" : ",") + endpoint.id;
    options.timeLeft = timeLeft();
    m_attempt.sentAt = m_shared.clock.now();
    m_attempt.begunAt = m_attempt.prefilledAt ? *m_attempt.prefilledAt - m_prefillDuration : m_attempt.sentAt;
    if (!m_source)
        m_waitingSince = m_attempt.sentAt;
    startSend(options);
    limitOverlap(endpoint);
    scheduleResponseCheck(responseTimeout());
    auto outcome = co_await receiveResponse(endpoint);
    bool expired = m_attemptExpired;
    cancelAttemptTimer();
    if (outcome != attempt_outcome::Completed && m_attempt.connection) {
        if (!m_attempt.connection->isReusable())
            m_attempt.connection->close();
        m_attempt.connection.reset();
    }
    if (outcome == attempt_outcome::RefusedNotRun)
        --m_possibleRuns;
    if (isAborted())
        co_return outcome == attempt_outcome::RefusedNotRun ? outcome : attempt_outcome::Stalled;
    if (outcome == attempt_outcome::MayHaveRun && expired)
        co_return attempt_outcome::Stalled;
    co_return outcome;
}

} // namespace pistachiolatch
