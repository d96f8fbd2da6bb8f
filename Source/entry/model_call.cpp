#include "entry/model_call.h"

#include <xxhash.h>

namespace pistachiolatch {

namespace {
    constexpr std::uint32_t mostAttempts = 4;
    constexpr std::size_t prefixBytes = 16UL * 1024;
    constexpr milliseconds retryLater { 1000 };

    bool isWorthAnotherAttempt(reason why)
    {
        switch (why) {
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
    , m_begun(context.clock.now())
{
    m_request.chat = chat;
}

model_call::~model_call()
{
    // What was charged and not used goes back, also when the caller left in the middle.
    std::uint64_t used = m_output.sent ? std::max<std::uint64_t>(m_output.promptTokens, 1) + m_output.tokens : 0;
    if (m_charged <= used)
        return;
    auto back = m_charged - used;
    m_context.loop.post([&context = m_context, organisation = m_caller.organisation, back] { context.node.limits().giveBack(organisation, back); });
}

task_of<void> model_call::run()
{
    auto error = co_await admit();
    if (!error)
        error = co_await attemptAll();
    if (error)
        co_await fail(*error);
    else
        co_await finishAnswer();
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
    m_identity = { m_caller.requestId, m_request.model, m_request.chat,
        std::chrono::floor<std::chrono::seconds>(wallClock()).count() };

    // Checked before the limit: if the limit's owner is unreachable, the caller would get a retryable 503 instead.
    if (auto refused = refusedAsPoison())
        co_return refused;
    std::uint64_t tokens = static_cast<std::uint64_t>(m_promptTokens) + m_maxTokens;
    auto verdict = co_await acquireTokens(m_context, m_caller.organisation, tokens);
    m_context.node.journal().note(m_caller.requestId, "limit", { { "organisation", m_caller.organisation }, { "tokens", tokens }, { "granted", verdict.granted } });
    if (!verdict.granted) {
        // The request may have been marked as poison while it waited for the limit.
        if (auto refused = refusedAsPoison())
            co_return refused;
        co_return caller_error { verdict.why, run_state::NotRun, verdict.retryAfter, "" };
    }
    m_charged = tokens;
    co_return std::nullopt;
}

task_of<std::optional<caller_error>> model_call::attemptAll()
{
    for (std::uint32_t attempt = 0;; ++attempt) {
        auto placement = co_await findEndpoints(attempt);
        if (auto refused = refusedPlacement(placement))
            co_return refused;
        m_context.node.journal().note(m_caller.requestId, "placed", { { "attempt", attempt }, { "prefill", placement.prefill_id() }, { "decode", placement.decode_id() } });
        request_tag tag { m_context.node.self().name, m_context.node.self().incarnation, m_caller.requestId, attempt };
        model_attempt one(m_context, m_request, placement, tag, m_maxTokens);
        token_sink sink = [this](const std::string& text) { return forward(text); };
        auto end = co_await one.run(m_output, sink);
        if (end.whole)
            co_return std::nullopt;
        m_context.node.journal().note(m_caller.requestId, "attempt_failed", { { "attempt", attempt }, { "reason", reasonName(end.why) }, { "endpoint", end.endpoint }, { "tokens", m_output.tokens } });
        if (end.suspectedCrash)
            reportCrash(placement, end, attempt);
        if (auto error = giveUpAfter(end, attempt))
            co_return error;
        m_context.counters.countRetry(end.why);
        m_exclude.insert(end.endpoint);
    }
}

task_of<wire::placement> model_call::findEndpoints(std::uint32_t attempt)
{
    wire::place_request request;
    request.set_shard(modelShard(m_request.model));
    request.set_request_id(m_caller.requestId);
    request.set_attempt(attempt);
    request.set_organisation(m_caller.organisation);
    request.set_prompt_tokens(m_promptTokens + m_output.tokens);
    request.set_max_tokens(m_maxTokens - std::min(m_maxTokens, m_output.tokens));
    request.set_patience_ms(static_cast<std::uint32_t>(m_model->patience.count()));
    request.set_fingerprint(m_fingerprint);
    request.set_prefix(m_prefix);
    request.set_resume_from(m_output.tokens);
    for (const auto& id : m_exclude)
        request.add_exclude(id);
    co_return co_await acquirePlacement(m_context, std::move(request));
}

std::optional<caller_error> model_call::refusedAsPoison() const
{
    if (!m_context.node.isPoison(m_fingerprint))
        return std::nullopt;
    return caller_error { reason::PoisonRequest, runState(), milliseconds(0), "" };
}

std::optional<caller_error> model_call::refusedPlacement(const wire::placement& placement)
{
    if (placement.refused().empty())
        return std::nullopt;
    if (auto refused = refusedAsPoison())
        return refused;
    auto why = reasonFromName(placement.refused()).value_or(reason::Internal);
    return caller_error { why, runState(), milliseconds(placement.retry_after_ms()), "" };
}

std::optional<caller_error> model_call::giveUpAfter(const attempt_end& end, std::uint32_t attempt)
{
    if (end.callerGone)
        return caller_error { reason::CallerGone, run_state::MayHaveRun, milliseconds(0), "" };
    m_crashes += end.suspectedCrash ? 1 : 0;
    if (m_crashes >= crash_suspects::crashesToBlock)
        return caller_error { reason::PoisonRequest, run_state::MayHaveRun, milliseconds(0), "" };
    if (attempt + 1 >= mostAttempts || !isWorthAnotherAttempt(end.why))
        return caller_error { end.why, run_state::MayHaveRun, retryLater, "" };
    return std::nullopt;
}

void model_call::reportCrash(const wire::placement& placement, const attempt_end& end, std::uint32_t attempt)
{
    wire::crash_report report;
    report.set_shard(placement.shard());
    report.set_fingerprint(m_fingerprint);
    report.set_endpoint(end.endpoint);
    report.set_endpoint_incarnation(end.endpoint == placement.prefill_id() ? placement.prefill_incarnation() : placement.decode_incarnation());
    report.set_request_id(m_caller.requestId);
    report.set_attempt(attempt);
    m_context.loop.post([&context = m_context, report] { context.node.placements().crash(report); });
}

task_of<bool> model_call::forward(const std::string& text)
{
    if (!m_firstToken) {
        m_firstToken = true;
        m_context.counters.observe("first_token", m_context.clock.now() - m_begun);
    }
    if (!m_request.stream)
        co_return true;
    if (!m_exchange.responseStarted()) {
        http_headers headers { { "X-Request-Id", m_caller.requestId }, { "Cache-Control", "no-cache" } };
        if (!co_await m_exchange.beginStream(200, "text/event-stream", headers))
            co_return false;
    }
    auto event = sseEvent(formatPiece(m_identity, text));
    co_return co_await m_exchange.writeChunk(event);
}

task_of<void> model_call::finishAnswer()
{
    completion_usage usage { m_output.promptTokens, m_output.tokens };
    m_context.counters.count("model_answered");
    m_context.counters.observe("model_call", m_context.clock.now() - m_begun);
    m_context.node.journal().note(m_caller.requestId, "answered", { { "tokens", m_output.tokens } });
    if (!m_request.stream) {
        auto body = formatWhole(m_identity, m_output.text, m_output.finishReason, usage);
        http_headers headers { { "X-Request-Id", m_caller.requestId } };
        co_await m_exchange.respond(200, "application/json", std::move(body), headers);
        co_return;
    }
    if (!m_exchange.responseStarted()) {
        http_headers headers { { "X-Request-Id", m_caller.requestId }, { "Cache-Control", "no-cache" } };
        if (!co_await m_exchange.beginStream(200, "text/event-stream", headers))
            co_return;
    }
    auto ending = sseEvent(formatLastPiece(m_identity, m_output.finishReason, usage)) + sseEvent("[DONE]");
    if (co_await m_exchange.writeChunk(ending))
        co_await m_exchange.endStream();
}

task_of<void> model_call::fail(const caller_error& error)
{
    m_context.node.journal().note(m_caller.requestId, "refused", { { "reason", reasonName(error.why) }, { "run", runStateName(error.run) } });
    if (!m_exchange.responseStarted()) {
        co_await sendError(m_exchange, error, m_caller.requestId, m_context.counters);
        co_return;
    }
    // The answer is under way: its end is an error event and a connection cut short, never the mark of a whole answer.
    m_context.counters.countRefusal(error.why);
    auto event = sseEvent(errorBody(error, m_caller.requestId));
    co_await m_exchange.writeChunk(event);
    m_exchange.abortStream();
}

} // namespace pistachiolatch
