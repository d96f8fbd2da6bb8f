#include "scheduling/output_estimator.h"

#include <algorithm>
#include <cmath>

namespace pistachiolatch {

namespace {
    /// Weight of the caller's guess beside the usual length of the route's answers; the errors of both are alike.
    constexpr double guessWeight = 0.45;
    /// Share of the allowed output that answers use, in the middle, where nothing is known of a route.
    constexpr double usualShare = 0.5;
    /// Answers after which a route's own mean counts for more than the usual share.
    constexpr double answersToTrust = 5;
    /// Weight of a new answer in the mean once there are many, so that it follows a route whose answers change.
    constexpr double newestWeight = 0.02;

    double normalTail(double x)
    {
        return std::erfc(x / std::sqrt(2.0)) / 2;
    }
}

std::uint64_t output_estimator::estimate(const std::string& route, std::uint64_t allowed, std::optional<std::uint64_t> guess) const
{
    if (allowed == 0)
        return 0;
    double usual = std::log(usualShare * static_cast<double>(allowed));
    auto known = m_routes.find(route);
    if (known != m_routes.end()) {
        double trust = known->second.answers / (known->second.answers + answersToTrust);
        usual += trust * (known->second.meanLog - usual);
    }
    if (guess && *guess > 0)
        usual += guessWeight * (std::log(static_cast<double>(*guess)) - usual);
    return std::min(allowed, static_cast<std::uint64_t>(std::exp(usual)));
}

void output_estimator::record(const std::string& route, std::uint64_t generated)
{
    if (generated == 0)
        return;
    auto& usual = m_routes[route];
    ++usual.answers;
    usual.meanLog += std::max(newestWeight, 1.0 / usual.answers) * (std::log(static_cast<double>(generated)) - usual.meanLog);
}

double expectedRest(std::uint64_t forecast, std::uint64_t generated)
{
    if (forecast == 0)
        return 0;
    // The mean of a log-normal length beyond what is there already, less that.
    double median = static_cast<double>(forecast);
    double mean = median * std::exp(forecastSpread * forecastSpread / 2);
    if (generated == 0)
        return mean;
    double have = static_cast<double>(generated);
    double distance = std::log(have / median) / forecastSpread;
    // Beyond three times the spread both tails are too thin to divide; the rest is then about this part of what is there.
    constexpr double farOut = 3;
    constexpr double restFarOut = 0.12;
    if (distance > farOut)
        return restFarOut * have;
    return mean * normalTail(distance - forecastSpread) / normalTail(distance) - have;
}

} // namespace pistachiolatch
