#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <set>
#include <string>

namespace pistachiolatch {

/// Engine memory is allocated in pieces of this many tokens.
constexpr std::uint32_t tokensPerPiece = 4096;

enum class pool_kind {
    Model,
    Service,
};

/// Placement settings of a pool, from the scheduler's settings.
struct pool_settings {
    std::string policy = "reserve";
    /// Whether to use a circuit breaker, in addition to suspending endpoints whose connection broke.
    bool breaker = false;
    /// Weighted fair queueing between organisations; otherwise first come, first served.
    bool fair = true;
    /// Refuse requests on arrival that can't start within their patience.
    bool admission = true;
    /// Whether requests that can't meet their first-token target yield to those that can.
    bool deferLate = true;
    /// Percentage of the work that goes to late requests all the same.
    std::uint32_t lateSharePercent = 10;
};

/// The latency targets of a pool's model.
struct pool_targets {
    milliseconds firstToken { 980 };
    milliseconds perToken { 70 };
};

/// A request for endpoints.
struct pool_request {
    wire::place_request place;
    std::string entryAddress;
    std::string entryName;
    std::uint64_t entryIncarnation = 0;
    std::uint64_t call = 0;
    std::uint32_t weight = 1;
    std::uint32_t inFlightShare = 100;
    time_point arrived {};
    time_point deadline {};
    /// Can't meet its first-token target any more and yields to requests that can.
    bool late = false;

    std::uint32_t totalTokens() const { return place.prompt_tokens() + place.max_tokens(); }
    std::uint32_t pieces() const { return (totalTokens() + tokensPerPiece - 1) / tokensPerPiece; }
};

/// The endpoints that a policy chose. A service call has no prefill endpoint.
struct chosen_endpoints {
    std::string prefill;
    std::string decode;
    /// When the decode engine is expected to hold the KV cache; the epoch if the policy doesn't predict it.
    time_point ready {};
};

/// The response to a place request: endpoints, or a refusal with a retry time.
struct pool_decision {
    std::string entryAddress;
    std::uint64_t entryIncarnation = 0;
    std::uint64_t call = 0;
    wire::placement placement;
};

} // namespace pistachiolatch
