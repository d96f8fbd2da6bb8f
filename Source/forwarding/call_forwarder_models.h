#pragma once
// The steps of calls to model engines. Included by forward_call.h alone.
#include "forwarding/call_forwarder.h"
#include "forwarding/call_forwarder_common.h"

namespace pistachiolatch {

namespace forwarding_detail {
    /// Prompts that one prefill endpoint works through at once before it counts as full. A prompt takes a tenth of a
    /// second; a longer queue would use up the time in which a first event is as good as it gets.
    constexpr unsigned prefillFullAt = 4;
    /// Prompts that an entry has at one prefill endpoint at once while it chooses by itself. After a restart of all VMs each
    /// entry knows few endpoints at first, and all callers return at once: without the bound, prompts wait at the only
    /// known reader until they are given up.
    constexpr unsigned mostPromptsAlone = 2;
    /// The part of a handle's lifetime in which it is handed on; the rest covers the way to the other endpoint.
    constexpr int handleTenths = 6;
    /// How long a prefill may take, as a share of the route's target, before another endpoint is asked.
    constexpr int prefillPatienceTenths = 9;
    /// Prefill endpoints that are asked before the decode endpoint is left to read the prompt itself.
    constexpr unsigned mostPrefills = 2;
    /// How often a call looks for a free decode endpoint while all are full.
    constexpr milliseconds capacityPause { 40 };
    /// How long a call may wait for memory, as a share of the route's target. What starts later is late anyway and
    /// would take the place of one that is not; it is told when to come back instead.
    constexpr int capacityPatienceTenths = 7;
    /// The same while the entry chooses by itself.
    constexpr int alonePatienceTenths = 5;
    /// How long a stream that has begun may wait for another place, as a part of the pause that callers bear: what is left
    /// covers the reading of the prompt there.
    constexpr int resumePatienceShare = 2;
}

template <call_codec Dialect>
task_of<void> forward_call<Dialect>::runModel()
{
    reason why = reason::NoCapacity;
    while (!ended()) {
        auto places = std::exchange(m_nextPlaces, std::nullopt);
        if (!places) {
            m_callId = m_shared.roster.nextCallId();
            auto waitBegan = m_shared.clock.now();
            places = co_await awaitPlaces();
            m_endpointWait = std::chrono::duration_cast<milliseconds>(m_shared.clock.now() - waitBegan);
        }
        if (!places) {
            m_noRetryReason = no_retry_reason::NoEndpoint;
            break;
        }
        m_callId = places->callId;
        attempt_end end = attempt_end::NotSent;
        m_eventsHere = 0;
        m_generatingSince = {};
        m_shared.roster.beginCall(m_callId, places->decode.id, m_head.tokens ? m_head.tokens->prompt : 0, expectedOutput());
        {
            endpoint_booking booking(m_shared.roster, places->decode.id, m_tokens);
            end = co_await serveModelAt(*places);
        }
        m_shared.roster.endCall(m_callId);
        auto generating = m_generatingSince == time_point {} ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(m_shared.clock.now() - m_generatingSince);
        m_figures.generated = m_eventsHere * m_service->engine->tokensPerEvent;
        m_figures.generating = generating;
        m_shared.link.release({ m_callId, std::exchange(m_figures, {}), std::exchange(m_outcomes, {}) });
        if (end == attempt_end::Answered)
            co_return;
        co_await reportCrash();
        why = end == attempt_end::RefusedUnrun ? reason::NoCapacity : end == attempt_end::NotSent ? reason::ConnectFailed
                                                                                                  : reason::EndpointFailed;
        if (ended())
            break;
        if (m_nextPlaces)
            noteMoved(places->decode.id);
        else if (!tryAgainAfter(end, places->decode.id))
            break;
        m_events.dropRest();
    }
    co_await conclude(why);
}

template <call_codec Dialect>
endpoint_query forward_call<Dialect>::decodeQuery() const
{
    endpoint_query query;
    query.service = m_service->name;
    query.stage = m_shared.roster.hasAny(query.service, wire::STAGE_DECODE) ? wire::STAGE_DECODE : wire::STAGE_ANY;
    query.tokens = m_tokens;
    query.memoryTokens = m_service->engine->memoryTokens;
    query.exclude = m_tried;
    return query;
}

template <call_codec Dialect>
std::uint64_t forward_call<Dialect>::expectedOutput() const
{
    if (!m_head.tokens)
        return 0;
    return m_shared.outputs.expect(m_route->name, m_head.tokens->output, m_head.outputTokensHint);
}

template <call_codec Dialect>
milliseconds forward_call<Dialect>::patienceForPlaces() const
{
    // A caller who has part of a stream gains nothing from a fast refusal: the stream would be broken off.
    if (m_answerBegun)
        return pauseCallersBear(m_route->latencyTarget, m_route->gapTarget) / forwarding_detail::resumePatienceShare;
    auto answerBy = m_receivedAt + m_route->latencyTarget * forwarding_detail::capacityPatienceTenths / 10;
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(answerBy - m_shared.clock.now()));
}

template <call_codec Dialect>
wire::engine_plan_request forward_call<Dialect>::planQuestion(std::uint64_t callId, milliseconds patience) const
{
    wire::engine_plan_request ask;
    ask.set_patience_ms(static_cast<std::uint32_t>(patience.count()));
    ask.set_target_left_ms(static_cast<std::uint32_t>(std::max(milliseconds(0), m_route->latencyTarget - age()).count()));
    // A prompt that is read waits for a decode engine as long as its handle lasts; let go, it was read for nothing.
    ask.set_begun(m_answerBegun || m_prefill);
    ask.set_call_id(callId);
    ask.set_service(m_service->name);
    ask.set_data_centre(m_shared.roster.dataCentre());
    ask.set_prompt_tokens(m_head.tokens ? m_head.tokens->prompt : 0);
    ask.set_output_tokens(expectedOutput());
    ask.set_memory_tokens(m_service->engine->memoryTokens);
    for (const auto& id : m_shared.roster.avoided(m_service->name))
        ask.add_avoid(id);
    for (const auto& id : m_tried)
        ask.add_exclude(id);
    return ask;
}

template <call_codec Dialect>
task_of<std::optional<wire::engine_plan_reply>> forward_call<Dialect>::planByLeader()
{
    pending_reply<std::optional<wire::engine_plan_reply>> reply(m_shared.context.get_executor());
    m_shared.link.plan(planQuestion(m_callId, patienceForPlaces()), reply.completer());
    auto answer = co_await reply.wait(timeLeft());
    if (!answer)
        co_return std::nullopt;
    co_return *answer;
}

template <call_codec Dialect>
std::optional<typename forward_call<Dialect>::model_places> forward_call<Dialect>::placesOfPlan(const wire::engine_plan_reply& plan, std::uint64_t callId) const
{
    auto decode = m_shared.roster.find(plan.decode());
    if (!decode)
        return std::nullopt;
    return model_places { *decode, m_shared.roster.find(plan.prefill()), true, callId };
}

template <call_codec Dialect>
task_of<std::optional<typename forward_call<Dialect>::model_places>> forward_call<Dialect>::awaitPlaces()
{
    auto plan = co_await planByLeader();
    m_enginesFull = plan && plan->full();
    if (m_enginesFull) {
        m_retryAfter = milliseconds(plan->retry_after_ms());
        co_return std::nullopt;
    }
    auto planned = plan ? placesOfPlan(*plan, m_callId) : std::nullopt;
    if (planned)
        co_return planned;
    // Without a leader, or with one that knows an endpoint which this entry doesn't yet, the entry chooses itself.
    auto giveUpAt = m_shared.clock.now() + m_route->latencyTarget * forwarding_detail::alonePatienceTenths / 10;
    while (!ended()) {
        auto decode = m_shared.roster.pick(decodeQuery());
        if (decode && mayBeReadAlone(*decode))
            co_return model_places { *decode, std::nullopt, false, m_callId };
        if (m_shared.clock.now() >= giveUpAt)
            break;
        // What was tried may serve by now: a full endpoint's queue drains while this call waits.
        m_tried.clear();
        boost::asio::steady_timer pause(m_shared.context, forwarding_detail::capacityPause);
        co_await pause.async_wait(forwarding_detail::asTuple);
    }
    co_return std::nullopt;
}

template <call_codec Dialect>
task_of<attempt_end> forward_call<Dialect>::serveModelAt(const model_places& places)
{
    co_await ensurePrefill(places);
    if (ended())
        co_return attempt_end::NotSent;
    auto orders = ordersFor(places.decode);
    if (m_prefill) {
        orders.prefillAddress = m_prefill->endpointAddress;
        orders.prefillHandle = m_prefill->handle;
    }
    auto end = co_await sendTo(places.decode, std::move(orders));
    // A handle serves once. Only where the decode endpoint vouches that nothing ran, or was never reached, is it still there.
    if (end != attempt_end::NotSent && end != attempt_end::RefusedUnrun)
        m_prefill.reset();
    co_return end;
}

template <call_codec Dialect>
std::optional<picked_endpoint> forward_call<Dialect>::pickPrefill(const model_places& places, const std::set<std::string>& tried)
{
    if (places.planned && tried.empty())
        return places.prefill;
    endpoint_query query;
    query.service = m_service->name;
    query.stage = wire::STAGE_PREFILL;
    query.fullAt = forwarding_detail::prefillFullAt;
    query.mostRequests = forwarding_detail::mostPromptsAlone;
    query.exclude = tried;
    query.nearTo = places.decode.dataCentre;
    return m_shared.roster.pick(query);
}

template <call_codec Dialect>
bool forward_call<Dialect>::mayBeReadAlone(const picked_endpoint& decode)
{
    bool hasReaders = m_shared.roster.hasAny(m_service->name, wire::STAGE_PREFILL);
    return m_prefill || !hasReaders || pickPrefill({ decode, std::nullopt, false, 0 }, {});
}

template <call_codec Dialect>
task_of<void> forward_call<Dialect>::ensurePrefill(const model_places& places)
{
    auto lifetime = m_service->engine->handleLifetime * forwarding_detail::handleTenths / 10;
    if (m_prefill && m_shared.clock.now() - m_prefill->at < lifetime)
        co_return;
    releasePrefill();
    std::set<std::string> tried;
    for (unsigned i = 0; i < forwarding_detail::mostPrefills && !ended(); ++i) {
        auto endpoint = pickPrefill(places, tried);
        if (!endpoint)
            co_return;
        bool isRepeat = i > 0 || m_firstPrefillDone;
        auto now = m_shared.clock.now();
        if (!m_shared.budget.mayAskToRead(m_service->name, m_shared.link.entries(), isRepeat, m_shared.roster.failsNow(endpoint->id), now))
            co_return;
        tried.insert(endpoint->id);
        auto prefill = co_await prefillAt(*endpoint);
        const auto& handle = prefill.handle;
        if (!handle && prefill.sent && !isRepeat)
            m_shared.budget.onNotRead(m_service->name, m_shared.clock.now());
        if (handle) {
            m_firstPrefillDone = true;
            m_promptReadAt = endpoint->id;
            m_prefill = prefill_result { endpoint->address, endpoint->dataCentre, *handle, m_shared.clock.now() };
            m_figures.readTokens = m_head.tokens ? m_head.tokens->prompt : 0;
            m_promptReadIn = std::chrono::duration_cast<milliseconds>(m_prefill->at - now);
            m_figures.reading = m_promptReadIn;
            co_return;
        }
        if (!ended())
            logEvent("prefill_failed", { { "request", m_head.id }, { "endpoint", endpoint->id }, { "age_ms", age().count() } });
    }
}

template <call_codec Dialect>
task_of<typename forward_call<Dialect>::prefill_try> forward_call<Dialect>::prefillAt(const picked_endpoint& endpoint)
{
    endpoint_booking booking(m_shared.roster, endpoint.id, 0);
    auto connection = co_await open(endpoint, true);
    if (!connection)
        co_return prefill_try {};
    auto orders = ordersFor(endpoint);
    orders.stage = attempt_stage::Prefill;
    connection->beginSend(Dialect::encodeRequest(m_request, orders));
    armAttempt(m_route->latencyTarget * forwarding_detail::prefillPatienceTenths / 10);
    response_metadata answer;
    std::string body;
    auto failed = co_await readOwnHead(answer);
    if (failed == call_failure::None)
        failed = co_await connection->readRest(body, forwarding_detail::mostAnswerBytes);
    disarmAttempt();
    m_current.reset();
    if (failed != call_failure::None) {
        connection->close();
        if (!ended())
            judge(endpoint.id, endpoint_verdict::Lost);
        noteBrokenConnection(endpoint);
        co_return prefill_try { std::nullopt, true };
    }
    auto status = connection->status();
    if (answer.load)
        m_shared.roster.noteLoad(endpoint.id, *answer.load);
    m_current = connection;
    finishConnection(endpoint.id, answer);
    std::optional<std::string> handle;
    if (status == 200)
        handle = Dialect::parsePrefillHandle(body);
    auto verdict = handle ? endpoint_verdict::Good : answer.guaranteedNotRun ? endpoint_verdict::Refused
                                                                             : endpoint_verdict::Failed;
    judge(endpoint.id, verdict);
    co_return prefill_try { std::move(handle), true };
}

template <call_codec Dialect>
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
            over->beginSend(Dialect::encodePrefillRelease(what.endpointAddress, what.handle));
            co_await over->readHead(false);
        }
        over->close();
    };
    boost::asio::co_spawn(m_shared.context, release(connection, std::move(*unused)), boost::asio::detached);
}

} // namespace pistachiolatch
