#pragma once
#include "routing/routing.h"

namespace pistachiolatch {

/// How a send of a call to an endpoint ended.
enum class attempt_end {
    /// The endpoint's whole answer is there, or its stream ended whole.
    Answered,
    /// Nothing reached the endpoint: no connection came about.
    NotSent,
    /// The endpoint vouches that it has not run the call and never will.
    RefusedUnrun,
    /// The call may have run: the connection broke, the answer was no answer, or the endpoint failed.
    MayHaveRun,
    /// Nothing came in time; the call may have run or run still.
    Stalled,
};

/// What is known when a send failed.
struct failed_send {
    attempt_end end = attempt_end::MayHaveRun;
    call_kind kind = call_kind::NonIdempotent;
    bool resumable = false;
    /// Endpoints at which the call may have run by now, and how many the route allows.
    unsigned mayHaveRunAt = 0;
    unsigned mostEndpoints = 1;
    milliseconds timeLeft { 0 };
};

enum class next_step {
    SendAgain,
    /// Give up; the call has surely not run.
    RefuseNotRun,
    /// Give up; the call may have run.
    FailMayHaveRun,
};

/// Why a call is not sent again.
enum class no_retry_reason {
    None,
    /// The call may have run and must not run twice.
    NotIdempotent,
    /// The call may already have run at as many endpoints as its route allows.
    EndpointLimitReached,
    /// The time left before the deadline is too short for another send.
    TooLittleTimeLeft,
    /// The retry budget shared by the entries is spent.
    RetryBudgetSpent,
    /// No endpoint had capacity for the call in time.
    NoEndpoint,
    /// The crashes, certain or suspected, that count against the request have reached the limit.
    Poison,
};

/// The reason's name in logs. Thread safety: any thread.
std::string_view noRetryReasonName(no_retry_reason value);

/// Why the call may not be sent again after this failure, or None if it may. Does not consider the retry budget or the
/// availability of endpoints, so it never returns RetryBudgetSpent, NoEndpoint or Poison. Pure. Thread safety: any thread.
no_retry_reason noRetryReasonAfter(const failed_send& failed);

/// What to do after a failed send. A call that must not run twice is sent again only after proof that it has not run:
/// a lost answer looks the same as a lost request from here, and a second booking is worse than none. Pure.
/// Thread safety: any thread.
next_step afterFailedSend(const failed_send& failed);

} // namespace pistachiolatch
