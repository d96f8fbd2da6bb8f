#include "scheduling/circuit_breaker.h"

namespace pistachiolatch {

namespace {
    constexpr unsigned failuresToOpen = 3;
    constexpr milliseconds openFor { 1000 };
    constexpr milliseconds trialFor { 10000 };
}

bool circuit_breaker::allows(const std::string& endpoint, time_point now) const
{
    auto found = m_rows.find(endpoint);
    if (found == m_rows.end() || found->second.failures < failuresToOpen)
        return true;
    return now >= found->second.openUntil && now >= found->second.trialUntil;
}

void circuit_breaker::onSent(const std::string& endpoint, time_point now)
{
    auto found = m_rows.find(endpoint);
    if (found != m_rows.end() && found->second.failures >= failuresToOpen)
        found->second.trialUntil = now + trialFor;
}

void circuit_breaker::onUndecided(const std::string& endpoint)
{
    auto found = m_rows.find(endpoint);
    if (found != m_rows.end())
        found->second.trialUntil = {};
}

void circuit_breaker::onFailure(const std::string& endpoint, time_point now)
{
    auto& one = m_rows[endpoint];
    ++one.failures;
    one.trialUntil = {};
    if (one.failures >= failuresToOpen)
        one.openUntil = now + openFor;
}

} // namespace pistachiolatch
