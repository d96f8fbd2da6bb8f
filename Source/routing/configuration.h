#pragma once
#include "kernel/kernel.h"
#include <optional>
#include <string>
#include <vector>

namespace pistachiolatch {

/// What a call to a route is, which says what may be repeated.
enum class call_kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Answered by server-sent events; at most once, unless the route lets a stream be resumed.
    Stream,
};

struct weighted_service {
    std::string service;
    unsigned weight = 1;
};

struct route_config {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    call_kind kind = call_kind::NonIdempotent;
    /// Whether a stream may go on at another endpoint after the last whole event.
    bool resumable = false;
    /// Whether a key is not needed.
    bool isPublic = false;
    /// The longest time that a caller is kept waiting.
    milliseconds timeout { 0 };
    /// The time within which an answer, or a stream's first event, is as good as it gets.
    milliseconds latencyTarget { 0 };
    /// The longest pause between two events that callers are content with.
    milliseconds gapTarget { 0 };
    unsigned priority = 0;
    /// Endpoints at which one attempt of a caller may run.
    unsigned maxEndpoints = 1;
    std::vector<weighted_service> services;
};

/// What the endpoints of a service are, where they are model engines.
struct engine_config {
    unsigned slots = 0;
    std::uint64_t memoryTokens = 0;
    /// Tokens that one event of a stream stands for.
    unsigned tokensPerEvent = 1;
    /// How long a prefill's result is kept for a decode endpoint to fetch it.
    milliseconds handleLifetime { 0 };
};

struct service_config {
    std::string name;
    /// Connections that each endpoint takes from all entries together.
    unsigned maxConnections = 0;
    std::optional<engine_config> engine;
};

struct organisation_config {
    std::string name;
    std::vector<std::string> keys;
    /// Goes before the priority of the route.
    std::optional<unsigned> priority;
    /// Tokens a second and at once, over all entries; no limit when the rate is 0.
    std::uint64_t rate = 0;
    std::uint64_t burst = 0;
    /// Whether a call counts by its tokens, and what one that names none counts.
    bool limitsTokens = false;
    std::uint64_t plainTokens = 1;
};

/// What a caller may send and how long it may take.
struct caller_limits {
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    milliseconds headerTimeout { 3000 };
    milliseconds idleTimeout { 15000 };
};

/// One whole configuration.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route_config> routes;
    std::vector<service_config> services;
    std::vector<organisation_config> organisations;
    caller_limits limits;
};

} // namespace pistachiolatch
