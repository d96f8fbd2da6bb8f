#include "forwarding/retry_policy.h"

namespace pistachiolatch {

namespace {
    /// With less time left, another attempt can't complete before the deadline and would only load an endpoint.
    constexpr milliseconds minTimeForAttempt { 30 };
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
    case no_retry_reason::VersionUnavailable:
        return "version_unavailable";
    case no_retry_reason::Poison:
        return "poison";
    }
    return "none";
}

bool hasCertainlyNotRun(attempt_outcome outcome)
{
    return outcome == attempt_outcome::NotSent || outcome == attempt_outcome::RefusedNotRun;
}

no_retry_reason determineNoRetryReason(const failed_attempt& attempt)
{
    if (attempt.timeLeft < minTimeForAttempt)
        return no_retry_reason::TooLittleTimeLeft;
    bool idempotent = attempt.kind == call_kind::Idempotent || (attempt.kind == call_kind::Stream && attempt.resumable);
    if (idempotent)
        return attempt.possibleRuns < attempt.maxEndpoints ? no_retry_reason::None : no_retry_reason::EndpointLimitReached;
    return hasCertainlyNotRun(attempt.outcome) && attempt.possibleRuns == 0 ? no_retry_reason::None : no_retry_reason::NotIdempotent;
}

retry_decision decideRetry(const failed_attempt& attempt)
{
    if (determineNoRetryReason(attempt) == no_retry_reason::None)
        return retry_decision::Retry;
    return attempt.possibleRuns == 0 ? retry_decision::FailNotRun : retry_decision::FailMayHaveRun;
}

} // namespace pistachiolatch
