#pragma once
#include "entry/caller_errors.h"
#include "entry/engine_cleanup.h"
#include <set>

namespace pistachiolatch {

/// The result of a service call.
struct service_result {
    std::optional<caller_error> error;
    unsigned status = 0;
    std::string contentType;
    std::string body;
    /// Whether this is the stored response of an earlier call with the same idempotency key.
    bool replayed = false;
};

/// A call to a service. Doesn't contain the caller's API key.
struct service_request {
    caller_identity caller;
    std::string service;
    std::string method;
    std::string target;
    std::string contentType;
    std::string accept;
    std::string body;
    std::string idempotencyKey;
};

/// Routes calls to services other than models. Non-idempotent calls with a key go through the at-most-once ledger.
class service_router {
public:
    explicit service_router(entry_context& context)
        : m_context(context)
    {
    }

    /// Handles one call to /services/NAME/....
    task_of<void> handle(http_exchange& exchange, caller_identity caller);

private:
    /// The result of one call to an endpoint.
    struct call_result {
        call_failure failed = call_failure::None;
        bool callerGone = false;
        service_result result;
    };
    wire::place_request makePlaceRequest(const service_request& request, std::uint32_t attempt, const std::set<std::string>& exclude, milliseconds queueTimeout) const;
    task_of<call_result> callEndpoint(const service_request& request, const wire::placement& placement, milliseconds timeLeft);
    task_of<service_result> runAtMostOnce(service_request request, const service_record& record);
    task_of<service_result> runWithRetries(service_request request, const service_record& record, bool idempotent);
    task_of<service_result> awaitEarlierCall(const service_request& request, const std::string& digest, const service_record& record);
    task_of<wire::ledger_reply> recordIntent(const service_request& request, const std::string& digest, const std::string& requestId);
    void recordOutcome(const service_request& request, const service_result& result, bool sent);
    /// The result that the ledger's reply determines; nothing while the call is running.
    std::optional<service_result> resultFromLedger(const wire::ledger_reply& reply) const;

    entry_context& m_context;
};

} // namespace pistachiolatch
