#include "scheduling/cold_start_gate.h"

#include "scheduling/time_units.h"
#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Share of the rate that is used continuously; the rest may be used at once after a pause.
    constexpr double continuousShare = 0.75;
    constexpr double millisecondsPerSecond = 1000;
}

void cold_start_gate::onReport(const wire::endpoint_report& report, time_point now)
{
    auto& endpoint = m_endpoints[report.id()];
    if (endpoint.incarnation != report.born_ms())
        endpoint = {};
    endpoint.service = report.service();
    endpoint.incarnation = report.born_ms();
    endpoint.coldUntil = now + milliseconds(report.cold_ms());
}

void cold_start_gate::assumeCold(const std::string& endpoint, time_point until)
{
    auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end())
        found->second.coldUntil = std::max(found->second.coldUntil, until);
}

const cold_start_gate::endpoint_state* cold_start_gate::findLimited(const std::string& endpoint, time_point now) const
{
    auto found = m_endpoints.find(endpoint);
    bool limited = found != m_endpoints.end() && now < found->second.coldUntil && m_rates.count(found->second.service);
    return limited ? &found->second : nullptr;
}

bool cold_start_gate::isLimited(const std::string& endpoint, time_point now) const
{
    return findLimited(endpoint, now) != nullptr;
}

duration cold_start_gate::interval(const std::string& service) const
{
    auto rate = m_rates.find(service);
    return rate == m_rates.end() ? duration::zero() : fromMs(millisecondsPerSecond / (continuousShare * rate->second));
}

duration cold_start_gate::burstAllowance(const std::string& service) const
{
    auto rate = m_rates.find(service);
    auto burst = rate == m_rates.end() ? 1.0 : std::max(1.0, (1 - continuousShare) * rate->second);
    return fromMs((burst - 1) * toMs(interval(service)));
}

bool cold_start_gate::allows(const std::string& endpoint, time_point now) const
{
    const auto* limited = findLimited(endpoint, now);
    return !limited || limited->usedUntil <= now + burstAllowance(limited->service);
}

void cold_start_gate::onSent(const std::string& endpoint, time_point now)
{
    if (!isLimited(endpoint, now))
        return;
    auto& limited = m_endpoints[endpoint];
    limited.usedUntil = std::max(limited.usedUntil, now) + interval(limited.service);
}

double cold_start_gate::expectedCalls(const std::string& endpoint, duration within, time_point now) const
{
    const auto* limited = findLimited(endpoint, now);
    if (!limited)
        return 0;
    auto available = now + within + burstAllowance(limited->service) - std::max(now, limited->usedUntil);
    return std::max(0.0, toMs(available) / toMs(interval(limited->service)));
}

} // namespace pistachiolatch
