#include "scheduling/slowdown_estimate.h"

#include "scheduling/time_units.h"
#include <algorithm>
#include <cmath>

namespace pistachiolatch {

namespace {
    /// Time in which a report loses most of its weight.
    constexpr milliseconds reportMemory { 200 };
    /// The mean follows the reports of about this time.
    constexpr milliseconds meanMemory { 4000 };
    /// Weight in the mean of a report that comes long after the one before.
    constexpr double maxMeanWeight = 0.2;
}

void slowdown_estimate::record(double slowdown, time_point reportedAt)
{
    if (!std::isfinite(slowdown) || slowdown <= 0 || (isKnown() && reportedAt <= m_reportedAt))
        return;
    m_last = std::clamp(slowdown, minSlowdown, maxSlowdown);
    auto weight = isKnown() ? std::min(maxMeanWeight, 1 - std::exp(-toMs(reportedAt - m_reportedAt) / toMs(meanMemory))) : maxMeanWeight;
    m_mean += weight * (m_last - m_mean);
    m_reportedAt = reportedAt;
}

double slowdown_estimate::at(time_point now) const
{
    if (!isKnown())
        return 1;
    auto age = std::max(0.0, toMs(now - m_reportedAt));
    return std::lerp(m_mean, m_last, std::exp(-age / toMs(reportMemory)));
}

} // namespace pistachiolatch
