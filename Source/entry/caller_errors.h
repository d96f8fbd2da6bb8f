#pragma once
#include "http/http.h"
#include "kernel/kernel.h"
#include <string>

namespace pistachiolatch {

/// A refusal or failure as it is reported to the caller.
struct caller_error {
    reason cause = reason::Internal;
    run_state runState = run_state::NotRun;
    /// When a retry makes sense; zero omits the Retry-After header.
    milliseconds retryAfter { 0 };
    /// Overrides the reason's default message if not empty.
    std::string detail;
};

/// Formats the error as in the OpenAI API, extended by the run state and the request id.
std::string errorBody(const caller_error& error, const std::string& requestId);
/// Sends and counts an error response. Does nothing if a response has been started.
task_of<void> sendError(http_exchange& exchange, const caller_error& error, const std::string& requestId, metrics& counters);

} // namespace pistachiolatch
