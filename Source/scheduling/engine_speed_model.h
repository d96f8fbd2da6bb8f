#pragma once
#include "kernel/kernel.h"
#include <cstdint>

namespace pistachiolatch {

/// Estimates the speed of a service's engines from completed calls. Speeds differ tenfold between deployments, so fixed
/// values make engines of some deployments look empty or full when they are not.
/// Pure; not thread-safe.
class engine_speed_model {
public:
    /// Records how long a prefill request took. One part of that time grows with the prompt and keeps the engine busy;
    /// the rest is a fixed overhead during which the engine prefills other prompts.
    void recordPrefill(std::uint64_t tokens, milliseconds took);
    /// Records how many tokens a call generated in which time.
    void recordGeneration(std::uint64_t tokens, milliseconds took);
    /// Records the time from the end of a call's prefill to its first event.
    void recordFirstEvent(milliseconds afterPrefill);

    /// Whether enough calls have completed to replace the defaults.
    bool hasEnoughSamples() const;
    double generatedTokensPerMs() const { return m_generatedTokensPerMs; }
    /// How long a prompt keeps an engine busy.
    duration prefillTime(std::uint64_t tokens) const;
    /// Time from the prefill request to the call's first event on idle engines.
    duration timeToFirstEvent(std::uint64_t tokens) const;

private:
    /// The initial values are those of engines of medium speed.
    double m_prefillMsPerToken = 0.03;
    double m_prefillOverheadMs = 50;
    double m_generatedTokensPerMs = 0.5;
    double m_firstEventMs = 100;
    /// Exponentially decaying sums for a linear regression of time over tokens.
    struct weighted_sums {
        double weight = 0;
        double tokens = 0;
        double ms = 0;
        double tokensTokens = 0;
        double tokensMs = 0;
    };
    weighted_sums m_prefillSums;
    unsigned m_prefillCount = 0;
    unsigned m_generationCount = 0;
    unsigned m_firstEventCount = 0;
};

} // namespace pistachiolatch
