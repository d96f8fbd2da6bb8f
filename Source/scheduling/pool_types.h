#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <set>
#include <string>

namespace pistachiolatch {

/// Engine memory is handed out in pieces of this many tokens.
constexpr std::uint32_t tokensPerPiece = 4096;

enum class pool_kind {
    Model,
    Service,
};

/// How a pool decides; from the scheduler's settings.
struct pool_settings {
    std::string policy = "reserve";
    /// Keep work from an endpoint that failed again and again, beside the suspension of endpoints whose connection
    /// broke.
    bool breaker = false;
    /// Weighted fair queueing between organisations; off means first come, first served.
    bool fair = true;
    /// Refuse at once what cannot start within its patience.
    bool admission = true;
    /// Let requests that can't meet their first-token target yield to those that can.
    bool deferLate = true;
    /// Percent of the work that late requests get all the same.
    std::uint32_t lateSharePercent = 10;
};

/// The targets of a pool's model.
struct pool_targets {
    milliseconds firstToken { 980 };
    milliseconds perToken { 70 };
};

/// A request that wants an endpoint.
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
    /// Past its first-token target whatever happens; yields to requests that can still meet theirs.
    bool late = false;

    std::uint32_t totalTokens() const { return place.prompt_tokens() + place.max_tokens(); }
    std::uint32_t pieces() const { return (totalTokens() + tokensPerPiece - 1) / tokensPerPiece; }
};

/// The endpoints a policy chose. A service call has no prefill endpoint.
struct chosen_endpoints {
    std::string prefill;
    std::string decode;
    /// When the decode engine is expected to hold the KV cache; the start of time when the policy does not predict.
    time_point ready {};
};

/// An answer to a place request: endpoints, or a refusal with a time to come back.
struct pool_decision {
    std::string entryAddress;
    std::uint64_t entryIncarnation = 0;
    std::uint64_t call = 0;
    wire::placement placement;
};

} // namespace pistachiolatch
