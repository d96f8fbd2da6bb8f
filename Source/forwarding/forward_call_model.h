#pragma once
// The steps of calls to model engines. Included by forward_call.h alone.
#include "forwarding/forward_call.h"
#include "forwarding/forward_call_steps.h"

namespace pistachiolatch {

namespace forwarding_detail {
    /// Prompts that one prefill endpoint works through at once before it counts as full. A prompt takes a tenth of a
    /// second; a longer queue would use up the time in which a first event is as good as it gets.
    constexpr unsigned prefillFullAt = 4;
    /// The part of a handle's lifetime in which it is handed on; the rest covers the way to the other endpoint.
    constexpr int handleTenths = 6;
    /// How long a prefill may take, as a share of the route's target, before another endpoint is asked.
    constexpr int prefillPatienceTenths = 9;
    /// Prefill endpoints that are asked before the decode endpoint is left to read the prompt itself.
    constexpr unsigned mostPrefills = 2;
    /// How often a call looks for a free decode endpoint while all are full.
    constexpr milliseconds capacityPause { 40 };
    /// How long it looks, in times of the route's target. What can't start by then is told when to come back.
    constexpr int capacityPatienceInTargets = 2;
    /// Pauses between events that are borne at a stream that can go on elsewhere.
    constexpr int gapsBorne = 3;
    constexpr milliseconds leastGapBorne { 700 };
}

template <call_dialect Dialect>
task_of<void> forward_call<Dialect>::runModel()
{
    reason why = reason::NoCapacity;
    while (!ended()) {
        endpoint_query query;
        query.service = m_service->name;
        query.stage = m_shared.roster.hasAny(query.service, wire::STAGE_DECODE) ? wire::STAGE_DECODE : wire::STAGE_ANY;
        query.tokens = m_tokens;
        query.memoryTokens = m_service->engine->memoryTokens;
        query.exclude = m_tried;
        auto decode = co_await awaitDecodeEndpoint(query);
        if (!decode)
            break;
        endpoint_booking booking(m_shared.roster, decode->id, m_tokens);
        auto end = co_await serveModelAt(*decode);
        if (end == attempt_end::Answered)
            co_return;
        why = end == attempt_end::RefusedUnrun ? reason::NoCapacity : end == attempt_end::NotSent ? reason::ConnectFailed : reason::EndpointFailed;
        if (ended() || !tryAgainAfter(end, decode->id))
            break;
        m_events.dropRest();
    }
    co_await conclude(why);
}

template <call_dialect Dialect>
task_of<std::optional<picked_endpoint>> forward_call<Dialect>::awaitDecodeEndpoint(endpoint_query query)
{
    auto giveUpAt = m_receivedAt + std::min(m_route->latencyTarget * forwarding_detail::capacityPatienceInTargets, m_route->timeout);
    while (!ended()) {
        if (auto picked = m_shared.roster.pick(query))
            co_return picked;
        if (m_shared.clock.now() >= giveUpAt)
            break;
        // What was tried may serve by now: a full endpoint's queue drains while this call waits.
        query.exclude.clear();
        boost::asio::steady_timer pause(m_shared.context, forwarding_detail::capacityPause);
        co_await pause.async_wait(forwarding_detail::asTuple);
    }
    co_return std::nullopt;
}

template <call_dialect Dialect>
task_of<attempt_end> forward_call<Dialect>::serveModelAt(const picked_endpoint& decode)
{
    co_await ensurePrefill(decode.dataCentre);
    if (ended())
        co_return attempt_end::NotSent;
    auto orders = ordersFor(decode);
    if (m_prefill) {
        orders.kvAddress = m_prefill->endpointAddress;
        orders.kvHandle = m_prefill->handle;
    }
    auto end = co_await sendTo(decode, std::move(orders));
    // A handle serves once. Only where the decode endpoint vouches that nothing ran, or was never reached, is it still there.
    if (end != attempt_end::NotSent && end != attempt_end::RefusedUnrun)
        m_prefill.reset();
    co_return end;
}

template <call_dialect Dialect>
task_of<void> forward_call<Dialect>::ensurePrefill(const std::string& nearTo)
{
    auto lifetime = m_service->engine->handleLifetime * forwarding_detail::handleTenths / 10;
    if (m_prefill && m_shared.clock.now() - m_prefill->at < lifetime)
        co_return;
    releasePrefill();
    std::set<std::string> tried;
    for (unsigned i = 0; i < forwarding_detail::mostPrefills && !ended(); ++i) {
        endpoint_query query;
        query.service = m_service->name;
        query.stage = wire::STAGE_PREFILL;
        query.fullAt = forwarding_detail::prefillFullAt;
        query.exclude = tried;
        query.nearTo = nearTo;
        auto endpoint = m_shared.roster.pick(query);
        if (!endpoint)
            co_return;
        // The first prompt that is read is part of the call; each further one is a repeat.
        bool isRepeat = i > 0 || m_firstPrefillDone;
        if (isRepeat && !m_shared.budget.tryAgain(m_service->name, m_shared.link.entries(), m_shared.clock.now()))
            co_return;
        tried.insert(endpoint->id);
        auto handle = co_await prefillAt(*endpoint);
        if (handle) {
            m_firstPrefillDone = true;
            m_prefill = prefill_result { endpoint->address, endpoint->dataCentre, *handle, m_shared.clock.now() };
            co_return;
        }
        if (!ended())
            logEvent("prefill_failed", { { "request", m_head.id }, { "endpoint", endpoint->id }, { "age_ms", age().count() } });
    }
}

template <call_dialect Dialect>
task_of<std::optional<std::string>> forward_call<Dialect>::prefillAt(const picked_endpoint& endpoint)
{
    endpoint_booking booking(m_shared.roster, endpoint.id, 0);
    auto connection = co_await open(endpoint, true);
    if (!connection)
        co_return std::nullopt;
    auto orders = ordersFor(endpoint);
    orders.part = attempt_part::Prefill;
    connection->beginSend(Dialect::encodeAttempt(m_request, orders));
    armAttempt(m_route->latencyTarget * forwarding_detail::prefillPatienceTenths / 10);
    answer_head answer;
    std::string body;
    auto failed = co_await readOwnHead(answer);
    if (failed == call_failure::None)
        failed = co_await connection->readRest(body, forwarding_detail::mostAnswerBytes);
    disarmAttempt();
    m_current.reset();
    if (failed != call_failure::None) {
        connection->close();
        if (!ended())
            m_shared.roster.judge(endpoint.id, endpoint_verdict::Lost);
        co_return std::nullopt;
    }
    auto status = connection->status();
    if (answer.load)
        m_shared.roster.noteLoad(endpoint.id, *answer.load);
    m_current = connection;
    finishConnection(endpoint.id, answer);
    std::optional<std::string> handle;
    if (status == 200)
        handle = Dialect::decodePrefill(body);
    auto verdict = handle ? endpoint_verdict::Good : answer.refusedUnrun ? endpoint_verdict::Refused : endpoint_verdict::Failed;
    m_shared.roster.judge(endpoint.id, verdict);
    co_return handle;
}

template <call_dialect Dialect>
void forward_call<Dialect>::releasePrefill()
{
    auto unused = std::exchange(m_prefill, std::nullopt);
    if (!unused || m_shared.clock.now() - unused->at > m_service->engine->handleLifetime)
        return;
    // Nobody will fetch it: the endpoint's memory is worth more to other calls than the rest of its lifetime.
    auto connection = std::make_shared<endpoint_connection>(m_shared.context.get_executor());
    auto release = [](std::shared_ptr<endpoint_connection> over, prefill_result what) -> task_of<void> {
        bool connected = co_await over->connect(what.endpointAddress);
        if (connected) {
            over->beginSend(Dialect::encodeRelease(what.endpointAddress, what.handle));
            co_await over->readHead(false);
        }
        over->close();
    };
    boost::asio::co_spawn(m_shared.context, release(connection, std::move(*unused)), boost::asio::detached);
}

template <call_dialect Dialect>
task_of<attempt_end> forward_call<Dialect>::passStream(const picked_endpoint& endpoint, const answer_head& answer)
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
    auto gapBorne = std::max(m_route->gapTarget * forwarding_detail::gapsBorne, forwarding_detail::leastGapBorne);
    while (true) {
        bool mayGoElsewhere = resumable() && m_mayHaveRunAt < m_route->mostEndpoints;
        if (mayGoElsewhere)
            armAttempt(gapBorne);
        std::string piece;
        auto failed = co_await connection->readPiece(piece);
        if (mayGoElsewhere && !m_attemptExpired)
            disarmAttempt();
        if (failed != call_failure::None) {
            if (!ended())
                m_shared.roster.judge(endpoint.id, endpoint_verdict::Lost);
            co_return attempt_end::MayHaveRun;
        }
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
    m_shared.roster.judge(endpoint.id, endpoint_verdict::Good);
    finishConnection(endpoint.id, answer);
    co_return attempt_end::Answered;
}

} // namespace pistachiolatch
