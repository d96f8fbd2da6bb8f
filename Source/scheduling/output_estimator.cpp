#include "scheduling/output_estimator.h"

#include <algorithm>
#include <cmath>

namespace pistachiolatch {

namespace {
    /// Weight of the caller's hint against the estimate from the route's answers; the errors of both are similar.
    constexpr double hintWeight = 0.45;
    /// Median share of the allowed output that answers use, for routes without history.
    constexpr double defaultShare = 0.5;
    /// Number of answers after which a route's own mean outweighs the default.
    constexpr double priorSamples = 5;
    /// Minimum weight of a new answer in the mean, so that the mean follows changes in a route's answers.
    constexpr double minSampleWeight = 0.02;

    double normalTail(double x)
    {
        return std::erfc(x / std::sqrt(2.0)) / 2;
    }
}

std::uint64_t output_estimator::estimate(const std::string& route, std::uint64_t allowed, std::optional<std::uint64_t> hint) const
{
    if (allowed == 0)
        return 0;
    double logLength = std::log(defaultShare * static_cast<double>(allowed));
    auto history = m_routes.find(route);
    if (history != m_routes.end()) {
        double trust = history->second.samples / (history->second.samples + priorSamples);
        logLength += trust * (history->second.logMean - logLength);
    }
    if (hint && *hint > 0)
        logLength += hintWeight * (std::log(static_cast<double>(*hint)) - logLength);
    return std::min(allowed, static_cast<std::uint64_t>(std::exp(logLength)));
}

void output_estimator::record(const std::string& route, std::uint64_t generated)
{
    if (generated == 0)
        return;
    auto& history = m_routes[route];
    ++history.samples;
    history.logMean += std::max(minSampleWeight, 1.0 / history.samples) * (std::log(static_cast<double>(generated)) - history.logMean);
}

double chanceToEndWithin(std::uint64_t estimated, double tokens)
{
    if (estimated == 0)
        return 1;
    if (tokens <= 0)
        return 0;
    return 1 - normalTail(std::log(tokens / static_cast<double>(estimated)) / logLengthStdDev);
}

double expectedRemaining(std::uint64_t estimated, std::uint64_t generated)
{
    if (estimated == 0)
        return 0;
    // Mean of the log-normal length distribution conditional on exceeding the tokens generated, minus those tokens.
    double median = static_cast<double>(estimated);
    double mean = median * std::exp(logLengthStdDev * logLengthStdDev / 2);
    if (generated == 0)
        return mean;
    double length = static_cast<double>(generated);
    double distance = std::log(length / median) / logLengthStdDev;
    // Beyond three standard deviations both tails are too small to divide; the remainder is then about this share of
    // the tokens generated.
    constexpr double maxTailDistance = 3;
    constexpr double tailRemainingShare = 0.12;
    if (distance > maxTailDistance)
        return tailRemainingShare * length;
    return mean * normalTail(distance - logLengthStdDev) / normalTail(distance) - length;
}

} // namespace pistachiolatch
