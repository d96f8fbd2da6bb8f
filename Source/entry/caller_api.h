#pragma once
#include "entry/caller_errors.h"
#include "entry/service_call.h"
#include <optional>

namespace pistachiolatch {

/// The HTTP API for callers and endpoints: authentication, routing and errors. Handlers run on traffic threads.
class caller_api {
public:
    explicit caller_api(entry_context& context);

    /// Handles one request of a caller.
    task_of<void> handleCallerRequest(http_exchange& exchange);
    /// Handles one request of an endpoint (POST /announce).
    task_of<void> handleEndpointRequest(http_exchange& exchange);
    /// Makes the response to a request that could not be read, and counts the refusal.
    http_error_response makeRefusal(reason cause) const;

private:
    /// Routes a request and answers an unexpected exception with an internal error.
    task_of<void> routeSafely(http_exchange& exchange, const std::string& requestId);
    task_of<void> route(http_exchange& exchange, const std::string& requestId);
    /// Checks the key and fills in the caller. Returns the error if the request is not accepted.
    std::optional<caller_error> authenticate(const http_exchange& exchange, caller_identity& caller) const;
    task_of<void> listModels(http_exchange& exchange, const caller_identity& caller);
    std::string makeRequestId() const;

    entry_context& m_context;
    service_router m_services;
};

} // namespace pistachiolatch
