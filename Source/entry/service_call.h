#pragma once
#include "entry/caller_errors.h"
#include "entry/engine_cleanup.h"
#include <set>

namespace pistachiolatch {

/// What a service call came to.
struct service_result {
    std::optional<caller_error> error;
    unsigned status = 0;
    std::string contentType;
    std::string body;
    /// The answer of an earlier call under the same idempotency key.
    bool replayed = false;
};

/// A call as it goes to the service. Holds no key of the caller.
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

/// Routes calls to plain services; those that may not be repeated go through the at-most-once ledger.
class service_calls {
public:
    explicit service_calls(entry_context& context)
        : m_context(context)
    {
    }

    /// Answers one call to /services/NAME/....
    task_of<void> run(http_exchange& exchange, caller_identity caller);

private:
    /// How one call to an endpoint ended.
    struct call_end {
        call_failure failed = call_failure::None;
        bool callerGone = false;
        service_result result;
    };
    wire::place_request placeRequest(const service_request& request, std::uint32_t attempt, const std::set<std::string>& exclude, milliseconds patience) const;
    task_of<call_end> callEndpoint(const service_request& request, const wire::placement& placement, milliseconds timeLeft);
    task_of<service_result> runOnce(service_request request, const service_record& record);
    task_of<service_result> runRepeatable(service_request request, const service_record& record, bool idempotent);
    task_of<service_result> awaitOther(const service_request& request, const std::string& digest, const service_record& record);
    task_of<wire::ledger_reply> beginIntent(const service_request& request, const std::string& digest, const std::string& requestId);
    void finishIntent(const service_request& request, const service_result& result, bool sent);
    std::optional<service_result> fromLedger(const wire::ledger_reply& reply) const;

    entry_context& m_context;
};

} // namespace pistachiolatch
