#pragma once
// Reading, validation and forwarding of complete responses. Included only by call_forwarder.h.
#include "forwarding/call_forwarder.h"
#include "forwarding/call_forwarder_common.h"
#include "forwarding/call_forwarder_moves.h"
#include <algorithm>
#include <array>

namespace pistachiolatch {

template <call_codec Codec>
task_of<head_result> call_forwarder<Codec>::readHead(response_metadata& response)
{
    auto connection = m_attempt.connection;
    auto head = co_await connection->readResponseHead();
    if (head == head_result::Interrupted)
        co_return head;
    for (unsigned i = 0; i < connection->skippedResponses(); ++i)
        m_shared.counters.count("stray_answer");
    if (head == head_result::Received)
        response = Codec::parseResponse(connection->fields());
    co_return head;
}

template <call_codec Codec>
task_of<attempt_outcome> call_forwarder<Codec>::receiveResponse(const selected_endpoint& endpoint)
{
    response_metadata response;
    auto head = head_result::Failed;
    auto moved = co_await awaitHead(endpoint, response, head);
    if (moved)
        co_return *moved;
    // The stalled call goes on at its own endpoint, and this connection was closed.
    if (m_source && m_source->isGoingOn())
        co_return attempt_outcome::MayHaveRun;
    if (head != head_result::Received) {
        if (!isAborted()) {
            recordOutcome(endpoint.id, endpoint_outcome::Unreachable);
            // Its idle connections may hang as well.
            m_shared.pool.discard(endpoint.id);
        }
        recordBrokenConnection(endpoint);
        co_return attempt_outcome::MayHaveRun;
    }
    auto status = m_attempt.connection->status();
    recordStatements(endpoint, response);
    recordLoad(endpoint, response, m_attempt.stated);
    // Another endpoint sent a 421, so its limit is that of another.
    if (status != forwarding_detail::misdirected)
        recordCallLimit(endpoint, response, response.sealed && status < 500);
    if (response.guaranteedNotRun || status == forwarding_detail::misdirected) {
        // The refusal stands whether or not its body ends.
        cancelOverlapLimit();
        startAttemptTimer(forwarding_detail::refusalBodyTimeout);
        std::string discarded;
        m_attempt.connection->limitBody(forwarding_detail::maxSmallBodyBytes);
        auto end = co_await m_attempt.connection->readRemainingBody(discarded);
        cancelAttemptTimer();
        recordBodyEnd(end);
        if (isCompleteBody(end))
            releaseConnection(endpoint.id, response);
        // 421 means that another endpoint has taken over the address; the expected one is unreachable until it
        // announces its new address.
        recordOutcome(endpoint.id, status == forwarding_detail::misdirected ? endpoint_outcome::Unreachable : endpoint_outcome::Refused);
        co_return attempt_outcome::RefusedNotRun;
    }
    bool isSuccess = status >= 200 && status < 300;
    bool isVerified = response.sealed && !response.contentEncoded && response.requestId == m_metadata.id;
    // These statuses tell the caller that its call has not run, which only the endpoint's guarantee could prove.
    constexpr std::array notRunStatuses { 408U, 429U, 503U };
    bool impliesNotRun = std::find(notRunStatuses.begin(), notRunStatuses.end(), status) != notRunStatuses.end();
    if ((isSuccess && !isVerified) || impliesNotRun || response.contentEncoded) {
        recordOutcome(endpoint.id, endpoint_outcome::Failed);
        co_return attempt_outcome::MayHaveRun;
    }
    bool isServerError = status >= 500;
    bool canRetryElsewhere = isIdempotent() && (m_source || m_possibleRuns < m_route->maxEndpoints) && !m_responseStarted;
    if (isServerError) {
        cancelOverlapLimit();
        recordOutcome(endpoint.id, endpoint_outcome::Failed);
    }
    if (isServerError && canRetryElsewhere)
        co_return co_await storeFallbackResponse(endpoint, response);
    if (isServerError && m_responseStarted)
        co_return attempt_outcome::MayHaveRun;
    if (m_responseStarted && !isSuccess)
        co_return attempt_outcome::MayHaveRun;
    if (isSuccess && m_route->kind == call_kind::Stream && !m_metadata.withoutBody)
        co_return co_await forwardStream(endpoint, response);
    co_return co_await forwardCompleteResponse(endpoint, response);
}

template <call_codec Codec>
bool call_forwarder<Codec>::mayReadMore(std::size_t bytesRead) const
{
    auto& budget = m_shared.bufferBudget;
    // A short response frees what its request holds, also while requests take turns.
    return bytesRead < buffer_budget::smallHolderBytes ? budget.takesNewCalls() : budget.mayGrow(m_caller->holder(), m_shared.clock.now());
}

template <call_codec Codec>
task_of<typename call_forwarder<Codec>::whole_body> call_forwarder<Codec>::readWholeBody(const selected_endpoint& endpoint, buffer_charge& charge)
{
    auto connection = m_attempt.connection;
    connection->limitBody(forwarding_detail::maxResponseBytes);
    boost::asio::steady_timer timer(m_shared.context);
    whole_body body;
    while (body.end == body_end::Open) {
        while (!mayReadMore(body.bytes.size()) && !isAborted() && !m_attemptExpired) {
            timer.expires_after(forwarding_detail::bufferRetryInterval);
            co_await timer.async_wait(forwarding_detail::asTuple);
        }
        std::string chunk;
        body.end = co_await connection->readBodyChunk(chunk);
        bool isInterrupted = chunk.empty() && body.end == body_end::Open;
        if (isInterrupted) {
            body.moved = co_await moveLateResponse(endpoint);
            if (body.moved)
                co_return body;
            continue;
        }
        if (!m_source)
            m_waitingSince = m_shared.clock.now();
        body.bytes += chunk;
        charge.resize(body.bytes.size(), m_shared.clock.now());
    }
    cancelAttemptTimer();
    recordBodyEnd(body.end);
    co_return body;
}

template <call_codec Codec>
task_of<attempt_outcome> call_forwarder<Codec>::storeFallbackResponse(const selected_endpoint& endpoint, const response_metadata& response)
{
    buffer_charge charge(m_shared.bufferBudget, m_caller->holder());
    auto body = co_await readWholeBody(endpoint, charge);
    if (body.moved)
        co_return *body.moved;
    if (!isCompleteBody(body.end) || !response.sealed)
        co_return attempt_outcome::MayHaveRun;
    // It waits for other endpoints from now on, not for a peer.
    charge.setWait(buffer_budget::wait_for::Turn, m_shared.clock.now());
    m_fallbackCharge = std::move(charge);
    m_fallbackStatus = m_attempt.connection->status();
    // A shutdown may start while the call waits for another endpoint, so this response always closes the connection.
    m_fallbackResponse = encodeResponseHead(m_fallbackStatus, m_attempt.connection->reasonPhrase(), m_attempt.connection->fields(), { body.bytes.size(), true }) + body.bytes;
    releaseConnection(endpoint.id, response);
    co_return attempt_outcome::MayHaveRun;
}

template <call_codec Codec>
task_of<attempt_outcome> call_forwarder<Codec>::forwardCompleteResponse(const selected_endpoint& endpoint, const response_metadata& response)
{
    buffer_charge charge(m_shared.bufferBudget, m_caller->holder());
    auto status = m_attempt.connection->status();
    auto body = co_await readWholeBody(endpoint, charge);
    if (body.moved)
        co_return *body.moved;
    if (!isCompleteBody(body.end)) {
        if (!isAborted())
            recordOutcome(endpoint.id, endpoint_outcome::Failed);
        recordBrokenConnection(endpoint);
        co_return attempt_outcome::MayHaveRun;
    }
    leaveSource(endpoint);
    if (status < 500)
        recordOutcome(endpoint.id, endpoint_outcome::Succeeded);
    // Other answers may come without the request having been run.
    if (status >= 200 && status < 300)
        recordSuccess();
    m_keepAlive = m_keepAlive && !closesConnections();
    auto head = encodeResponseHead(status, m_attempt.connection->reasonPhrase(), m_attempt.connection->fields(), { body.bytes.size(), !m_keepAlive });
    releaseConnection(endpoint.id, response);
    m_responseStarted = true;
    m_status = status;
    m_outcome = "answered";
    // Put before the body, of which there must not be a second copy while a slow caller reads.
    body.bytes.insert(0, head);
    charge.clear();
    bool written = co_await m_caller->write(std::move(body.bytes));
    m_callerGone = m_callerGone || !written;
    co_return attempt_outcome::Completed;
}

template <call_codec Codec>
void call_forwarder<Codec>::releaseUnusedConnection(const std::string& endpointId)
{
    // The endpoint's timeout is unknown here. Without one the pool keeps the connection for a short time.
    m_shared.pool.release(endpointId, std::exchange(m_attempt.connection, nullptr), std::nullopt);
}

template <call_codec Codec>
void call_forwarder<Codec>::releaseConnection(const std::string& endpointId, const response_metadata& response)
{
    auto connection = std::exchange(m_attempt.connection, nullptr);
    if (connection->isReusable())
        m_shared.pool.release(endpointId, std::move(connection), response.keepAlive);
    else
        connection->close();
}

} // namespace pistachiolatch
