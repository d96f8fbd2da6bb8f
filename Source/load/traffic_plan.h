#pragma once
#include "kernel/kernel.h"
#include <cstdint>
#include <string>
#include <vector>

namespace pistachiolatch {

/// One kind of request of one organisation.
struct traffic_stream {
    std::string name;
    std::string organisation;
    /// "model" or "service".
    std::string kind = "model";
    std::string target;
    double perSecond = 1;
    std::uint32_t promptTokensLeast = 20;
    std::uint32_t promptTokensMost = 200;
    std::uint32_t maxTokens = 64;
    /// "GET" or "POST" of a service call; POST carries an idempotency key.
    std::string method = "GET";
    /// Percent of callers that leave before the end.
    std::uint32_t leavePercent = 0;
    /// Prompts share one of this many beginnings; 0 means that each is its own.
    std::uint32_t prefixes = 0;
    /// The organisation keeps within its rate, so that no refusal for lack of anything is its fault.
    bool withinRate = true;
};

/// A fault at a given time, carried out by a command of the one who measures.
struct traffic_plan {
    std::uint64_t seed = 1;
    std::chrono::milliseconds length { 20000 };
    /// Left out of the figures: the fleet warms up.
    std::chrono::milliseconds warmUp { 2000 };
    std::chrono::milliseconds firstToken { 980 };
    std::chrono::milliseconds perToken { 70 };
    std::vector<traffic_stream> streams;
};

/// Reads a traffic file. Errors: file, line, key and what to do.
result<traffic_plan> readTrafficPlan(const std::string& path, double scale);

/// One request that is to be sent at a time after the start.
struct planned_request {
    std::chrono::microseconds at { 0 };
    std::size_t stream = 0;
    std::string prompt;
    bool leaves = false;
    std::uint64_t number = 0;
};

/// All requests of a plan in the order of their times: Poisson arrivals, the same for the same seed.
std::vector<planned_request> planRequests(const traffic_plan& plan);

} // namespace pistachiolatch
