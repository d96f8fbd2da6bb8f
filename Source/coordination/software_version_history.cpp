#include "coordination/software_version_history.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// An endpoint that doesn't reach control may go on serving entries until it counts as gone.
    constexpr milliseconds unreportedServing { 30000 };
    /// More than a service has during a release; the number tells that there are several all the same.
    constexpr std::size_t maxVersions = 16;
    constexpr std::size_t maxServices = 1024;
    /// Several intervals of the timer; a busy process is never late by that much.
    constexpr milliseconds maxTickGap { 2000 };
}

bool software_version_history::hasPaused(time_point now) const
{
    return now - m_lastTick > maxTickGap;
}

void software_version_history::onTick(time_point now)
{
    if (hasPaused(now))
        m_completeSince = now;
    m_lastTick = now;
}

void software_version_history::onReport(const wire::endpoint_report& report, time_point now)
{
    if (report.state() == wire::ENDPOINT_GONE || (m_services.size() >= maxServices && !m_services.count(report.service())))
        return;
    auto& versions = m_services[report.service()];
    auto found = versions.find(report.software_version());
    if (found != versions.end()) {
        found->second = now;
        return;
    }
    if (versions.size() >= maxVersions)
        versions.erase(std::min_element(versions.begin(), versions.end(), [](const auto& left, const auto& right) { return left.second < right.second; }));
    versions.emplace(report.software_version(), now);
}

std::vector<stream_origin> software_version_history::originsOf(const std::set<std::string>& services, milliseconds maxAge, time_point now) const
{
    std::vector<stream_origin> origins;
    for (const auto& service : services) {
        auto found = m_services.find(service);
        if (found == m_services.end())
            continue;
        for (const auto& [version, reportedAt] : found->second) {
            if (now - reportedAt <= maxAge + unreportedServing)
                origins.push_back({ service, version });
        }
    }
    return origins;
}

bool software_version_history::knowsSeveral(const std::set<std::string>& services, milliseconds maxAge, time_point now) const
{
    auto origins = originsOf(services, maxAge, now);
    return origins.size() > 1 || (origins.size() == 1 && origins.front().softwareVersion.empty());
}

std::optional<stream_origin> software_version_history::soleOrigin(const std::set<std::string>& services, milliseconds maxAge, time_point now) const
{
    auto origins = originsOf(services, maxAge, now);
    if (origins.size() != 1 || origins.front().softwareVersion.empty())
        return std::nullopt;
    return origins.front();
}

} // namespace pistachiolatch
