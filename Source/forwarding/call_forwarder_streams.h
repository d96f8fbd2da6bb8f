#pragma once
// How a stream of events is passed on, and when it goes on at another endpoint. Included by forward_call.h alone.
#include "forwarding/call_forwarder.h"
#include "forwarding/call_forwarder_models.h"

namespace pistachiolatch {

namespace forwarding_detail {
    /// Pause before another place is looked for again, for a stream that stands still; calls end more often than that.
    constexpr milliseconds seekPause { 150 };
}

template <call_codec Dialect>
void forward_call<Dialect>::noteEvents(std::string_view piece)
{
    constexpr std::string_view eventEnd = "\n\n";
    std::uint64_t count = 0;
    for (auto at = piece.find(eventEnd); at != std::string_view::npos; at = piece.find(eventEnd, at + eventEnd.size()))
        ++count;
    if (count == 0)
        return;
    if (m_generatingSince == time_point {}) {
        m_generatingSince = m_shared.clock.now();
        if (m_prefill)
            m_figures.firstEvent = std::chrono::duration_cast<milliseconds>(m_generatingSince - m_prefill->at);
    }
    m_eventsHere += count;
    m_eventsPassed += count;
    m_shared.roster.noteGenerated(m_callId, m_eventsPassed * m_service->engine->tokensPerEvent);
}

template <call_codec Dialect>
quiet_stream forward_call<Dialect>::quietStream(const std::string& endpointId) const
{
    auto now = m_shared.clock.now();
    auto since = [now](time_point then) { return std::chrono::duration_cast<milliseconds>(now - then); };
    auto quiet = m_quietSince == time_point {} ? milliseconds(0) : since(m_quietSince);
    return { m_route->latencyTarget, m_route->gapTarget, quiet, since(m_shared.roster.heardAt(endpointId)) };
}

template <call_codec Dialect>
void forward_call<Dialect>::watchQuiet(picked_endpoint endpoint, milliseconds delay)
{
    m_attemptTimer.expires_after(delay);
    m_attemptTimer.async_wait([this, attempt = m_attempt, alive = m_alive, endpoint = std::move(endpoint)](boost::system::error_code error) {
        if (error || !*alive || attempt != m_attempt || ended())
            return;
        auto stream = quietStream(endpoint.id);
        auto allowed = quietAllowed(stream);
        if (stream.quiet < allowed)
            watchQuiet(endpoint, allowed - stream.quiet);
        else
            seekOtherPlaces(endpoint);
    });
}

template <call_codec Dialect>
void forward_call<Dialect>::seekOtherPlaces(const picked_endpoint& endpoint)
{
    // The stream stays where it is until a place elsewhere is certain. Cut first, it ended for its caller wherever no
    // other endpoint had room, though its own would have gone on with it.
    auto callId = m_shared.roster.nextCallId();
    auto question = planQuestion(callId, milliseconds(0));
    question.add_exclude(endpoint.id);
    m_shared.link.plan(std::move(question), [this, attempt = m_attempt, since = m_quietSince, alive = m_alive, endpoint, callId](std::optional<wire::engine_plan_reply> plan) {
        // What the leader booked meanwhile is dropped with this entry's next list of running calls.
        if (!*alive || attempt != m_attempt || ended())
            return;
        auto places = since == m_quietSince ? placesElsewhere(plan, endpoint, callId) : std::nullopt;
        if (places && m_shared.budget.tryAgain(m_service->name, m_shared.link.entries(), m_shared.clock.now())) {
            leaveFor(*places, endpoint);
            return;
        }
        if (plan && !plan->full())
            m_shared.link.release({ callId, {}, {} });
        watchQuiet(endpoint, forwarding_detail::seekPause);
    });
}

template <call_codec Dialect>
std::optional<typename forward_call<Dialect>::model_places> forward_call<Dialect>::placesElsewhere(const std::optional<wire::engine_plan_reply>& plan, const picked_endpoint& endpoint, std::uint64_t callId)
{
    if (plan && plan->full())
        return std::nullopt;
    auto planned = plan ? placesOfPlan(*plan, callId) : std::nullopt;
    if (planned)
        return planned;
    auto query = decodeQuery();
    query.exclude.insert(endpoint.id);
    auto decode = m_shared.roster.pick(query);
    if (!decode)
        return std::nullopt;
    return model_places { *decode, std::nullopt, false, callId };
}

template <call_codec Dialect>
void forward_call<Dialect>::leaveFor(const model_places& places, const picked_endpoint& endpoint)
{
    auto stream = quietStream(endpoint.id);
    logEvent("stream_moves", { { "request", m_head.id }, { "from", endpoint.id }, { "to", places.decode.id }, { "quiet_ms", stream.quiet.count() }, { "endpoint_quiet_ms", stream.endpointQuiet.count() }, { "events", m_eventsPassed } });
    m_leftLive = endpointLives(stream);
    m_nextPlaces = places;
    m_attemptExpired = true;
    cutCurrent();
}

template <call_codec Dialect>
void forward_call<Dialect>::noteMoved(const std::string& endpointId)
{
    m_tried.insert(endpointId);
    m_leftLive = false;
    m_shared.counters.countRetry(reason::EndpointFailed);
}

template <call_codec Dialect>
task_of<attempt_end> forward_call<Dialect>::passStream(const picked_endpoint& endpoint, const response_metadata& answer)
{
    disarmAttempt();
    auto connection = m_current;
    if (!m_answerBegun) {
        m_keepAlive = m_keepAlive && !m_shared.draining;
        m_answerBegun = true;
        m_status = connection->status();
        auto head = encodeAnswerHead(m_status, connection->reasonPhrase(), connection->fields(), { std::nullopt, !m_keepAlive });
        bool written = co_await m_caller->write(std::move(head));
        if (!written) {
            m_callerGone = true;
            co_return attempt_end::MayHaveRun;
        }
    }
    if (resumable() && m_mayHaveRunAt < m_route->mostEndpoints)
        watchQuiet(endpoint, quietAllowed(quietStream(endpoint.id)));
    while (true) {
        std::string piece;
        m_quietSince = m_shared.clock.now();
        auto failed = co_await connection->readPiece(piece);
        if (failed != call_failure::None) {
            if (!ended())
                judge(endpoint.id, m_leftLive ? endpoint_verdict::Refused : endpoint_verdict::Lost);
            noteBrokenConnection(endpoint);
            co_return attempt_end::MayHaveRun;
        }
        m_longestPause = std::max(m_longestPause, std::chrono::duration_cast<milliseconds>(m_shared.clock.now() - m_quietSince));
        // While a slow caller holds back the stream, the endpoint is not the one that is quiet.
        m_quietSince = time_point {};
        m_shared.roster.noteHeard(endpoint.id);
        bool last = connection->whole();
        if (resumable()) {
            m_events.feed(piece);
            piece = m_events.takeWhole();
            if (last)
                piece += m_events.rest();
        }
        std::string out = piece.empty() ? std::string() : encodeChunk(piece);
        if (last)
            out += encodeChunk({});
        noteEvents(piece);
        if (!piece.empty() && m_firstPiece < milliseconds(0)) {
            m_firstPiece = age();
            m_shared.counters.observe("first_event_seconds", m_firstPiece);
        }
        bool written = true;
        if (!out.empty())
            written = co_await m_caller->write(std::move(out));
        if (!written) {
            m_callerGone = true;
            co_return attempt_end::MayHaveRun;
        }
        if (last)
            break;
    }
    m_outcome = "answered";
    judge(endpoint.id, endpoint_verdict::Good);
    if (m_head.resumeAfterEventId.empty() && m_service->engine)
        m_shared.outputs.learn(m_route->name, m_eventsPassed * m_service->engine->tokensPerEvent);
    finishConnection(endpoint.id, answer);
    co_return attempt_end::Answered;
}

} // namespace pistachiolatch
