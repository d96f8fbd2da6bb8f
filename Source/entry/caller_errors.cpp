#include "entry/caller_errors.h"

#include <boost/json.hpp>

namespace pistachiolatch {

namespace {
    constexpr unsigned firstServerError = 500;
    constexpr unsigned unauthorized = 401;

    std::string errorType(unsigned status)
    {
        if (status == unauthorized)
            return "authentication_error";
        return status >= firstServerError ? "server_error" : "invalid_request_error";
    }
}

std::string errorBody(const caller_error& error, const std::string& requestId)
{
    boost::json::object inner;
    inner["message"] = error.detail.empty() ? std::string(reasonAdvice(error.cause)) : error.detail;
    inner["type"] = errorType(httpStatus(error.cause));
    inner["code"] = std::string(reasonName(error.cause));
    inner["run"] = std::string(runStateName(error.runState));
    inner["request_id"] = requestId;
    if (error.retryAfter.count() > 0)
        inner["retry_after_ms"] = error.retryAfter.count();
    boost::json::object body;
    body["error"] = std::move(inner);
    return boost::json::serialize(body);
}

task_of<void> sendError(http_exchange& exchange, const caller_error& error, const std::string& requestId, metrics& counters)
{
    if (exchange.responseStarted())
        co_return;
    counters.countRefusal(error.cause);
    http_headers headers { { "X-Request-Id", requestId } };
    if (error.retryAfter.count() > 0)
        headers.emplace_back("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(error.retryAfter).count()));
    co_await exchange.respond(httpStatus(error.cause), "application/json", errorBody(error, requestId), headers);
}

} // namespace pistachiolatch
