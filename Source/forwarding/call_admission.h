#pragma once
#include "forwarding/call_types.h"
#include "routing/routing.h"

namespace pistachiolatch {

/// The route and the organisation that a request's head selects, or why the request is refused.
struct call_admission {
    const route_config* route = nullptr;
    /// Null if the request needs no key.
    const organisation_config* organisation = nullptr;
    std::optional<reason> refusal;
};

/// Selects the route and the organisation of a request. Its body isn't looked at, so that it can be refused before that is read.
/// Thread safety: any thread.
call_admission admitCall(const route_table& table, const caller_request& head, const request_metadata& metadata);

} // namespace pistachiolatch
