#pragma once
#include "kernel/kernel.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace pistachiolatch {

/// The spread of the true length of an answer around its forecast, as the standard deviation of its logarithm. Guesses or
/// past answers alone err more.
constexpr double forecastSpread = 0.38;

/// Forecasts how many tokens an answer will have, from the caller's guess and from what earlier answers of its route had.
/// Load pattern: engines are full, and one that holds a few answers longer than forecast puts a stream back and reads its
/// prompt again while all its other streams stand still. A guess is right in the middle and often far off, and so is the
/// usual length; together they err less.
/// Pure; not thread-safe.
class output_estimator {
public:
    /// The median of the tokens that an answer will have. Units: tokens. The result is at most what is allowed.
    std::uint64_t estimate(const std::string& route, std::uint64_t allowed, std::optional<std::uint64_t> guess) const;
    /// Takes in an answer that ended whole.
    void record(const std::string& route, std::uint64_t generated);

private:
    struct usual_length {
        double meanLog = 0;
        unsigned answers = 0;
    };
    std::map<std::string, usual_length> m_routes;
};

/// What an answer with that forecast has yet to generate, in the mean, after it has generated so much. Answers that
/// outgrew their forecast have more to come than a fixed rest: the longer they have run, the longer they will.
/// Pure. Thread safety: any thread. Units: tokens.
double expectedRest(std::uint64_t forecast, std::uint64_t generated);

} // namespace pistachiolatch
