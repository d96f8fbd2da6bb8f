#pragma once

namespace pistachiolatch {

/// Bounds further attempts to a share of the successes, so that a failing pool is not buried under retries.
/// Not thread-safe.
class retry_budget {
public:
    void onSuccess();
    /// Takes one retry out of the budget if there is one.
    bool tryRetry();

private:
    /// Successes that a retry costs; a fifth of the successes may be retries.
    static constexpr int successesPerRetry = 5;
    static constexpr int mostRetriesSaved = 20;
    static constexpr int retriesAtStart = 10;

    int m_successes = retriesAtStart * successesPerRetry;
};

} // namespace pistachiolatch
