#pragma once
#include "kernel/kernel.h"
#include <cstdint>
#include <string>
#include <vector>

namespace pistachiolatch {

/// A stream of similar requests of one organisation.
struct traffic_stream {
    std::string name;
    std::string organisation;
    /// "model" or "service".
    std::string kind = "model";
    std::string target;
    double requestsPerSecond = 1;
    std::uint32_t minPromptTokens = 20;
    std::uint32_t maxPromptTokens = 200;
    std::uint32_t maxTokens = 64;
    /// Method of a service call, "GET" or "POST"; POST requests carry an idempotency key.
    std::string method = "GET";
    /// Percentage of callers that disconnect before the end of the response.
    std::uint32_t abandonPercent = 0;
    /// Number of distinct prompt prefixes that requests share; 0 gives each prompt a prefix of its own.
    std::uint32_t prefixCount = 0;
    /// The organisation keeps within its rate limit, so a refusal for lack of tokens or capacity counts as wrongful.
    bool withinRate = true;
};

/// The traffic of one run, with the latency targets that its responses are measured against.
struct traffic_plan {
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration { 20000 };
    /// Time at the start whose requests are excluded from the report.
    std::chrono::milliseconds warmUp { 2000 };
    std::chrono::milliseconds firstTokenTarget { 980 };
    std::chrono::milliseconds perTokenTarget { 70 };
    std::vector<traffic_stream> streams;
};

/// Reads a traffic file and multiplies the rate of every stream by scale. Errors name the file, line and key and how to
/// correct it.
result<traffic_plan> readTrafficPlan(const std::string& path, double scale);

/// A request with the time to send it, counted from the start of the run.
struct planned_request {
    std::chrono::microseconds sendAt { 0 };
    std::size_t stream = 0;
    std::string prompt;
    bool abandons = false;
    std::uint64_t number = 0;
};

/// Generates all requests of a plan, sorted by send time: Poisson arrivals, identical for the same seed.
std::vector<planned_request> planRequests(const traffic_plan& plan);

} // namespace pistachiolatch
