#include "scheduling/engine_speed_model.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// How much the newest call counts once there are many; before that all count alike.
    constexpr double newestWeight = 0.05;
    /// What is left of a reading's weight at the next.
    constexpr double readingKept = 0.98;
    /// Readings from which on a line is drawn through them.
    constexpr unsigned leastReadings = 8;
    /// A reading that took this many times as long as expected stood in a queue, and counts as if it had taken no longer.
    /// Where engines turn slow the line grows steeper by as much with each.
    constexpr double mostExcess = 1.3;
    /// Prompts must differ by this share of their mean for a line to have a slope.
    constexpr double leastSpread = 0.1;
    constexpr milliseconds leastGenerating { 200 };

    double weightOf(unsigned& count)
    {
        ++count;
        return std::max(newestWeight, 1.0 / count);
    }

    duration fromMs(double ms)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
    }
}

void engine_speed_model::learnReading(std::uint64_t tokens, milliseconds took)
{
    if (tokens == 0 || took.count() <= 0)
        return;
    auto x = static_cast<double>(tokens);
    auto y = static_cast<double>(took.count());
    if (++m_readingCount > leastReadings)
        y = std::min(y, mostExcess * (m_readMsForAny + m_readMsPerToken * x));
    auto& sums = m_readings;
    sums.weight = sums.weight * readingKept + 1;
    sums.tokens = sums.tokens * readingKept + x;
    sums.ms = sums.ms * readingKept + y;
    sums.tokensTokens = sums.tokensTokens * readingKept + x * x;
    sums.tokensMs = sums.tokensMs * readingKept + x * y;
    auto meanTokens = sums.tokens / sums.weight;
    auto meanMs = sums.ms / sums.weight;
    auto variance = sums.tokensTokens / sums.weight - meanTokens * meanTokens;
    bool spread = variance > leastSpread * leastSpread * meanTokens * meanTokens;
    if (m_readingCount < leastReadings || !spread) {
        // Half for what any prompt takes: neither part can be told from the other.
        m_readMsPerToken = meanMs / meanTokens / 2;
    } else {
        auto covariance = sums.tokensMs / sums.weight - meanTokens * meanMs;
        m_readMsPerToken = std::clamp(covariance / variance, meanMs / meanTokens / 10, meanMs / meanTokens);
    }
    m_readMsForAny = meanMs - m_readMsPerToken * meanTokens;
}

void engine_speed_model::learnGeneration(std::uint64_t tokens, milliseconds took)
{
    if (took < leastGenerating || tokens == 0)
        return;
    double speed = static_cast<double>(tokens) / static_cast<double>(took.count());
    m_generatedTokensPerMs += weightOf(m_generationCount) * (speed - m_generatedTokensPerMs);
}

void engine_speed_model::learnFirstEvent(milliseconds afterReading)
{
    m_firstEventMs += weightOf(m_firstEventCount) * (static_cast<double>(afterReading.count()) - m_firstEventMs);
}

bool engine_speed_model::known() const
{
    constexpr unsigned leastGenerations = 5;
    return m_readingCount >= leastReadings && m_generationCount >= leastGenerations;
}

duration engine_speed_model::readingTime(std::uint64_t tokens) const
{
    return fromMs(m_readMsPerToken * static_cast<double>(tokens));
}

duration engine_speed_model::timeToFirstEvent(std::uint64_t tokens) const
{
    return readingTime(tokens) + fromMs(m_readMsForAny + m_firstEventMs);
}

} // namespace pistachiolatch
