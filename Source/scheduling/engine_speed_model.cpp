#include "scheduling/engine_speed_model.h"

#include "scheduling/time_units.h"
#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Weight of a new sample in a running mean; the first samples are averaged with equal weights.
    constexpr double minSampleWeight = 0.05;
    /// Factor by which each new prefill reduces the weight of earlier ones.
    constexpr double decayFactor = 0.98;
    /// Number of prefills needed for a regression.
    constexpr unsigned minPrefills = 8;
    /// A prefill that took longer than this multiple of the expected time was queued and is clamped to it. When engines
    /// really become slower, each prefill raises the estimate by up to this factor.
    constexpr double maxOutlierFactor = 1.3;
    /// Minimum standard deviation of the prompt lengths, relative to their mean, for a regression.
    constexpr double minRelativeSpread = 0.1;
    constexpr milliseconds minGenerationTime { 200 };

    double nextSampleWeight(unsigned& count)
    {
        ++count;
        return std::max(minSampleWeight, 1.0 / count);
    }
}

void engine_speed_model::recordPrefill(std::uint64_t tokens, milliseconds took)
{
    if (tokens == 0 || took.count() <= 0)
        return;
    auto x = static_cast<double>(tokens);
    auto y = static_cast<double>(took.count());
    if (++m_prefillCount > minPrefills)
        y = std::min(y, maxOutlierFactor * (m_prefillOverheadMs + m_prefillMsPerToken * x));
    auto& sums = m_prefillSums;
    sums.weight = sums.weight * decayFactor + 1;
    sums.tokens = sums.tokens * decayFactor + x;
    sums.ms = sums.ms * decayFactor + y;
    sums.tokensTokens = sums.tokensTokens * decayFactor + x * x;
    sums.tokensMs = sums.tokensMs * decayFactor + x * y;
    auto meanTokens = sums.tokens / sums.weight;
    auto meanMs = sums.ms / sums.weight;
    auto variance = sums.tokensTokens / sums.weight - meanTokens * meanTokens;
    bool canFitSlope = variance > minRelativeSpread * minRelativeSpread * meanTokens * meanTokens;
    if (m_prefillCount < minPrefills || !canFitSlope) {
        // Overhead and time per token can't be separated yet; attribute half of the time to each.
        m_prefillMsPerToken = meanMs / meanTokens / 2;
    } else {
        auto covariance = sums.tokensMs / sums.weight - meanTokens * meanMs;
        m_prefillMsPerToken = std::clamp(covariance / variance, meanMs / meanTokens / 10, meanMs / meanTokens);
    }
    m_prefillOverheadMs = meanMs - m_prefillMsPerToken * meanTokens;
}

void engine_speed_model::recordGeneration(std::uint64_t tokens, milliseconds took)
{
    if (took < minGenerationTime || tokens == 0)
        return;
    double speed = static_cast<double>(tokens) / static_cast<double>(took.count());
    m_generatedTokensPerMs += nextSampleWeight(m_generationCount) * (speed - m_generatedTokensPerMs);
}

void engine_speed_model::recordFirstEvent(milliseconds afterPrefill)
{
    m_firstEventMs += nextSampleWeight(m_firstEventCount) * (static_cast<double>(afterPrefill.count()) - m_firstEventMs);
}

bool engine_speed_model::hasEnoughSamples() const
{
    constexpr unsigned minGenerations = 5;
    return m_prefillCount >= minPrefills && m_generationCount >= minGenerations;
}

duration engine_speed_model::prefillTime(std::uint64_t tokens) const
{
    return fromMs(m_prefillMsPerToken * static_cast<double>(tokens));
}

duration engine_speed_model::timeToFirstEvent(std::uint64_t tokens) const
{
    return prefillTime(tokens) + fromMs(m_prefillOverheadMs + m_firstEventMs);
}

} // namespace pistachiolatch
