#pragma once
#include "entry/caller_errors.h"
#include "entry/service_call.h"
#include <optional>

namespace pistachiolatch {

/// The callers' interface: keys, routes, errors. Handlers run on traffic threads.
class caller_api {
public:
    explicit caller_api(entry_context& context);

    /// Answers one request of a caller.
    task_of<void> handle(http_exchange& exchange);
    /// Answers one request of an endpoint (POST /announce).
    task_of<void> handleEndpoint(http_exchange& exchange);
    /// The answer to a request that could not be read.
    http_error_response refuse(reason why) const;

private:
    /// Routes a request and turns a fault of this program into an answer.
    task_of<void> guardedRoute(http_exchange& exchange, const std::string& requestId);
    task_of<void> route(http_exchange& exchange, const std::string& requestId);
    std::optional<caller_error> identify(const http_exchange& exchange, caller_identity& caller) const;
    task_of<void> listModels(http_exchange& exchange, const caller_identity& caller);
    std::string nextRequestId() const;

    entry_context& m_context;
    service_calls m_services;
};

} // namespace pistachiolatch
