#include "entry/service_call.h"

#include <boost/asio.hpp>

namespace pistachiolatch {

namespace {
    constexpr std::string_view servicesPrefix = "/services/";
    constexpr std::uint32_t maxAttempts = 3;
    constexpr std::size_t maxStoredResponseBytes = 32UL * 1024;
    constexpr milliseconds ledgerTimeout { 3000 };
    constexpr milliseconds ledgerPollInterval { 100 };
    constexpr milliseconds retryDelay { 1000 };
    constexpr milliseconds detachedAllowance { 10000 };

    std::string ledgerKey(const service_request& request)
    {
        return request.caller.organisation + "\n" + request.service + "\n" + request.idempotencyKey;
    }

    service_result makeError(reason cause, run_state runState, milliseconds retryAfter = milliseconds(0), std::string detail = {})
    {
        service_result result;
        result.error = caller_error { cause, runState, retryAfter, std::move(detail) };
        return result;
    }

    /// Says what is wrong with an Idempotency-Key, which other VMs store and compare; empty if nothing is.
    std::string idempotencyKeyProblem(const std::string& key)
    {
        constexpr std::size_t maxKeyBytes = 256;
        constexpr std::size_t maxQuotedBytes = 64;
        if (key.size() <= maxKeyBytes && isPlainText(key))
            return {};
        return fmt::format("Idempotency-Key \"{}\" must be UTF-8 text of at most {} bytes without control characters.", toPlainText(key, maxQuotedBytes), maxKeyBytes);
    }

    http_request makeHttpCall(const service_request& request)
    {
        // Only these headers are forwarded; everything else that the caller sent, above all its key, stays here.
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

task_of<void> service_router::handle(http_exchange& exchange, caller_identity caller)
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
    auto keyProblem = idempotencyKeyProblem(request.idempotencyKey);
    if (!record)
        result = makeError(reason::NotFound, run_state::NotRun);
    else if (!organisation || !organisation->services.count(request.service))
        result = makeError(reason::ServiceNotAllowed, run_state::NotRun);
    else if (!keyProblem.empty())
        result = makeError(reason::BadRequest, run_state::NotRun, milliseconds(0), std::move(keyProblem));
    else {
        bool idempotent = !record->nonIdempotentMethods.count(request.method);
        if (!idempotent && request.idempotencyKey.empty() && record->idempotencyKeyRequired)
            result = makeError(reason::IdempotencyKeyRequired, run_state::NotRun);
        else if (!idempotent && !request.idempotencyKey.empty())
            result = co_await runAtMostOnce(request, *record);
        else
            result = co_await runWithRetries(request, *record, idempotent);
    }
    m_context.node.journal().record(caller.requestId, "service", { { "service", request.service }, { "method", request.method }, { "reason", result.error ? reasonName(result.error->cause) : "" }, { "status", result.status }, { "replayed", result.replayed } });
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

wire::place_request service_router::makePlaceRequest(const service_request& request, std::uint32_t attempt, const std::set<std::string>& exclude, milliseconds queueTimeout) const
{
    wire::place_request place;
    place.set_shard(serviceShard(request.service));
    place.set_request_id(request.caller.requestId);
    place.set_attempt(attempt);
    place.set_organisation(request.caller.organisation);
    place.set_patience_ms(static_cast<std::uint32_t>(queueTimeout.count()));
    for (const auto& id : exclude)
        place.add_exclude(id);
    return place;
}

task_of<service_result> service_router::runWithRetries(service_request request, const service_record& record, bool idempotent)
{
    auto grant = co_await acquireTokens(m_context, request.caller.organisation, std::max<std::uint32_t>(record.costTokens, 1));
    if (!grant.granted)
        co_return makeError(grant.cause, run_state::NotRun, grant.retryAfter);
    std::set<std::string> exclude;
    auto runState = run_state::NotRun;
    auto deadline = m_context.clock.now() + record.deadline;
    auto timeLeft = [&] { return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(deadline - m_context.clock.now())); };
    for (std::uint32_t attempt = 0;; ++attempt) {
        auto placement = co_await acquirePlacement(m_context, makePlaceRequest(request, attempt, exclude, timeLeft()));
        if (!placement.refused().empty())
            co_return makeError(reasonFromName(placement.refused()).value_or(reason::Internal), runState, milliseconds(placement.retry_after_ms()));
        auto outcome = co_await callEndpoint(request, placement, timeLeft());
        if (outcome.callerGone)
            co_return makeError(reason::CallerGone, run_state::MayHaveRun);
        if (outcome.failed == call_failure::None)
            co_return outcome.result;
        // Once a byte may have been sent, a non-idempotent call is not retried: its outcome is unknown.
        if (outcome.failed != call_failure::NotSent)
            runState = run_state::MayHaveRun;
        auto cause = outcome.failed == call_failure::NotSent ? reason::ConnectFailed : reason::EndpointFailed;
        bool mayRetry = idempotent || runState == run_state::NotRun;
        if (!mayRetry)
            co_return makeError(reason::OutcomeUnknown, runState, retryDelay);
        if (attempt + 1 >= maxAttempts || m_context.clock.now() >= deadline)
            co_return makeError(cause, runState, retryDelay);
        m_context.counters.countRetry(cause);
        exclude.insert(placement.decode_id());
    }
}

task_of<service_router::call_result> service_router::callEndpoint(const service_request& request, const wire::placement& placement, milliseconds timeLeft)
{
    wire::progress finalReport;
    finalReport.set_shard(placement.shard());
    finalReport.set_request_id(request.caller.requestId);
    finalReport.set_attempt(placement.attempt());
    finalReport.set_stage(wire::STAGE_FAILED);
    reservation_guard reservation(m_context, std::move(finalReport));
    auto call = makeHttpCall(request);
    auto response = co_await http_client::fetch(placement.decode_address(), call, m_context.settings.timeouts.connect, timeLeft);
    call_result outcome;
    outcome.failed = response.failed;
    // A caller that disconnects cancels the call; that is not a failure of the endpoint.
    auto cancelled = (co_await boost::asio::this_coro::cancellation_state).cancelled();
    outcome.callerGone = cancelled != boost::asio::cancellation_type::none;
    if (outcome.callerGone)
        co_return outcome;
    if (response.failed == call_failure::None) {
        reservation.report().set_stage(wire::STAGE_FINISHED);
        outcome.result.status = response.status;
        outcome.result.contentType = response.contentType;
        outcome.result.body = std::move(response.body);
        co_return outcome;
    }
    reservation.report().set_endpoint(placement.decode_id());
    reservation.report().set_reason(std::string(reasonName(response.failed == call_failure::NotSent ? reason::ConnectFailed : reason::EndpointFailed)));
    co_return outcome;
}

task_of<wire::ledger_reply> service_router::recordIntent(const service_request& request, const std::string& digest, const std::string& requestId)
{
    wire::ledger_begin intent;
    intent.set_key(ledgerKey(request));
    intent.set_digest(digest);
    intent.set_request_id(requestId);
    pending_reply<wire::ledger_reply> pending(co_await boost::asio::this_coro::executor);
    m_context.loop.post([this, intent, complete = pending.completer()] { m_context.node.ledger().recordIntent(intent, ledgerTimeout, complete); });
    auto reply = co_await pending.wait(ledgerTimeout * 3);
    wire::ledger_reply unavailable;
    unavailable.set_unavailable(true);
    co_return reply.value_or(unavailable);
}

std::optional<service_result> service_router::resultFromLedger(const wire::ledger_reply& reply) const
{
    if (reply.unavailable())
        return makeError(reason::LedgerUnavailable, run_state::NotRun, retryDelay);
    if (reply.reused())
        return makeError(reason::IdempotencyKeyReused, run_state::NotRun);
    if (reply.state() == wire::LEDGER_UNKNOWN || (reply.state() == wire::LEDGER_DONE && reply.answer().truncated()))
        return makeError(reason::OutcomeUnknown, run_state::MayHaveRun);
    if (reply.state() != wire::LEDGER_DONE)
        return std::nullopt;
    service_result result;
    result.status = reply.answer().status();
    result.contentType = reply.answer().content_type();
    result.body = reply.answer().body();
    result.replayed = true;
    return result;
}

task_of<service_result> service_router::runAtMostOnce(service_request request, const service_record& record)
{
    auto digest = sha256Hex(fmt::format("{}\n{}\n{}", request.method, request.target, request.body));
    auto reply = co_await recordIntent(request, digest, request.caller.requestId);
    if (!reply.granted()) {
        auto recorded = resultFromLedger(reply);
        if (recorded)
            co_return *recorded;
        co_return co_await awaitEarlierCall(request, digest, record);
    }
    // From here on the call runs to completion even if the caller disconnects: if it were interrupted, its outcome
    // would stay unknown, and a resend by the caller could not be answered.
    auto executor = co_await boost::asio::this_coro::executor;
    pending_reply<service_result> pending(executor);
    auto detached = [](service_router* self, service_request detachedRequest, service_record serviceRecord, std::function<void(service_result)> complete) -> task_of<void> {
        background_work work(self->m_context);
        auto result = co_await self->runWithRetries(detachedRequest, serviceRecord, false);
        self->recordOutcome(detachedRequest, result, !result.error || result.error->runState == run_state::MayHaveRun);
        complete(std::move(result));
    };
    boost::asio::co_spawn(executor, detached(this, request, record, pending.completer()), boost::asio::detached);
    auto result = co_await pending.wait(record.deadline + detachedAllowance);
    co_return result.value_or(makeError(reason::OutcomeUnknown, run_state::MayHaveRun));
}

void service_router::recordOutcome(const service_request& request, const service_result& result, bool sent)
{
    wire::ledger_finish outcome;
    outcome.set_key(ledgerKey(request));
    outcome.set_request_id(request.caller.requestId);
    if (!sent) {
        outcome.set_not_sent(true);
    } else if (result.error) {
        outcome.set_unknown(true);
    } else {
        auto* response = outcome.mutable_answer();
        response->set_status(result.status);
        response->set_content_type(result.contentType);
        response->set_truncated(result.body.size() > maxStoredResponseBytes);
        if (!response->truncated())
            response->set_body(result.body);
    }
    m_context.loop.post([this, outcome] { m_context.node.ledger().recordOutcome(outcome); });
}

task_of<service_result> service_router::awaitEarlierCall(const service_request& request, const std::string& digest, const service_record& record)
{
    // The same call runs under an earlier request. This one waits for its response instead of sending the call.
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    auto deadline = m_context.clock.now() + record.deadline;
    while (m_context.clock.now() < deadline) {
        timer.expires_after(ledgerPollInterval);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        auto reply = co_await recordIntent(request, digest, request.caller.requestId);
        if (auto recorded = resultFromLedger(reply))
            co_return *recorded;
        if (reply.granted()) {
            // The earlier call was never sent and its intent was withdrawn, so this one may run.
            co_return co_await runAtMostOnce(request, record);
        }
    }
    co_return makeError(reason::OutcomeUnknown, run_state::MayHaveRun, retryDelay);
}

} // namespace pistachiolatch
