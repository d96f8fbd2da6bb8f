#pragma once
#include "kernel/kernel.h"
#include "membership/membership.h"
#include <algorithm>
#include <cstdint>
#include <set>
#include <string>

namespace pistachiolatch {

/// A call placed more recently than this may not be in its entry's list of running calls yet: the placement takes a few
/// milliseconds to arrive.
constexpr milliseconds maxPlacementDelay { 80 };

/// A call that needs an endpoint.
struct placement_request {
    /// Unique within the entry.
    std::uint64_t callId = 0;
    std::string service;
    /// Data centre of the requesting entry.
    std::string dataCentre;
    std::uint64_t promptTokens = 0;
    /// Estimated output length in tokens.
    std::uint64_t outputTokens = 0;
    /// Memory of each endpoint of the service, in tokens; 0 for services without engines.
    std::uint64_t memoryTokens = 0;
    /// Endpoints that this call has tried already.
    std::set<std::string> exclude;
    /// Endpoints that recently failed at this entry; used only if no other endpoint is available.
    std::set<std::string> avoid;
    version_requirement version {};

    /// Work of the call, compared between the organisations of a service.
    double cost() const { return static_cast<double>(std::max<std::uint64_t>(1, promptTokens + outputTokens)); }
};

/// The endpoints chosen for a call. Without a prefill engine the decode engine prefills the prompt itself.
struct engine_placement {
    /// No endpoint can take the call now: either none has room, or no engine can prefill the prompt in time.
    bool full = false;
    /// The decode engine, or the endpoint of a service without engines.
    std::string decode;
    std::string prefill;
    /// Set with `full` if memory is free and only the prefill engines are busy.
    bool prefillBusy = false;
};

} // namespace pistachiolatch
