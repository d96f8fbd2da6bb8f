#include "forwarding/retry_policy.h"

namespace pistachiolatch {

namespace {
    /// With less time left than this, another send can't bring an answer; it would only take an endpoint's time.
    constexpr milliseconds leastTimeForSend { 30 };
}

std::string_view noRetryReasonName(no_retry_reason value)
{
    switch (value) {
    case no_retry_reason::None:
        return "none";
    case no_retry_reason::NotIdempotent:
        return "not_idempotent";
    case no_retry_reason::EndpointLimitReached:
        return "endpoint_limit_reached";
    case no_retry_reason::TooLittleTimeLeft:
        return "too_little_time_left";
    case no_retry_reason::RetryBudgetSpent:
        return "retry_budget_spent";
    case no_retry_reason::NoEndpoint:
        return "no_endpoint";
    case no_retry_reason::Poison:
        return "poison";
    }
    return "none";
}

no_retry_reason noRetryReasonAfter(const failed_send& failed)
{
    if (failed.timeLeft < leastTimeForSend)
        return no_retry_reason::TooLittleTimeLeft;
    bool unrun = failed.end == attempt_end::NotSent || failed.end == attempt_end::RefusedUnrun;
    bool idempotent = failed.kind == call_kind::Idempotent || (failed.kind == call_kind::Stream && failed.resumable);
    if (idempotent)
        return failed.mayHaveRunAt < failed.mostEndpoints ? no_retry_reason::None : no_retry_reason::EndpointLimitReached;
    return unrun && failed.mayHaveRunAt == 0 ? no_retry_reason::None : no_retry_reason::NotIdempotent;
}

next_step afterFailedSend(const failed_send& failed)
{
    if (noRetryReasonAfter(failed) == no_retry_reason::None)
        return next_step::SendAgain;
    return failed.mayHaveRunAt == 0 ? next_step::RefuseNotRun : next_step::FailMayHaveRun;
}

} // namespace pistachiolatch
