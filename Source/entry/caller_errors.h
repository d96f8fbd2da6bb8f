#pragma once
#include "http/http.h"
#include "kernel/kernel.h"
#include <string>

namespace pistachiolatch {

/// A refusal or failure as a caller is told of it.
struct caller_error {
    reason why = reason::Internal;
    run_state run = run_state::NotRun;
    /// When coming back makes sense; zero leaves the header out.
    milliseconds retryAfter { 0 };
    /// Replaces the reason's general advice.
    std::string detail;
};

/// The error's body in the shape of the OpenAI interface, with the run state and the request id.
std::string errorBody(const caller_error& error, const std::string& requestId);
/// Sends an error as the answer, unless an answer was begun. Counts it.
task_of<void> sendError(http_exchange& exchange, const caller_error& error, const std::string& requestId, metrics& counters);

} // namespace pistachiolatch
