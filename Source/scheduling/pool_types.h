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
    bool breaker = true;
    /// Weighted fair queueing between organisations; off means first come, first served.
    bool fair = true;
    /// Refuse at once what cannot meet its first-token target.
    bool admission = true;
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

    std::uint32_t totalTokens() const { return place.prompt_tokens() + place.max_tokens(); }
    std::uint32_t pieces() const { return (totalTokens() + tokensPerPiece - 1) / tokensPerPiece; }
};

/// The endpoints a policy chose. A service call has no prefill endpoint.
struct chosen_endpoints {
    std::string prefill;
    std::string decode;
};

/// An answer to a place request: endpoints, or a refusal with a time to come back.
struct pool_decision {
    std::string entryAddress;
    std::uint64_t entryIncarnation = 0;
    std::uint64_t call = 0;
    wire::placement placement;
};

} // namespace pistachiolatch
