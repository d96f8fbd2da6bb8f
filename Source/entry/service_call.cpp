#include "entry/service_call.h"

#include <boost/asio.hpp>

namespace pistachiolatch {

namespace {
    constexpr std::string_view servicesPrefix = "/services/";
    constexpr std::uint32_t mostAttempts = 3;
    constexpr std::size_t largestStoredAnswer = 32UL * 1024;
    constexpr milliseconds ledgerTimeout { 3000 };
    constexpr milliseconds ledgerPoll { 100 };
    constexpr milliseconds comeBack { 1000 };
    constexpr milliseconds detachedAllowance { 10000 };

    std::string ledgerKey(const service_request& request)
    {
        return request.caller.organisation + "\n" + request.service + "\n" + request.idempotencyKey;
    }

    service_result failedWith(reason why, run_state run, milliseconds retryAfter = milliseconds(0))
    {
        service_result result;
        result.error = caller_error { why, run, retryAfter, "" };
        return result;
    }

    http_request callTo(const service_request& request)
    {
        // Built from an allow-list: whatever else the caller sent, its key above all, stays here.
        http_request call;
        call.method = request.method;
        call.target = request.target;
        call.headers = { { "X-Request-Id", request.caller.requestId }, { "X-Organisation", request.caller.organisation } };
        if (!request.contentType.empty())
            call.headers.emplace_back("Content-Type", request.contentType);
        if (!request.accept.empty())
            call.headers.emplace_back("Accept", request.accept);
        if (!request.idempotencyKey.empty())
            call.headers.emplace_back("Idempotency-Key", request.idempotencyKey);
        call.body = request.body;
        return call;
    }
}

task_of<void> service_calls::run(http_exchange& exchange, caller_identity caller)
{
    std::string target(exchange.message().target());
    auto nameEnd = target.find('/', servicesPrefix.size());
    service_request request;
    request.caller = caller;
    request.service = target.substr(servicesPrefix.size(), nameEnd == std::string::npos ? nameEnd : nameEnd - servicesPrefix.size());
    request.target = nameEnd == std::string::npos ? "/" : target.substr(nameEnd);
    request.method = std::string(exchange.method());
    request.contentType = exchange.header("Content-Type");
    request.accept = exchange.header("Accept");
    request.body = exchange.message().body();
    request.idempotencyKey = exchange.header("Idempotency-Key");

    const auto* record = caller.config->service(request.service);
    const auto* organisation = caller.config->organisation(caller.organisation);
    service_result result;
    constexpr std::size_t longestKey = 256;
    if (!record)
        result = failedWith(reason::NotFound, run_state::NotRun);
    else if (!organisation || !organisation->services.count(request.service))
        result = failedWith(reason::ServiceNotAllowed, run_state::NotRun);
    else if (request.idempotencyKey.size() > longestKey)
        result = failedWith(reason::BadRequest, run_state::NotRun);
    else {
        bool idempotent = !record->nonIdempotentMethods.count(request.method);
        if (!idempotent && request.idempotencyKey.empty() && record->keyRequired)
            result = failedWith(reason::IdempotencyKeyRequired, run_state::NotRun);
        else if (!idempotent && !request.idempotencyKey.empty())
            result = co_await runOnce(request, *record);
        else
            result = co_await runRepeatable(request, *record, idempotent);
    }
    m_context.node.journal().note(caller.requestId, "service", { { "service", request.service }, { "method", request.method }, { "reason", result.error ? reasonName(result.error->why) : "" }, { "status", result.status }, { "replayed", result.replayed } });
    if (result.error) {
        co_await sendError(exchange, *result.error, caller.requestId, m_context.counters);
        co_return;
    }
    m_context.counters.count("service_answered");
    http_headers headers { { "X-Request-Id", caller.requestId } };
    if (result.replayed)
        headers.emplace_back("Idempotent-Replay", "true");
    co_await exchange.respond(result.status, result.contentType, std::move(result.body), headers);
}

wire::place_request service_calls::placeRequest(const service_request& request, std::uint32_t attempt, const std::set<std::string>& exclude, milliseconds patience) const
{
    wire::place_request place;
    place.set_shard(serviceShard(request.service));
    place.set_request_id(request.caller.requestId);
    place.set_attempt(attempt);
    place.set_organisation(request.caller.organisation);
    place.set_patience_ms(static_cast<std::uint32_t>(patience.count()));
    for (const auto& id : exclude)
        place.add_exclude(id);
    return place;
}

task_of<service_result> service_calls::runRepeatable(service_request request, const service_record& record, bool idempotent)
{
    auto verdict = co_await acquireTokens(m_context, request.caller.organisation, std::max<std::uint32_t>(record.costTokens, 1));
    if (!verdict.granted)
        co_return failedWith(verdict.why, run_state::NotRun, verdict.retryAfter);
    std::set<std::string> exclude;
    auto run = run_state::NotRun;
    auto deadline = m_context.clock.now() + record.deadline;
    auto timeLeft = [&] { return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(deadline - m_context.clock.now())); };
    for (std::uint32_t attempt = 0;; ++attempt) {
        auto placement = co_await acquirePlacement(m_context, placeRequest(request, attempt, exclude, timeLeft()));
        if (!placement.refused().empty())
            co_return failedWith(reasonFromName(placement.refused()).value_or(reason::Internal), run, milliseconds(placement.retry_after_ms()));
        auto end = co_await callEndpoint(request, placement, timeLeft());
        if (end.callerGone)
            co_return failedWith(reason::CallerGone, run_state::MayHaveRun);
        if (end.failed == call_failure::None)
            co_return end.result;
        // Once a byte may have left, a call that may not be repeated is over: its outcome is unknown.
        if (end.failed != call_failure::NotSent)
            run = run_state::MayHaveRun;
        auto why = end.failed == call_failure::NotSent ? reason::ConnectFailed : reason::EndpointFailed;
        bool mayRepeat = idempotent || run == run_state::NotRun;
        if (!mayRepeat)
            co_return failedWith(reason::OutcomeUnknown, run, comeBack);
        if (attempt + 1 >= mostAttempts || m_context.clock.now() >= deadline)
            co_return failedWith(why, run, comeBack);
        m_context.counters.countRetry(why);
        exclude.insert(placement.decode_id());
    }
}

task_of<service_calls::call_end> service_calls::callEndpoint(const service_request& request, const wire::placement& placement, milliseconds timeLeft)
{
    wire::progress last;
    last.set_shard(placement.shard());
    last.set_request_id(request.caller.requestId);
    last.set_attempt(placement.attempt());
    last.set_stage(wire::STAGE_FAILED);
    booking_hold booking(m_context, std::move(last));
    auto call = callTo(request);
    auto answer = co_await http_client::fetch(placement.decode_address(), call, m_context.settings.timeouts.connect, timeLeft);
    call_end end;
    end.failed = answer.failed;
    // A caller that left cancelled the call; that is no failure of the endpoint.
    auto cancelled = (co_await boost::asio::this_coro::cancellation_state).cancelled();
    end.callerGone = cancelled != boost::asio::cancellation_type::none;
    if (end.callerGone)
        co_return end;
    if (answer.failed == call_failure::None) {
        booking.report().set_stage(wire::STAGE_FINISHED);
        end.result.status = answer.status;
        end.result.contentType = answer.contentType;
        end.result.body = std::move(answer.body);
        co_return end;
    }
    booking.report().set_endpoint(placement.decode_id());
    booking.report().set_reason(std::string(reasonName(answer.failed == call_failure::NotSent ? reason::ConnectFailed : reason::EndpointFailed)));
    co_return end;
}

task_of<wire::ledger_reply> service_calls::beginIntent(const service_request& request, const std::string& digest, const std::string& requestId)
{
    wire::ledger_begin intent;
    intent.set_key(ledgerKey(request));
    intent.set_digest(digest);
    intent.set_request_id(requestId);
    pending_reply<wire::ledger_reply> pending(co_await boost::asio::this_coro::executor);
    m_context.loop.post([this, intent, complete = pending.completer()] { m_context.node.ledger().begin(intent, ledgerTimeout, complete); });
    auto reply = co_await pending.wait(ledgerTimeout * 3);
    wire::ledger_reply unavailable;
    unavailable.set_unavailable(true);
    co_return reply.value_or(unavailable);
}

std::optional<service_result> service_calls::fromLedger(const wire::ledger_reply& reply) const
{
    if (reply.unavailable())
        return failedWith(reason::LedgerUnavailable, run_state::NotRun, comeBack);
    if (reply.reused())
        return failedWith(reason::IdempotencyKeyReused, run_state::NotRun);
    if (reply.state() == wire::LEDGER_UNKNOWN || (reply.state() == wire::LEDGER_DONE && reply.answer().truncated()))
        return failedWith(reason::OutcomeUnknown, run_state::MayHaveRun);
    if (reply.state() != wire::LEDGER_DONE)
        return std::nullopt;
    service_result result;
    result.status = reply.answer().status();
    result.contentType = reply.answer().content_type();
    result.body = reply.answer().body();
    result.replayed = true;
    return result;
}

task_of<service_result> service_calls::runOnce(service_request request, const service_record& record)
{
    auto digest = sha256Hex(fmt::format("{}\n{}\n{}", request.method, request.target, request.body));
    auto reply = co_await beginIntent(request, digest, request.caller.requestId);
    if (!reply.granted()) {
        auto known = fromLedger(reply);
        if (known)
            co_return *known;
        co_return co_await awaitOther(request, digest, record);
    }
    // From here on the call runs to its end even if the caller leaves: cut in the middle, its outcome would be
    // unknown for ever, and the caller's resend could get no answer.
    auto executor = co_await boost::asio::this_coro::executor;
    pending_reply<service_result> pending(executor);
    auto detached = [](service_calls* self, service_request given, service_record rules, std::function<void(service_result)> complete) -> task_of<void> {
        background_work work(self->m_context);
        auto result = co_await self->runRepeatable(given, rules, false);
        self->finishIntent(given, result, !result.error || result.error->run == run_state::MayHaveRun);
        complete(std::move(result));
    };
    boost::asio::co_spawn(executor, detached(this, request, record, pending.completer()), boost::asio::detached);
    auto result = co_await pending.wait(record.deadline + detachedAllowance);
    co_return result.value_or(failedWith(reason::OutcomeUnknown, run_state::MayHaveRun));
}

void service_calls::finishIntent(const service_request& request, const service_result& result, bool sent)
{
    wire::ledger_finish outcome;
    outcome.set_key(ledgerKey(request));
    outcome.set_request_id(request.caller.requestId);
    if (!sent) {
        outcome.set_not_sent(true);
    } else if (result.error) {
        outcome.set_unknown(true);
    } else {
        auto* answer = outcome.mutable_answer();
        answer->set_status(result.status);
        answer->set_content_type(result.contentType);
        answer->set_truncated(result.body.size() > largestStoredAnswer);
        if (!answer->truncated())
            answer->set_body(result.body);
    }
    m_context.loop.post([this, outcome] { m_context.node.ledger().finish(outcome); });
}

task_of<service_result> service_calls::awaitOther(const service_request& request, const std::string& digest, const service_record& record)
{
    // The same call runs under an earlier request. This one never sends; it waits for that one's answer.
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    auto deadline = m_context.clock.now() + record.deadline;
    while (m_context.clock.now() < deadline) {
        timer.expires_after(ledgerPoll);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        auto reply = co_await beginIntent(request, digest, request.caller.requestId);
        if (auto known = fromLedger(reply))
            co_return *known;
        if (reply.granted()) {
            // The earlier call was never sent and took its intent back, so this one may run.
            co_return co_await runOnce(request, record);
        }
    }
    co_return failedWith(reason::OutcomeUnknown, run_state::MayHaveRun, comeBack);
}

} // namespace pistachiolatch
