#pragma once
#include "kernel/kernel.h"
#include <array>
#include <map>
#include <string>

namespace pistachiolatch {

struct retry_budget_settings {
    /// Retries allowed per first attempt.
    double ratio = 0.1;
    /// Retries that all entries together may make per window in addition to the ratio.
    double slack = 0;
    milliseconds window { 10000 };
};

/// Limits the retries per service over a sliding window, so that retries don't overload a failing service. The limit
/// covers all entries; each enforces its own share, which needs no communication. Not thread-safe.
class shared_retry_budget {
public:
    explicit shared_retry_budget(retry_budget_settings settings);

    /// Records the first attempt of a call.
    void recordFirstAttempt(const std::string& service, time_point now);
    /// Consumes one retry of the budget. Returns false if the budget is spent.
    bool tryConsumeRetry(const std::string& service, unsigned entries, time_point now);
    /// Whether a prefill request may be sent to an endpoint; consumes a retry if isRetry. The first successful prefill is
    /// part of the call; after a failed one, the next request counts as a retry. Without that, a failure of the few
    /// prefill endpoints makes every call send a useless request, which alone exceeds the limit of all entries. Once the
    /// budget is spent, only healthy endpoints are asked.
    bool mayRequestPrefill(const std::string& service, unsigned entries, bool isRetry, bool isEndpointUnhealthy, time_point now);
    /// Records that the first prefill request of a call failed.
    void recordFailedPrefill(const std::string& service, time_point now) { recordRetry(service, now); }

private:
    static constexpr std::size_t bucketCount = 10;
    struct service_window {
        std::array<unsigned, bucketCount> firstAttempts {};
        std::array<unsigned, bucketCount> retries {};
        std::int64_t newestBucket = 0;
    };
    bool hasBudget(const std::string& service, unsigned entries, time_point now);
    void recordRetry(const std::string& service, time_point now);
    service_window& advance(const std::string& service, time_point now);

    retry_budget_settings m_settings;
    std::map<std::string, service_window> m_windows;
};

} // namespace pistachiolatch
