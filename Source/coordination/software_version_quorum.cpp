#include "coordination/software_version_quorum.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// A version that is dropped has to be confirmed again.
    constexpr std::size_t maxVersions = 16'384;
    constexpr std::size_t maxHeld = 65'536;
    /// Longer than a round trip, and shorter than the interval of an endpoint's reports.
    constexpr milliseconds askInterval { 100 };
}

bool software_version_quorum::isKnown(const wire::endpoint_report& report) const
{
    auto found = m_versions.find(keyOf(report));
    return found != m_versions.end() && found->second.known;
}

software_version_quorum::heard_version& software_version_quorum::find(const wire::endpoint_report& report)
{
    if (m_versions.size() >= maxVersions && !m_versions.count(keyOf(report)))
        m_versions.erase(m_versions.begin());
    return m_versions[keyOf(report)];
}

void software_version_quorum::hold(const wire::endpoint_report& report)
{
    if (m_held.size() < maxHeld || m_held.count(report.id()))
        m_held[report.id()] = report;
}

void software_version_quorum::recordKnownAt(const std::string& process, const wire::endpoint_report& report)
{
    auto& version = find(report);
    if (!version.known)
        version.processes.insert(process);
}

std::vector<wire::endpoint_report> software_version_quorum::release(const std::vector<std::string>& otherVoters, std::size_t needed)
{
    std::vector<wire::endpoint_report> released;
    std::erase_if(m_held, [&](const auto& item) {
        auto& version = find(item.second);
        auto knownAt = std::count_if(otherVoters.begin(), otherVoters.end(), [&](const auto& voter) { return version.processes.count(voter) > 0; });
        if (!version.known && static_cast<std::size_t>(knownAt) < needed)
            return false;
        version.known = true;
        released.push_back(item.second);
        return true;
    });
    return released;
}

std::vector<wire::endpoint_report> software_version_quorum::heldVersions() const
{
    std::map<version_key, wire::endpoint_report> reports;
    for (const auto& [id, report] : m_held)
        reports.try_emplace(keyOf(report), report);
    std::vector<wire::endpoint_report> held;
    for (const auto& [key, report] : reports)
        held.push_back(report);
    return held;
}

bool software_version_quorum::shouldAsk(const wire::endpoint_report& report, time_point now)
{
    auto& version = find(report);
    if (version.known || (version.askedAt != time_point {} && now - version.askedAt < askInterval))
        return false;
    version.askedAt = now;
    return true;
}

} // namespace pistachiolatch
