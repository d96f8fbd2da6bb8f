#pragma once

namespace pistachiolatch {

/// Limits retries to a share of the successes, so that a failing pool is not overloaded by retries.
/// Not thread-safe.
class retry_budget {
public:
    void onSuccess();
    /// Consumes one retry of the budget. Returns whether one was left.
    bool tryRetry();

private:
    /// Number of successes that allow one retry, so retries are at most a fifth of the successes.
    static constexpr int successesPerRetry = 5;
    static constexpr int maxSavedRetries = 20;
    static constexpr int initialRetries = 10;

    int m_successes = initialRetries * successesPerRetry;
};

} // namespace pistachiolatch
