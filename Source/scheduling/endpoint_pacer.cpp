#include "scheduling/endpoint_pacer.h"

namespace pistachiolatch {

void endpoint_pacer::remove(const std::string& endpoint)
{
    m_coldStarts.remove(endpoint);
    m_callLimits.remove(endpoint);
}

void endpoint_pacer::onSent(const std::string& endpoint, time_point now)
{
    m_coldStarts.onSent(endpoint, now);
    m_callLimits.onSent(endpoint, now);
}

double endpoint_pacer::expectedCalls(const std::string& endpoint, duration within, time_point now) const
{
    return namesLimit(endpoint) ? m_callLimits.expectedCalls(endpoint, within, now) : m_coldStarts.expectedCalls(endpoint, within, now);
}

} // namespace pistachiolatch
