#pragma once
#include "kernel/kernel.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace pistachiolatch {

/// Standard deviation of the logarithm of the actual output length around its estimate. Hints alone and past answers
/// alone have larger errors.
constexpr double logLengthStdDev = 0.38;

/// The chance that a call ends within that many tokens, by its estimated output. Thread safety: any thread.
double chanceToEndWithin(std::uint64_t estimated, double tokens);

/// Estimates the output length of a call from the caller's hint and from earlier answers of its route. Load pattern:
/// on a full engine a few answers that are longer than estimated cause preemption; the prompt of the preempted stream
/// is prefilled again while all other streams of the engine stand still. Hints are right in the median but often far
/// off, and so is the route's mean; the combination has a smaller error than either.
/// Pure; not thread-safe.
class output_estimator {
public:
    /// Median of the expected output length in tokens, at most the number allowed.
    std::uint64_t estimate(const std::string& route, std::uint64_t allowed, std::optional<std::uint64_t> hint) const;
    /// Records the length of a complete answer.
    void record(const std::string& route, std::uint64_t generated);

private:
    struct route_history {
        double logMean = 0;
        unsigned samples = 0;
    };
    std::map<std::string, route_history> m_routes;
};

/// Mean number of tokens that an answer with the estimated length still has to generate after those generated so far.
/// For answers that exceed their estimate this grows with what they have generated; a constant would be too low.
/// Pure. Thread safety: any thread.
double expectedRemaining(std::uint64_t estimated, std::uint64_t generated);

} // namespace pistachiolatch
