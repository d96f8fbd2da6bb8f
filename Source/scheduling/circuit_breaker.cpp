#include "scheduling/circuit_breaker.h"

namespace pistachiolatch {

namespace {
    constexpr unsigned failureThreshold = 3;
    constexpr milliseconds openDuration { 1000 };
    constexpr milliseconds probeTimeout { 10000 };
}

bool circuit_breaker::allows(const std::string& endpoint, time_point now) const
{
    auto found = m_records.find(endpoint);
    if (found == m_records.end() || found->second.failures < failureThreshold)
        return true;
    return now >= found->second.openUntil && now >= found->second.probeUntil;
}

void circuit_breaker::onSent(const std::string& endpoint, time_point now)
{
    auto found = m_records.find(endpoint);
    if (found != m_records.end() && found->second.failures >= failureThreshold)
        found->second.probeUntil = now + probeTimeout;
}

void circuit_breaker::onInconclusive(const std::string& endpoint)
{
    auto found = m_records.find(endpoint);
    if (found != m_records.end())
        found->second.probeUntil = {};
}

void circuit_breaker::onFailure(const std::string& endpoint, time_point now)
{
    auto& record = m_records[endpoint];
    ++record.failures;
    record.probeUntil = {};
    if (record.failures >= failureThreshold)
        record.openUntil = now + openDuration;
}

} // namespace pistachiolatch
