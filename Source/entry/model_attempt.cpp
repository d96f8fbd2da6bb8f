#include "entry/model_attempt.h"

#include <boost/asio/cancellation_type.hpp>
#include <boost/asio/this_coro.hpp>

namespace pistachiolatch {

namespace {
    reason toReason(endpoint_status status, bool decoding)
    {
        switch (status) {
        case endpoint_status::NotSent:
            return reason::ConnectFailed;
        case endpoint_status::Refused:
            return reason::EndpointRefused;
        case endpoint_status::Expired:
            return reason::KvExpired;
        case endpoint_status::TagMismatch:
            return reason::AnswerCrossed;
        case endpoint_status::Stalled:
            return decoding ? reason::DecodeLost : reason::TransferStalled;
        case endpoint_status::Broken:
            return decoding ? reason::DecodeLost : reason::EndpointFailed;
        case endpoint_status::Done:
            break;
        }
        return reason::Internal;
    }
}

model_attempt::model_attempt(entry_context& context, const completion_request& request, const wire::placement& placement, request_tag tag, std::uint32_t maxTokens)
    : m_context(context)
    , m_request(request)
    , m_placement(placement)
    , m_tag(std::move(tag))
    , m_maxTokens(maxTokens)
{
}

attempt_result model_attempt::makeFailure(endpoint_status status, const std::string& endpoint, bool afterPrefill) const
{
    attempt_result outcome;
    outcome.cause = toReason(status, false);
    outcome.endpoint = endpoint;
    outcome.suspectedCrash = status == endpoint_status::Broken;
    outcome.prefillWasted = afterPrefill;
    return outcome;
}

void model_attempt::reportStage(wire::progress_stage stage)
{
    wire::progress progress;
    progress.set_shard(m_placement.shard());
    progress.set_request_id(m_tag.requestId);
    progress.set_attempt(m_tag.attempt);
    progress.set_stage(stage);
    reportProgress(m_context, std::move(progress));
}

task_of<attempt_result> model_attempt::run(model_output& output, token_sink sink)
{
    auto executor = co_await boost::asio::this_coro::executor;
    auto tag = m_tag.toString();
    wire::progress finalReport;
    finalReport.set_shard(m_placement.shard());
    finalReport.set_request_id(m_tag.requestId);
    finalReport.set_attempt(m_tag.attempt);
    finalReport.set_stage(wire::STAGE_FAILED);
    finalReport.set_reason(std::string(reasonName(reason::CallerGone)));
    // The order of declaration matters: the endpoints are told to free resources before the reservation ends.
    reservation_guard reservation(m_context, std::move(finalReport));
    engine_request_guard decodeGuard(m_context, executor, m_placement.decode_address(), tag);
    attempt_result outcome;
    {
        engine_request_guard prefillGuard(m_context, executor, m_placement.prefill_address(), tag);
        outcome = co_await prefillAndTransfer(output);
        // A completed transfer has freed the prefill endpoint.
        if (outcome.completed)
            prefillGuard.release();
    }
    if (outcome.completed)
        outcome = co_await decode(output, sink);
    // A caller that disconnects cancels this coroutine, and the pending read fails as if the endpoint's connection had
    // broken. Treated as such, it would exclude a healthy endpoint and count as a crash caused by the request.
    auto cancelled = (co_await boost::asio::this_coro::cancellation_state).cancelled();
    if (cancelled != boost::asio::cancellation_type::none) {
        attempt_result disconnected;
        disconnected.callerGone = true;
        disconnected.cause = reason::CallerGone;
        co_return disconnected;
    }
    if (outcome.completed) {
        decodeGuard.release();
        reservation.report().set_stage(wire::STAGE_FINISHED);
    }
    reservation.report().set_reason(outcome.completed ? "" : std::string(reasonName(outcome.cause)));
    reservation.report().set_endpoint(outcome.callerGone ? "" : outcome.endpoint);
    reservation.report().set_prefill_wasted(outcome.prefillWasted);
    reservation.report().set_tokens(output.tokens);
    co_return outcome;
}

task_of<attempt_result> model_attempt::prefillAndTransfer(model_output& output)
{
    auto& journal = m_context.node.journal();
    prefill_request request;
    request.tag = m_tag.toString();
    request.model = m_request.model;
    request.prompt = m_request.prompt;
    request.output = output.text;
    request.fromIndex = output.tokens;
    request.parameters = m_request.parameters;
    http_json_endpoint prefill(m_placement.prefill_address(), m_context.settings.timeouts);
    output.sent = true;
    auto prefilled = co_await prefill.prefill(request);
    journal.record(m_tag.requestId, "prefill", { { "endpoint", m_placement.prefill_id() }, { "ok", prefilled.status == endpoint_status::Done } });
    if (prefilled.status != endpoint_status::Done)
        co_return makeFailure(prefilled.status, m_placement.prefill_id(), false);
    output.promptTokens = prefilled.promptTokens;
    m_kv = prefilled.kv;
    reportStage(wire::STAGE_PREFILLED);

    kv_import_request import;
    import.tag = request.tag;
    import.kv = m_kv;
    import.sourceAddress = m_placement.prefill_address();
    import.maxTokens = m_maxTokens;
    http_json_endpoint decode(m_placement.decode_address(), m_context.settings.timeouts);
    auto transferStatus = co_await decode.importKv(import);
    journal.record(m_tag.requestId, "transfer", { { "endpoint", m_placement.decode_id() }, { "ok", transferStatus == endpoint_status::Done } });
    if (transferStatus != endpoint_status::Done)
        co_return makeFailure(transferStatus, m_placement.decode_id(), true);
    reportStage(wire::STAGE_TRANSFERRED);
    attempt_result outcome;
    outcome.completed = true;
    co_return outcome;
}

task_of<attempt_result> model_attempt::decode(model_output& output, token_sink& sink)
{
    decode_request request;
    request.tag = m_tag.toString();
    request.kv = m_kv;
    request.fromIndex = output.tokens;
    request.maxTokens = m_maxTokens;
    http_json_endpoint engine(m_placement.decode_address(), m_context.settings.timeouts);
    auto started = co_await engine.decode(request);
    bool noTokensYet = output.tokens == 0;
    if (started != endpoint_status::Done)
        co_return makeFailure(started, m_placement.decode_id(), noTokensYet);
    attempt_result outcome;
    outcome.endpoint = m_placement.decode_id();
    while (true) {
        auto token = co_await engine.nextToken();
        if (token.status != endpoint_status::Done) {
            outcome.cause = toReason(token.status, true);
            outcome.suspectedCrash = token.status == endpoint_status::Broken;
            outcome.prefillWasted = noTokensYet && output.tokens == 0;
            co_return outcome;
        }
        if (token.end) {
            output.finishReason = token.finishReason;
            outcome.completed = true;
            co_return outcome;
        }
        // Drops a token that is repeated or arrives late after a resume; the caller gets each index once.
        if (token.index < output.tokens) {
            m_context.counters.count("token_duplicate_dropped");
            continue;
        }
        // A gap means that the stream lost a token. Waiting doesn't recover it, so another engine resumes there.
        if (token.index > output.tokens) {
            m_context.counters.count("token_gap");
            outcome.cause = reason::DecodeLost;
            co_return outcome;
        }
        ++output.tokens;
        output.text += token.text;
        if (!co_await sink(token.text)) {
            outcome.callerGone = true;
            outcome.cause = reason::CallerGone;
            co_return outcome;
        }
    }
}

} // namespace pistachiolatch
