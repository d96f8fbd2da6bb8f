#pragma once
#include "kernel/kernel.h"
#include <optional>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Kind of a route's calls, which determines whether they may be retried.
enum class call_kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per attempt of the caller.
    NonIdempotent,
    /// Answered by server-sent events; runs at most once, unless the route allows streams to be resumed.
    Stream,
};

struct weighted_service {
    std::string service;
    std::uint64_t weight = 1;
};

struct route_config {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    call_kind kind = call_kind::NonIdempotent;
    /// Whether a stream may continue at another endpoint after its last complete event.
    bool resumable = false;
    /// Whether callers need no API key.
    bool isPublic = false;
    /// Maximum duration of a call.
    milliseconds timeout { 0 };
    /// Target for the time to the answer or to a stream's first event; faster brings no benefit.
    milliseconds latencyTarget { 0 };
    /// Target for the longest gap between two events of a stream.
    milliseconds gapTarget { 0 };
    unsigned priority = 0;
    /// Maximum number of endpoints at which one attempt of a caller may run.
    unsigned maxEndpoints = 1;
    std::vector<weighted_service> services;
};

/// Properties of a service's endpoints if they are model engines.
struct engine_config {
    unsigned slots = 0;
    std::uint64_t memoryTokens = 0;
    /// Number of tokens per event of a stream.
    unsigned tokensPerEvent = 1;
    /// How long the result of a prefill is kept until a decode endpoint fetches it.
    milliseconds handleLifetime { 0 };
};

struct service_config {
    std::string name;
    /// Maximum number of connections per endpoint from all entries together.
    unsigned maxConnections = 0;
    /// Calls per second that an endpoint tolerates until it has warmed up; 0 means that it needs no limit.
    double coldCallsPerSecond = 0;
    std::optional<engine_config> engine;
};

struct organisation_config {
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the priority of the route.
    std::optional<unsigned> priority;
    /// Tokens per second and burst size in tokens, over all entries; a rate of 0 means no limit.
    std::uint64_t rate = 0;
    std::uint64_t burst = 0;
    /// Whether a call costs its prompt and output tokens; otherwise it costs 1.
    bool limitsTokens = false;
    /// Cost of a call that states no token counts.
    std::uint64_t plainTokens = 1;
};

/// Size limits and timeouts for callers' requests and connections.
struct caller_limits {
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    milliseconds headerTimeout { 3000 };
    milliseconds idleTimeout { 15000 };
};

/// A complete configuration.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route_config> routes;
    std::vector<service_config> services;
    std::vector<organisation_config> organisations;
    /// Whether callers need API keys although there may be no organisations, so that no key is valid.
    bool requiresKeys = false;
    caller_limits limits;
};

} // namespace pistachiolatch
