#include "entry/model_call.h"

#include <xxhash.h>

namespace pistachiolatch {

namespace {
    constexpr std::uint32_t maxAttempts = 4;
    constexpr std::size_t prefixBytes = 16UL * 1024;
    constexpr milliseconds retryDelay { 1000 };

    bool isRetryable(reason cause)
    {
        switch (cause) {
        case reason::ConnectFailed:
        case reason::EndpointFailed:
        case reason::EndpointRefused:
        case reason::KvExpired:
        case reason::TransferStalled:
        case reason::DecodeLost:
        case reason::AnswerCrossed:
            return true;
        default:
            return false;
        }
    }
}

model_call::model_call(entry_context& context, http_exchange& exchange, caller_identity caller, bool chat)
    : m_context(context)
    , m_exchange(exchange)
    , m_caller(std::move(caller))
    , m_startedAt(context.clock.now())
{
    m_request.chat = chat;
}

model_call::~model_call()
{
    // Refunds tokens that were charged but not used, also if the caller disconnected early.
    std::uint64_t used = m_output.sent ? std::max<std::uint64_t>(m_output.promptTokens, 1) + m_output.tokens : 0;
    if (m_chargedTokens <= used)
        return;
    auto unused = m_chargedTokens - used;
    m_context.loop.post([&context = m_context, organisation = m_caller.organisation, unused] { context.node.limits().refund(organisation, unused); });
}

task_of<void> model_call::run()
{
    auto error = co_await admit();
    if (!error)
        error = co_await runAttempts();
    if (error)
        co_await sendFailure(*error);
    else
        co_await sendResponse();
}

task_of<std::optional<caller_error>> model_call::admit()
{
    const auto& body = m_exchange.message().body();
    auto parsed = parseCompletion(body, m_request.chat);
    if (!parsed)
        co_return caller_error { reason::BadRequest, run_state::NotRun, milliseconds(0), parsed.error().message };
    m_request = std::move(parsed.value());
    const auto* organisation = m_caller.config->organisation(m_caller.organisation);
    m_model = m_caller.config->model(m_request.model);
    if (!m_model)
        co_return caller_error { reason::UnknownModel, run_state::NotRun, milliseconds(0), "" };
    if (!organisation || !organisation->models.count(m_request.model))
        co_return caller_error { reason::ModelNotAllowed, run_state::NotRun, milliseconds(0), "" };

    m_promptTokens = estimateTokens(m_request.prompt);
    m_maxTokens = m_request.maxTokens > 0 ? m_request.maxTokens : m_model->maxTokensDefault;
    auto identity = m_caller.organisation + "\n" + m_request.model + "\n" + body;
    m_fingerprint = XXH3_64bits(identity.data(), identity.size());
    if (m_request.prompt.size() >= prefixBytes)
        m_prefix = XXH3_64bits(m_request.prompt.data(), prefixBytes);
    m_metadata = { m_caller.requestId, m_request.model, m_request.chat,
        std::chrono::floor<std::chrono::seconds>(wallClock()).count() };

    // Checked before the rate limit: if the limit's owner is unreachable, the caller would get a retryable 503 instead.
    if (auto error = checkPoison())
        co_return error;
    std::uint64_t tokens = static_cast<std::uint64_t>(m_promptTokens) + m_maxTokens;
    auto grant = co_await acquireTokens(m_context, m_caller.organisation, tokens);
    m_context.node.journal().record(m_caller.requestId, "limit", { { "organisation", m_caller.organisation }, { "tokens", tokens }, { "granted", grant.granted } });
    if (!grant.granted) {
        // The request may have been marked as poison while it waited for the limit.
        if (auto error = checkPoison())
            co_return error;
        co_return caller_error { grant.cause, run_state::NotRun, grant.retryAfter, "" };
    }
    m_chargedTokens = tokens;
    co_return std::nullopt;
}

task_of<std::optional<caller_error>> model_call::runAttempts()
{
    for (std::uint32_t attempt = 0;; ++attempt) {
        auto placement = co_await requestPlacement(attempt);
        if (auto error = checkPlacement(placement))
            co_return error;
        m_context.node.journal().record(m_caller.requestId, "placed", { { "attempt", attempt }, { "prefill", placement.prefill_id() }, { "decode", placement.decode_id() } });
        request_tag tag { m_context.node.self().name, m_context.node.self().incarnation, m_caller.requestId, attempt };
        model_attempt modelAttempt(m_context, m_request, placement, tag, m_maxTokens);
        token_sink sink = [this](const std::string& text) { return forwardToken(text); };
        auto outcome = co_await modelAttempt.run(m_output, sink);
        if (outcome.completed)
            co_return std::nullopt;
        m_context.node.journal().record(m_caller.requestId, "attempt_failed", { { "attempt", attempt }, { "reason", reasonName(outcome.cause) }, { "endpoint", outcome.endpoint }, { "tokens", m_output.tokens } });
        if (outcome.suspectedCrash)
            reportCrash(placement, outcome, attempt);
        if (auto error = checkRetry(outcome, attempt))
            co_return error;
        m_context.counters.countRetry(outcome.cause);
        m_excludedEndpoints.insert(outcome.endpoint);
    }
}

task_of<wire::placement> model_call::requestPlacement(std::uint32_t attempt)
{
    wire::place_request request;
    request.set_shard(modelShard(m_request.model));
    request.set_request_id(m_caller.requestId);
    request.set_attempt(attempt);
    request.set_organisation(m_caller.organisation);
    request.set_prompt_tokens(m_promptTokens + m_output.tokens);
    request.set_max_tokens(m_maxTokens - std::min(m_maxTokens, m_output.tokens));
    request.set_patience_ms(static_cast<std::uint32_t>(m_model->queueTimeout.count()));
    request.set_fingerprint(m_fingerprint);
    request.set_prefix(m_prefix);
    request.set_resume_from(m_output.tokens);
    for (const auto& id : m_excludedEndpoints)
        request.add_exclude(id);
    co_return co_await acquirePlacement(m_context, std::move(request));
}

std::optional<caller_error> model_call::checkPoison() const
{
    if (!m_context.node.isPoison(m_fingerprint))
        return std::nullopt;
    return caller_error { reason::PoisonRequest, runState(), milliseconds(0), "" };
}

std::optional<caller_error> model_call::checkPlacement(const wire::placement& placement)
{
    if (placement.refused().empty())
        return std::nullopt;
    if (auto error = checkPoison())
        return error;
    auto cause = reasonFromName(placement.refused()).value_or(reason::Internal);
    return caller_error { cause, runState(), milliseconds(placement.retry_after_ms()), "" };
}

std::optional<caller_error> model_call::checkRetry(const attempt_result& outcome, std::uint32_t attempt)
{
    if (outcome.callerGone)
        return caller_error { reason::CallerGone, run_state::MayHaveRun, milliseconds(0), "" };
    m_crashes += outcome.suspectedCrash ? 1 : 0;
    if (m_crashes >= crash_tracker::crashesToBlock)
        return caller_error { reason::PoisonRequest, run_state::MayHaveRun, milliseconds(0), "" };
    if (attempt + 1 >= maxAttempts || !isRetryable(outcome.cause))
        return caller_error { outcome.cause, run_state::MayHaveRun, retryDelay, "" };
    return std::nullopt;
}

void model_call::reportCrash(const wire::placement& placement, const attempt_result& outcome, std::uint32_t attempt)
{
    wire::crash_report report;
    report.set_shard(placement.shard());
    report.set_fingerprint(m_fingerprint);
    report.set_endpoint(outcome.endpoint);
    report.set_endpoint_incarnation(outcome.endpoint == placement.prefill_id() ? placement.prefill_incarnation() : placement.decode_incarnation());
    report.set_request_id(m_caller.requestId);
    report.set_attempt(attempt);
    m_context.loop.post([&context = m_context, report] { context.node.placements().reportCrash(report); });
}

task_of<bool> model_call::forwardToken(const std::string& text)
{
    if (!m_firstTokenSeen) {
        m_firstTokenSeen = true;
        m_context.counters.observe("first_token", m_context.clock.now() - m_startedAt);
    }
    if (!m_request.stream)
        co_return true;
    if (!m_exchange.responseStarted()) {
        http_headers headers { { "X-Request-Id", m_caller.requestId }, { "Cache-Control", "no-cache" } };
        if (!co_await m_exchange.beginStream(200, "text/event-stream", headers))
            co_return false;
    }
    auto event = sseEvent(formatChunk(m_metadata, text));
    co_return co_await m_exchange.writeChunk(event);
}

task_of<void> model_call::sendResponse()
{
    completion_usage usage { m_output.promptTokens, m_output.tokens };
    m_context.counters.count("model_answered");
    m_context.counters.observe("model_call", m_context.clock.now() - m_startedAt);
    m_context.node.journal().record(m_caller.requestId, "answered", { { "tokens", m_output.tokens } });
    if (!m_request.stream) {
        auto body = formatCompletion(m_metadata, m_output.text, m_output.finishReason, usage);
        http_headers headers { { "X-Request-Id", m_caller.requestId } };
        co_await m_exchange.respond(200, "application/json", std::move(body), headers);
        co_return;
    }
    if (!m_exchange.responseStarted()) {
        http_headers headers { { "X-Request-Id", m_caller.requestId }, { "Cache-Control", "no-cache" } };
        if (!co_await m_exchange.beginStream(200, "text/event-stream", headers))
            co_return;
    }
    auto ending = sseEvent(formatFinalChunk(m_metadata, m_output.finishReason, usage)) + sseEvent("[DONE]");
    if (co_await m_exchange.writeChunk(ending))
        co_await m_exchange.endStream();
}

task_of<void> model_call::sendFailure(const caller_error& error)
{
    m_context.node.journal().record(m_caller.requestId, "refused", { { "reason", reasonName(error.cause) }, { "run", runStateName(error.runState) } });
    if (!m_exchange.responseStarted()) {
        co_await sendError(m_exchange, error, m_caller.requestId, m_context.counters);
        co_return;
    }
    // The response has started, so it ends with an error event and an aborted connection, never with the end mark of a
    // complete response.
    m_context.counters.countRefusal(error.cause);
    auto event = sseEvent(errorBody(error, m_caller.requestId));
    co_await m_exchange.writeChunk(event);
    m_exchange.abortStream();
}

} // namespace pistachiolatch
