#include "forwarding/shared_retry_budget.h"

#include <algorithm>
#include <numeric>

namespace pistachiolatch {

shared_retry_budget::shared_retry_budget(retry_budget_settings settings)
    : m_settings(settings)
{
}

shared_retry_budget::service_window& shared_retry_budget::advance(const std::string& service, time_point now)
{
    auto& window = m_windows[service];
    auto bucket = now.time_since_epoch() / (m_settings.window / bucketCount);
    auto steps = std::min<std::int64_t>(bucket - window.newestBucket, bucketCount);
    for (std::int64_t i = 1; i <= steps; ++i) {
        auto index = static_cast<std::size_t>((bucket - steps + i) % static_cast<std::int64_t>(bucketCount));
        window.firstAttempts[index] = 0;
        window.retries[index] = 0;
    }
    window.newestBucket = std::max(window.newestBucket, static_cast<std::int64_t>(bucket));
    return window;
}

void shared_retry_budget::recordFirstAttempt(const std::string& service, time_point now)
{
    auto& window = advance(service, now);
    ++window.firstAttempts[static_cast<std::size_t>(window.newestBucket) % bucketCount];
}

bool shared_retry_budget::hasBudget(const std::string& service, unsigned entries, time_point now)
{
    auto& window = advance(service, now);
    auto firstAttempts = std::accumulate(window.firstAttempts.begin(), window.firstAttempts.end(), 0U);
    auto retries = std::accumulate(window.retries.begin(), window.retries.end(), 0U);
    return retries + 1 <= m_settings.ratio * firstAttempts + m_settings.slack / std::max(1U, entries);
}

void shared_retry_budget::recordRetry(const std::string& service, time_point now)
{
    auto& window = advance(service, now);
    ++window.retries[static_cast<std::size_t>(window.newestBucket) % bucketCount];
}

bool shared_retry_budget::mayRequestPrefill(const std::string& service, unsigned entries, bool isRetry, bool isEndpointUnhealthy, time_point now)
{
    if (isRetry)
        return tryConsumeRetry(service, entries, now);
    return !isEndpointUnhealthy || hasBudget(service, entries, now);
}

bool shared_retry_budget::tryConsumeRetry(const std::string& service, unsigned entries, time_point now)
{
    if (!hasBudget(service, entries, now))
        return false;
    recordRetry(service, now);
    return true;
}

} // namespace pistachiolatch
