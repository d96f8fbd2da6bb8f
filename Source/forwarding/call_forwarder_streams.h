#pragma once
// Forwarding of event streams. Included only by call_forwarder.h.
#include "forwarding/call_forwarder.h"
#include "forwarding/call_forwarder_moves.h"

namespace pistachiolatch {

template <call_codec Codec>
void call_forwarder<Codec>::countEvents(std::uint64_t count)
{
    if (count == 0)
        return;
    if (m_attempt.generationStartedAt == time_point {}) {
        m_attempt.generationStartedAt = m_shared.clock.now();
        if (m_attempt.prefilledAt)
            m_attempt.measurements.firstEventDelay = std::chrono::duration_cast<milliseconds>(m_attempt.generationStartedAt - *m_attempt.prefilledAt);
    }
    m_attempt.events += count;
    m_eventsForwarded += count;
    if (m_service->engine)
        m_shared.endpoints.updateGeneratedTokens(m_attempt.callId, m_eventsForwarded * m_service->engine->tokensPerEvent);
}

template <call_codec Codec>
idle_stream call_forwarder<Codec>::measureIdleTime(const std::string& endpointId) const
{
    auto now = m_shared.clock.now();
    auto since = [now](time_point then) { return std::chrono::duration_cast<milliseconds>(now - then); };
    auto idleTime = m_waitingSince == time_point {} ? milliseconds(0) : since(m_waitingSince);
    return { m_route->latencyTarget, m_route->gapTarget, idleTime, since(m_shared.endpoints.lastActivityAt(endpointId)) };
}

template <call_codec Codec>
task_of<attempt_outcome> call_forwarder<Codec>::forwardStream(const selected_endpoint& endpoint, const response_metadata& response)
{
    cancelAttemptTimer();
    leaveSource(endpoint);
    auto connection = m_attempt.connection;
    m_waitingSince = m_shared.clock.now();
    if (!m_responseStarted) {
        m_keepAlive = m_keepAlive && !closesConnections();
        m_responseStarted = true;
        m_status = connection->status();
        auto head = encodeResponseHead(m_status, connection->reasonPhrase(), connection->fields(), { std::nullopt, !m_keepAlive });
        bool written = co_await m_caller->write(std::move(head));
        if (!written) {
            m_callerGone = true;
            co_return attempt_outcome::MayHaveRun;
        }
    }
    if (mayMove())
        scheduleStallCheck(endpoint, stallTimeout(measureIdleTime(endpoint.id)));
    buffer_charge charge(m_shared.bufferBudget, m_caller->holder(), buffer_budget::wait_for::Turn);
    while (true) {
        std::string chunk;
        if (m_waitingSince == time_point {})
            m_waitingSince = m_shared.clock.now();
        auto end = co_await connection->readBodyChunk(chunk);
        bool isInterrupted = chunk.empty() && end == body_end::Open;
        if (isInterrupted) {
            cancelAttemptTimer();
            // Data may have arrived at the moment of the interruption.
            std::optional<attempt_outcome> moved;
            auto stream = measureIdleTime(endpoint.id);
            if (stream.idleTime >= stallTimeout(stream))
                moved = co_await moveStalledCall(endpoint);
            if (moved)
                co_return *moved;
            if (mayMove())
                scheduleStallCheck(endpoint, forwarding_detail::moveRetryInterval);
            continue;
        }
        if (end != body_end::Open)
            recordBodyEnd(end);
        m_eventSplitter.append(chunk);
        if (end == body_end::Open && m_eventSplitter.remainder().size() > forwarding_detail::maxEventBytes) {
            connection->close();
            end = body_end::Reset;
            recordBodyEnd(end);
        }
        auto events = m_eventSplitter.takeCompleteEvents();
        charge.resize(m_eventSplitter.remainder().size(), m_shared.clock.now());
        bool isLast = isCompleteStream(end, m_eventSplitter.isInsideEvent(), m_attempt.events + events.count > 0);
        // Only complete events of a resumable stream are passed on, because another endpoint resumes it behind them.
        if (isResumable())
            chunk = isLast ? events.bytes.append(m_eventSplitter.remainder()) : events.bytes;
        m_longestPause = std::max(m_longestPause, std::chrono::duration_cast<milliseconds>(m_shared.clock.now() - m_waitingSince));
        // While a slow caller blocks the stream, the endpoint is not stalled.
        m_waitingSince = time_point {};
        if (end != body_end::Reset)
            m_shared.endpoints.recordActivity(endpoint.id);
        std::string out = chunk.empty() ? std::string() : encodeChunk(chunk);
        if (isLast)
            out += encodeChunk({});
        countEvents(events.count);
        if (events.count > 0)
            m_refusals = 0;
        if (isResumable() && !m_origin && events.count > 0)
            m_origin = stream_origin { m_service->name, m_attempt.softwareVersion };
        if (!chunk.empty() && m_firstEventLatency < milliseconds(0)) {
            m_firstEventLatency = age();
            m_shared.counters.observe("first_event_seconds", m_firstEventLatency);
        }
        bool written = true;
        if (!out.empty())
            written = co_await m_caller->write(std::move(out));
        if (!written) {
            m_callerGone = true;
            co_return attempt_outcome::MayHaveRun;
        }
        if (isLast)
            break;
        if (end != body_end::Open) {
            if (!isAborted())
                recordOutcome(endpoint.id, endpoint_outcome::Unreachable);
            recordBrokenConnection(endpoint);
            co_return attempt_outcome::MayHaveRun;
        }
    }
    m_outcome = "answered";
    recordOutcome(endpoint.id, endpoint_outcome::Succeeded);
    m_shared.link.recordPartsSucceeded(m_metadata.promptParts);
    recordSuccess();
    if (m_metadata.resumeAfterEventId.empty() && m_service->engine)
        m_shared.outputEstimator.record(m_route->name, m_eventsForwarded * m_service->engine->tokensPerEvent);
    releaseConnection(endpoint.id, response);
    co_return attempt_outcome::Completed;
}

} // namespace pistachiolatch
