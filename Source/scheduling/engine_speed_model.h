#pragma once
#include "kernel/kernel.h"
#include <cstdint>

namespace pistachiolatch {

/// How fast the engines of a service are, learnt from calls that ended. Engines of one deployment read and generate ten
/// times as fast as those of another; figures of either made the other's engines look empty or full.
/// Pure; not thread-safe.
class engine_speed_model {
public:
    /// Takes in how long the answer to a question to read a prompt took. A part of that grows with the prompt and keeps the
    /// engine busy; the rest passes for every prompt, while others are read.
    void learnReading(std::uint64_t tokens, milliseconds took);
    /// Takes in the tokens that a call generated, and in which time.
    void learnGeneration(std::uint64_t tokens, milliseconds took);
    /// Takes in how long after the reading of its prompt a call's first event came.
    void learnFirstEvent(milliseconds afterReading);

    /// Whether enough calls have ended for the figures to be more than beliefs.
    bool known() const;
    double generatedTokensPerMs() const { return m_generatedTokensPerMs; }
    /// How long an engine is busy with a prompt.
    duration readingTime(std::uint64_t tokens) const;
    /// How long after the question to read its prompt a call's first event comes, at engines with nothing before it.
    duration timeToFirstEvent(std::uint64_t tokens) const;

private:
    /// Beliefs before the first calls have ended, of middling engines.
    double m_readMsPerToken = 0.03;
    double m_readMsForAny = 50;
    double m_generatedTokensPerMs = 0.5;
    double m_firstEventMs = 100;
    /// Sums of a linear regression of time by tokens, in which older readings count ever less.
    struct weighted_sums {
        double weight = 0;
        double tokens = 0;
        double ms = 0;
        double tokensTokens = 0;
        double tokensMs = 0;
    };
    weighted_sums m_readings;
    unsigned m_readingCount = 0;
    unsigned m_generationCount = 0;
    unsigned m_firstEventCount = 0;
};

} // namespace pistachiolatch
