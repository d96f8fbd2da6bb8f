#pragma once
#include "routing/routing.h"

namespace pistachiolatch {

/// Outcome of one attempt to run a call at an endpoint.
enum class attempt_outcome {
    /// The complete response or stream was received.
    Completed,
    /// No connection was established, so the endpoint received nothing.
    NotSent,
    /// The endpoint guarantees that it has not run the call and never will.
    RefusedNotRun,
    /// The call may have run: the connection broke, the response was invalid, or the endpoint failed.
    MayHaveRun,
    /// The attempt timed out; the call may have run or still be running.
    Stalled,
};

/// Whether no endpoint has run or will run the call because of an attempt with this outcome.
/// Pure. Thread safety: any thread.
bool hasCertainlyNotRun(attempt_outcome outcome);

/// A failed attempt and the state of its call, as input to the retry decision.
struct failed_attempt {
    attempt_outcome outcome = attempt_outcome::MayHaveRun;
    call_kind kind = call_kind::NonIdempotent;
    bool resumable = false;
    /// Number of endpoints that may have run the call, and the maximum that the route allows.
    unsigned possibleRuns = 0;
    unsigned maxEndpoints = 1;
    milliseconds timeLeft { 0 };
};

enum class retry_decision {
    Retry,
    /// Fail the call, which has certainly not run.
    FailNotRun,
    /// Fail the call, which may have run.
    FailMayHaveRun,
};

/// Why a call is not retried.
enum class no_retry_reason {
    None,
    /// The call is not idempotent and may have run.
    NotIdempotent,
    /// The call may already have run at as many endpoints as its route allows.
    EndpointLimitReached,
    /// The time left before the deadline is too short for another attempt.
    TooLittleTimeLeft,
    /// The retry budget shared by the entries is spent.
    RetryBudgetSpent,
    /// No endpoint had capacity for the call in time.
    NoEndpoint,
    /// No endpoint of the software version that began the stream serves.
    VersionUnavailable,
    /// The number of confirmed and suspected crashes attributed to the request has reached the limit.
    Poison,
};

/// The reason's name in logs. Thread safety: any thread.
std::string_view noRetryReasonName(no_retry_reason value);

/// Returns why the call must not be retried after this attempt, or None if it may be. Does not consider the retry
/// budget, the availability of endpoints or crashes, so it never returns RetryBudgetSpent, NoEndpoint, VersionUnavailable
/// or Poison.
/// Pure. Thread safety: any thread.
no_retry_reason determineNoRetryReason(const failed_attempt& attempt);

/// Decides what to do after a failed attempt. A non-idempotent call is retried only if it certainly has not run: a lost
/// response can't be told from a lost request, and a duplicate execution is worse than none.
/// Pure. Thread safety: any thread.
retry_decision decideRetry(const failed_attempt& attempt);

} // namespace pistachiolatch
