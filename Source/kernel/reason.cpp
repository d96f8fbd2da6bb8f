#include "kernel/reason.h"

#include <array>

namespace pistachiolatch {

namespace {
    struct reason_row {
        reason value;
        std::string_view name;
        unsigned status;
        std::string_view advice;
    };

    constexpr std::array rows {
        reason_row { reason::BadRequest, "bad_request", 400, "Correct the request and send it again." },
        reason_row { reason::MalformedHead, "malformed_head", 400, "End each line of the head in CR LF, and send each header as NAME:VALUE in one line." },
        reason_row { reason::UnclearLength, "unclear_length", 400, "Send one Content-Length in digits, or one Transfer-Encoding: chunked, not both." },
        reason_row { reason::UnknownTransferCoding, "unknown_transfer_coding", 501, "Send Transfer-Encoding: chunked, without other codings, or Content-Length." },
        reason_row { reason::BodyTooLarge, "body_too_large", 413, "Send a smaller body." },
        reason_row { reason::HeaderTooLarge, "header_too_large", 431, "Send fewer or shorter headers." },
        reason_row { reason::RequestTimeout, "request_timeout", 408, "Send the whole request without long pauses." },
        reason_row { reason::UnsupportedMediaType, "unsupported_media_type", 415, "Send Content-Type: application/json." },
        reason_row { reason::NotFound, "not_found", 404, "Check the method and the path." },
        reason_row { reason::MissingKey, "missing_key", 401, "Send Authorization: Bearer KEY." },
        reason_row { reason::UnknownKey, "unknown_key", 401, "Use a key that an operator has issued." },
        reason_row { reason::KeyWithdrawn, "key_withdrawn", 401, "Ask an operator for a new key." },
        reason_row { reason::ModelNotAllowed, "model_not_allowed", 403, "Use a model of your organisation." },
        reason_row { reason::ServiceNotAllowed, "service_not_allowed", 403, "Use a service of your organisation." },
        reason_row { reason::UnknownModel, "unknown_model", 404, "List the models with GET /v1/models." },
        reason_row { reason::IdempotencyKeyRequired, "idempotency_key_required", 400, "Send an Idempotency-Key header that is new for each booking." },
        reason_row { reason::IdempotencyKeyReused, "idempotency_key_reused", 422, "Use a new Idempotency-Key for a different request." },
        reason_row { reason::OverRate, "over_rate", 429, "Your organisation is over its rate; come back after Retry-After." },
        reason_row { reason::NoLimit, "no_limit", 403, "Ask an operator to set a limit for your organisation." },
        reason_row { reason::LimitUnreachable, "limit_unreachable", 503, "The owner of the limit did not answer; come back after Retry-After." },
        reason_row { reason::RequestExceedsBurst, "request_exceeds_burst", 400, "The request needs more tokens than the burst; shorten it." },
        reason_row { reason::NoConfig, "no_config", 503, "This VM has no valid configuration; come back after Retry-After." },
        reason_row { reason::NoScheduler, "no_scheduler", 503, "No scheduler holds the pool; come back after Retry-After." },
        reason_row { reason::NoEndpoint, "no_endpoint", 503, "No endpoint serves this now; come back after Retry-After." },
        reason_row { reason::Evacuated, "evacuated", 503, "Operators have evacuated every data centre that serves this; come back after Retry-After." },
        reason_row { reason::EndpointsResting, "endpoints_resting", 503, "All endpoints of the service have asked for a pause; come back after Retry-After." },
        reason_row { reason::StreamOriginUnknown, "stream_origin_unknown", 503, "It is not known which software version began this stream; come back after Retry-After, or begin it anew." },
        reason_row { reason::StreamVersionUnavailable, "stream_version_unavailable", 503, "No endpoint of the software version that began this stream serves it; come back after Retry-After, or begin it anew." },
        reason_row { reason::NoCapacity, "no_capacity", 503, "The pool is full; come back after Retry-After." },
        reason_row { reason::DeadlineUnreachable, "deadline_unreachable", 503, "The pool can't start this in time; come back after Retry-After." },
        reason_row { reason::DeadlinePassed, "deadline_passed", 504, "No answer came in time; the request may have run." },
        reason_row { reason::PoisonRequest, "poison_request", 422, "Endpoints crashed on this request; don't send it again unchanged." },
        reason_row { reason::SuspectedPoison, "suspected_poison", 503, "Connections to endpoints broke while they ran this request; come back after Retry-After." },
        reason_row { reason::ShuttingDown, "shutting_down", 503, "This VM is shutting down; send the request again." },
        reason_row { reason::TooManyConnections, "too_many_connections", 503, "This VM has too many connections; come back after Retry-After." },
        reason_row { reason::BuffersFull, "buffers_full", 503, "This VM holds too much for slow readers; come back after Retry-After." },
        reason_row { reason::LedgerUnavailable, "ledger_unavailable", 503, "The at-most-once ledger has no quorum; come back after Retry-After." },
        reason_row { reason::OutcomeUnknown, "outcome_unknown", 409, "The call may have run; check its effect before you use a new Idempotency-Key." },
        reason_row { reason::EndpointFailed, "endpoint_failed", 502, "The endpoint failed while it ran the request." },
        reason_row { reason::EndpointRefused, "endpoint_refused", 502, "The endpoint refused the request." },
        reason_row { reason::ConnectFailed, "connect_failed", 503, "No endpoint could be reached; come back after Retry-After." },
        reason_row { reason::KvExpired, "kv_expired", 503, "The prefill expired before its transfer; come back after Retry-After." },
        reason_row { reason::TransferStalled, "transfer_stalled", 503, "The KV transfer stalled; come back after Retry-After." },
        reason_row { reason::DecodeLost, "decode_lost", 502, "The decode endpoint was lost and no other could resume." },
        reason_row { reason::AnswerCrossed, "answer_crossed", 502, "The endpoint sent another request's answer." },
        reason_row { reason::RetryBudgetSpent, "retry_budget_spent", 503, "Too many attempts fail now; come back after Retry-After." },
        reason_row { reason::CallerGone, "caller_gone", 499, "The caller closed the connection." },
        reason_row { reason::Internal, "internal", 500, "A fault of the router; report the request id." },
    };

    const reason_row& findRow(reason value)
    {
        for (const auto& row : rows) {
            if (row.value == value)
                return row;
        }
        return rows.back();
    }
}

std::string_view reasonName(reason value)
{
    return findRow(value).name;
}

std::optional<reason> reasonFromName(std::string_view name)
{
    for (const auto& row : rows) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

unsigned httpStatus(reason value)
{
    return findRow(value).status;
}

std::string_view reasonAdvice(reason value)
{
    return findRow(value).advice;
}

std::string_view runStateName(run_state value)
{
    return value == run_state::NotRun ? "not_run" : "may_have_run";
}

} // namespace pistachiolatch
