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
    double m_tokens = 10;
};

} // namespace pistachiolatch
