#pragma once
// Moves of stalled calls to other endpoints. Included only by call_forwarder.h.
#include "forwarding/call_forwarder.h"
#include "forwarding/call_forwarder_models.h"

namespace pistachiolatch {

namespace forwarding_detail {
    /// Interval between attempts to move a stalled call. Calls complete, and free capacity, more often than this.
    constexpr milliseconds moveRetryInterval { 150 };
    /// How long two endpoints may hold a call. One that refuses does so within a round trip; one that takes longer has accepted.
    constexpr milliseconds maxOverlap { 300 };
    /// How long an endpoint may take for a response that others could give, as a multiple of the route's latency target.
    constexpr int responseTimeoutTargets = 4;
    constexpr milliseconds minResponseTimeout { 300 };
    /// Time to send a response that was kept as the last resort.
    constexpr milliseconds fallbackTime { 250 };
}

template <call_codec Codec>
bool call_forwarder<Codec>::mayMove() const
{
    return mayAskOthers() && m_refusals <= forwarding_detail::maxRefusalsToContinue;
}

template <call_codec Codec>
bool call_forwarder<Codec>::mayAskOthers() const
{
    return isIdempotent() && m_possibleRuns < m_route->maxEndpoints && !(m_origin && m_origin->softwareVersion.empty());
}

template <call_codec Codec>
void call_forwarder<Codec>::scheduleStallCheck(const selected_endpoint& endpoint, milliseconds delay)
{
    m_attemptTimer.expires_after(delay);
    m_attemptTimer.async_wait([this, attempt = m_attemptNumber, alive = m_alive, endpoint](boost::system::error_code error) {
        if (error || !*alive || attempt != m_attemptNumber || isAborted())
            return;
        auto stream = measureIdleTime(endpoint.id);
        auto allowed = stallTimeout(stream);
        if (stream.idleTime < allowed) {
            scheduleStallCheck(endpoint, allowed - stream.idleTime);
            return;
        }
        m_attempt.connection->interruptRead();
        // A read that had just completed is not interrupted.
        scheduleStallCheck(endpoint, forwarding_detail::moveRetryInterval);
    });
}

template <call_codec Codec>
milliseconds call_forwarder<Codec>::responseTimeout() const
{
    return std::max(m_route->latencyTarget * forwarding_detail::responseTimeoutTargets, forwarding_detail::minResponseTimeout);
}

template <call_codec Codec>
milliseconds call_forwarder<Codec>::timeUntilLate() const
{
    auto now = m_shared.clock.now();
    // A body that goes on arriving isn't late, and neither is an answer to a request that the endpoint goes on reading.
    auto lateAt = m_waitingSince + responseTimeout();
    if (!m_attempt.connection->isRequestSent())
        lateAt = std::max(lateAt, m_attempt.connection->lastSendProgress() + maxToleratedPause(m_route->latencyTarget, m_route->gapTarget));
    return std::chrono::ceil<milliseconds>(lateAt - now);
}

template <call_codec Codec>
void call_forwarder<Codec>::scheduleResponseCheck(milliseconds delay)
{
    bool hasFallback = !m_fallbackResponse.empty();
    if (!mayAskOthers() && !hasFallback)
        return;
    // A response that is kept as the last resort must reach the caller before its deadline.
    auto fallbackIn = std::max(milliseconds(0), timeLeft() - forwarding_detail::fallbackTime);
    m_attemptTimer.expires_after(hasFallback ? std::min(delay, fallbackIn) : delay);
    m_attemptTimer.async_wait([this, attempt = m_attemptNumber, alive = m_alive](boost::system::error_code error) {
        if (error || !*alive || attempt != m_attemptNumber || isAborted() || !m_attempt.connection)
            return;
        auto remaining = timeUntilLate();
        // The endpoint that was asked gives way to a third one if it doesn't read the request. The first one goes on with the call.
        bool isUnread = remaining <= milliseconds(0) && !m_attempt.connection->isRequestSent() && m_source && !m_source->attempt.connection->isClosed();
        bool needsFallback = !m_fallbackResponse.empty() && timeLeft() <= forwarding_detail::fallbackTime;
        if (isUnread || needsFallback) {
            m_attemptExpired = true;
            closeAttemptConnection();
            return;
        }
        if (remaining > milliseconds(0)) {
            scheduleResponseCheck(remaining);
            return;
        }
        // While a request isn't sent, each of its endpoints needs a copy.
        bool hasRoom = m_attempt.connection->isRequestSent() || m_shared.bufferBudget.hasRoom(m_request.body().size());
        if (!m_source && mayAskOthers() && hasRoom)
            m_attempt.connection->interruptRead();
        scheduleResponseCheck(forwarding_detail::moveRetryInterval);
    });
}

template <call_codec Codec>
task_of<std::optional<attempt_outcome>> call_forwarder<Codec>::moveLateResponse(const selected_endpoint& endpoint)
{
    cancelAttemptTimer();
    auto moved = co_await moveStalledCall(endpoint);
    if (!moved)
        scheduleResponseCheck(forwarding_detail::moveRetryInterval * std::min(++m_lateMoves, forwarding_detail::maxRefusalsToContinue));
    co_return moved;
}

template <call_codec Codec>
task_of<std::optional<attempt_outcome>> call_forwarder<Codec>::awaitHead(const selected_endpoint& endpoint, response_metadata& response, head_result& head)
{
    head = co_await readHead(response);
    while (head == head_result::Interrupted) {
        auto moved = co_await moveLateResponse(endpoint);
        if (moved)
            co_return moved;
        head = co_await readHead(response);
    }
    co_return std::nullopt;
}

template <call_codec Codec>
task_of<std::optional<attempt_outcome>> call_forwarder<Codec>::moveStalledCall(const selected_endpoint& endpoint)
{
    stalled_source source { endpoint, std::exchange(m_attempt, {}) };
    auto connection = source.attempt.connection;
    auto placementsBefore = m_placements;
    m_source = &source;
    auto runsBefore = m_possibleRuns;
    connection->watchReadable([this, &source] {
        source.resumed = true;
        closeAttemptConnection();
    });
    auto outcome = attempt_outcome::NotSent;
    auto next = co_await selectAlternative(endpoint);
    if (next) {
        bool mayStart = co_await isResponding(next->decode);
        if (mayStart)
            mayStart = co_await acquireRetries(m_arrivals.grantsToSend(), retry_need::Required);
        if (mayStart && !isAborted())
            outcome = co_await runAttempt(*next);
        else if (next->callId != 0)
            m_shared.link.reportFinished({ next->callId, {}, std::move(m_attempt.outcomes), {}, {} });
    }
    connection->stopWatching();
    // The first endpoint may have run the call, whatever the other one did.
    if (source.left)
        co_return outcome == attempt_outcome::Completed ? outcome : attempt_outcome::MayHaveRun;
    closeAttemptConnection();
    m_attempt = std::move(source.attempt);
    m_source = nullptr;
    cancelOverlapLimit();
    m_attemptExpired = false;
    cancelAttemptTimer();
    // The endpoint that was asked was recorded as the stream's origin, and may have another version.
    if (!m_origin && m_placements != placementsBefore)
        recordPlacement();
    if (outcome == attempt_outcome::RefusedNotRun)
        ++m_refusals;
    if (next)
        logEvent(m_responseStarted ? "stream_stays" : "call_stays", { { "request", m_metadata.id }, { "at", endpoint.id }, { "asked", next->decode.id }, { "not_sent", outcome == attempt_outcome::NotSent ? 1 : 0 }, { "refused", outcome == attempt_outcome::RefusedNotRun ? 1 : 0 }, { "resumed", source.resumed ? 1 : 0 }, { "no_retry_left", source.kept ? 1 : 0 }, { "quiet_ms", measureIdleTime(endpoint.id).idleTime.count() }, { "events", m_eventsForwarded } });
    if (m_possibleRuns > runsBefore) {
        m_triedEndpoints.insert(next->decode.id);
        if (!source.resumed)
            co_await reportCrash();
    }
    co_return std::nullopt;
}

template <call_codec Codec>
task_of<std::optional<typename call_forwarder<Codec>::model_placement>> call_forwarder<Codec>::selectAlternative(const selected_endpoint& endpoint)
{
    std::optional<wire::engine_plan_reply> plan;
    std::uint64_t callId = 0;
    m_leaderVersion.reset();
    if (m_service->engine || m_shared.link.isQueued(m_service->name)) {
        callId = m_shared.endpoints.nextCallId();
        auto planRequest = makePlanRequest(callId, milliseconds(0));
        planRequest.add_exclude(endpoint.id);
        plan = co_await awaitPlan(std::move(planRequest));
    }
    if (plan && plan->full())
        co_return std::nullopt;
    if (auto planned = plan ? placementFromPlan(*plan, callId) : std::nullopt)
        co_return planned;
    if (plan)
        m_shared.link.reportFinished({ callId, {}, {}, {}, {} });
    auto query = makeAttemptQuery();
    query.exclude.insert(endpoint.id);
    auto selected = m_shared.endpoints.select(query);
    if (!selected)
        co_return std::nullopt;
    // The leader doesn't count calls to services without engines whose endpoints entries choose.
    co_return model_placement { *selected, std::nullopt, false, m_service->engine ? m_shared.endpoints.nextCallId() : 0 };
}

template <call_codec Codec>
task_of<bool> call_forwarder<Codec>::isResponding(const selected_endpoint& endpoint)
{
    // What it sent just after the stream's last event may be from before both fell silent.
    if (isEndpointAlive(measureIdleTime(endpoint.id)))
        co_return true;
    auto connection = co_await openConnection(endpoint, true);
    if (!connection)
        co_return false;
    auto check = co_await checkRun(endpoint);
    bool responds = check == run_check::Expected || check == run_check::Untold;
    if (responds && connection->isReadyForRequest()) {
        releaseUnusedConnection(endpoint.id);
    } else {
        connection->close();
        m_attempt.connection.reset();
    }
    if (!responds && !isAborted())
        recordOutcome(endpoint.id, endpoint_outcome::Unreachable);
    co_return responds;
}

template <call_codec Codec>
void call_forwarder<Codec>::limitOverlap(const selected_endpoint& next)
{
    if (!m_source)
        return;
    m_overlapTimer.expires_after(forwarding_detail::maxOverlap);
    m_overlapTimer.async_wait([this, overlap = ++m_overlapNumber, alive = m_alive, next](boost::system::error_code error) {
        if (error || !*alive || overlap != m_overlapNumber || isAborted())
            return;
        // The next endpoint can't refuse what it hasn't got.
        if (m_attempt.connection && !m_attempt.connection->isRequestSent())
            limitOverlap(next);
        else if (m_responseStarted)
            decideOverlap(next);
        else
            leaveSource(next);
    });
}

template <call_codec Codec>
void call_forwarder<Codec>::cancelOverlapLimit()
{
    ++m_overlapNumber;
    m_overlapTimer.cancel();
}

template <call_codec Codec>
void call_forwarder<Codec>::decideOverlap(const selected_endpoint& next)
{
    if (m_arrivals.grants(m_shared.clock.now()) > 0) {
        leaveSource(next);
        return;
    }
    m_shared.retryBudget.acquire(m_service->name, retry_need::Required, [this, overlap = m_overlapNumber, alive = m_alive, next](bool granted) {
        if (!*alive)
            return;
        if (granted)
            m_arrivals.recordGrant(m_shared.clock.now());
        if (overlap != m_overlapNumber || isAborted())
            return;
        if (granted) {
            leaveSource(next);
            return;
        }
        cancelOverlapLimit();
        m_source->kept = true;
        closeAttemptConnection();
    });
}

template <call_codec Codec>
void call_forwarder<Codec>::leaveSource(const selected_endpoint& next)
{
    if (!m_source)
        return;
    auto& source = *std::exchange(m_source, nullptr);
    auto stream = measureIdleTime(source.endpoint.id);
    bool isAlive = isEndpointAlive(stream);
    logEvent(m_responseStarted ? "stream_moves" : "call_moves", { { "request", m_metadata.id }, { "from", source.endpoint.id }, { "to", next.id }, { "quiet_ms", stream.idleTime.count() }, { "endpoint_quiet_ms", stream.endpointIdleTime.count() }, { "events", m_eventsForwarded } });
    source.left = true;
    cancelOverlapLimit();
    source.attempt.connection->close();
    std::swap(m_attempt, source.attempt);
    // A move away from a live endpoint is not counted as its failure.
    if (isAlive) {
        m_shared.endpoints.recordOutcome(source.endpoint.id, endpoint_outcome::Refused);
    } else {
        recordOutcome(source.endpoint.id, endpoint_outcome::Unreachable);
        // Its idle connections may hang as well.
        m_shared.pool.discard(source.endpoint.id);
    }
    finishAttempt();
    std::swap(m_attempt, source.attempt);
    // The next endpoint sends the event that was cut off from its beginning.
    m_eventSplitter.discardRemainder();
    m_waitingSince = m_attempt.sentAt;
    m_triedEndpoints.insert(source.endpoint.id);
    m_shared.counters.countRetry(reason::EndpointFailed);
}

} // namespace pistachiolatch
