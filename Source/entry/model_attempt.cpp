#include "entry/model_attempt.h"

#include <boost/asio/cancellation_type.hpp>
#include <boost/asio/this_coro.hpp>

namespace pistachiolatch {

namespace {
    reason reasonOf(endpoint_status status, bool decoding)
    {
        switch (status) {
        case endpoint_status::NotSent:
            return reason::ConnectFailed;
        case endpoint_status::Refused:
            return reason::EndpointRefused;
        case endpoint_status::Expired:
            return reason::KvExpired;
        case endpoint_status::Crossed:
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

attempt_end model_attempt::failed(endpoint_status status, const std::string& endpoint, bool afterPrefill) const
{
    attempt_end end;
    end.why = reasonOf(status, false);
    end.endpoint = endpoint;
    end.suspectedCrash = status == endpoint_status::Broken;
    end.prefillWasted = afterPrefill;
    return end;
}

void model_attempt::report(wire::progress_stage stage)
{
    wire::progress progress;
    progress.set_shard(m_placement.shard());
    progress.set_request_id(m_tag.requestId);
    progress.set_attempt(m_tag.attempt);
    progress.set_stage(stage);
    reportProgress(m_context, std::move(progress));
}

task_of<attempt_end> model_attempt::run(model_output& output, token_sink sink)
{
    auto executor = co_await boost::asio::this_coro::executor;
    auto tag = m_tag.text();
    wire::progress last;
    last.set_shard(m_placement.shard());
    last.set_request_id(m_tag.requestId);
    last.set_attempt(m_tag.attempt);
    last.set_stage(wire::STAGE_FAILED);
    last.set_reason(std::string(reasonName(reason::CallerGone)));
    // Declared in this order: the endpoints are told to let go before the booking is given back.
    booking_hold booking(m_context, std::move(last));
    engine_hold decodeHold(m_context, executor, m_placement.decode_address(), tag);
    attempt_end end;
    {
        engine_hold prefillHold(m_context, executor, m_placement.prefill_address(), tag);
        end = co_await prefillAndTransfer(output);
        // A transfer that came to its end freed the source.
        if (end.whole)
            prefillHold.release();
    }
    if (end.whole)
        end = co_await decode(output, sink);
    // A caller that leaves cancels this coroutine, and the read in hand fails as if the endpoint had broken off. Taken
    // for that, it would keep work away from a sound endpoint and count against the request as a crash.
    auto cancelled = (co_await boost::asio::this_coro::cancellation_state).cancelled();
    if (cancelled != boost::asio::cancellation_type::none) {
        attempt_end gone;
        gone.callerGone = true;
        gone.why = reason::CallerGone;
        co_return gone;
    }
    if (end.whole) {
        decodeHold.release();
        booking.report().set_stage(wire::STAGE_FINISHED);
    }
    booking.report().set_reason(end.whole ? "" : std::string(reasonName(end.why)));
    booking.report().set_endpoint(end.callerGone ? "" : end.endpoint);
    booking.report().set_prefill_wasted(end.prefillWasted);
    booking.report().set_tokens(output.tokens);
    co_return end;
}

task_of<attempt_end> model_attempt::prefillAndTransfer(model_output& output)
{
    auto& journal = m_context.node.journal();
    prefill_order order;
    order.tag = m_tag.text();
    order.model = m_request.model;
    order.prompt = m_request.prompt;
    order.output = output.text;
    order.fromIndex = output.tokens;
    order.parameters = m_request.parameters;
    http_json_endpoint prefill(m_placement.prefill_address(), m_context.settings.timeouts);
    output.sent = true;
    auto done = co_await prefill.prefill(order);
    journal.note(m_tag.requestId, "prefill", { { "endpoint", m_placement.prefill_id() }, { "ok", done.status == endpoint_status::Done } });
    if (done.status != endpoint_status::Done)
        co_return failed(done.status, m_placement.prefill_id(), false);
    output.promptTokens = done.promptTokens;
    m_kv = done.kv;
    report(wire::STAGE_PREFILLED);

    import_order import;
    import.tag = order.tag;
    import.kv = m_kv;
    import.sourceAddress = m_placement.prefill_address();
    import.maxTokens = m_maxTokens;
    http_json_endpoint decode(m_placement.decode_address(), m_context.settings.timeouts);
    auto moved = co_await decode.importKv(import);
    journal.note(m_tag.requestId, "transfer", { { "endpoint", m_placement.decode_id() }, { "ok", moved == endpoint_status::Done } });
    if (moved != endpoint_status::Done)
        co_return failed(moved, m_placement.decode_id(), true);
    report(wire::STAGE_TRANSFERRED);
    attempt_end end;
    end.whole = true;
    co_return end;
}

task_of<attempt_end> model_attempt::decode(model_output& output, token_sink& sink)
{
    decode_order order;
    order.tag = m_tag.text();
    order.kv = m_kv;
    order.fromIndex = output.tokens;
    order.maxTokens = m_maxTokens;
    http_json_endpoint engine(m_placement.decode_address(), m_context.settings.timeouts);
    auto started = co_await engine.decode(order);
    bool none = output.tokens == 0;
    if (started != endpoint_status::Done)
        co_return failed(started, m_placement.decode_id(), none);
    attempt_end end;
    end.endpoint = m_placement.decode_id();
    while (true) {
        auto token = co_await engine.nextToken();
        if (token.status != endpoint_status::Done) {
            end.why = reasonOf(token.status, true);
            end.suspectedCrash = token.status == endpoint_status::Broken;
            end.prefillWasted = none && output.tokens == 0;
            co_return end;
        }
        if (token.end) {
            output.finishReason = token.finishReason;
            end.whole = true;
            co_return end;
        }
        // A token that came twice, or late after a resume, is dropped; the caller sees each index once.
        if (token.index < output.tokens) {
            m_context.counters.count("token_duplicate_dropped");
            continue;
        }
        // A gap can't be mended by waiting: the stream lost a token, so another engine resumes at it.
        if (token.index > output.tokens) {
            m_context.counters.count("token_gap");
            end.why = reason::DecodeLost;
            co_return end;
        }
        ++output.tokens;
        output.text += token.text;
        if (!co_await sink(token.text)) {
            end.callerGone = true;
            end.why = reason::CallerGone;
            co_return end;
        }
    }
}

} // namespace pistachiolatch
