#include "scheduling/crash_tracker.h"

#include "membership/membership.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace pistachiolatch {

namespace {
    constexpr std::size_t mostSuspicions = 4096;

    std::string attemptOf(const wire::crash_report& report)
    {
        return fmt::format("{}#{}", report.request_id(), report.attempt());
    }
}

void crash_tracker::recordCrash(const wire::crash_report& report, time_point now)
{
    bool known = std::any_of(m_suspicions.begin(), m_suspicions.end(), [&](const auto& one) { return attemptOf(one.report) == attemptOf(report); });
    if (known)
        return;
    m_suspicions.push_back({ report, now, false });
    if (m_suspicions.size() > mostSuspicions)
        m_suspicions.erase(m_suspicions.begin());
}

void crash_tracker::replaceMarks(const std::vector<wire::poison_mark>& marks)
{
    m_marked.clear();
    for (const auto& mark : marks)
        m_marked[mark.fingerprint()].assign(mark.attempts().begin(), mark.attempts().end());
}

std::vector<wire::crash_report> crash_tracker::onAnnounced(const std::string& endpoint, std::uint64_t incarnation, time_point now)
{
    std::vector<wire::crash_report> certain;
    std::erase_if(m_suspicions, [&](const suspicion& one) {
        return !one.certain && one.report.endpoint() == endpoint && one.report.endpoint_incarnation() == incarnation && now - one.at > announcementInFlight;
    });
    for (auto& one : m_suspicions) {
        if (one.certain || one.report.endpoint() != endpoint || one.report.endpoint_incarnation() == incarnation)
            continue;
        one.certain = true;
        certain.push_back(one.report);
    }
    return certain;
}

std::vector<wire::crash_report> crash_tracker::onSilent(const std::string& endpoint)
{
    std::vector<wire::crash_report> certain;
    for (auto& one : m_suspicions) {
        if (one.certain || one.report.endpoint() != endpoint)
            continue;
        one.certain = true;
        certain.push_back(one.report);
    }
    return certain;
}

void crash_tracker::onShutdown(const std::string& endpoint)
{
    std::erase_if(m_suspicions, [&](const suspicion& one) { return !one.certain && one.report.endpoint() == endpoint; });
}

void crash_tracker::expire(milliseconds lifetime, time_point now)
{
    std::erase_if(m_suspicions, [&](const suspicion& one) { return now - one.at > lifetime; });
}

std::uint32_t crash_tracker::crashCount(std::uint64_t fingerprint) const
{
    std::set<std::string> attempts;
    auto marked = m_marked.find(fingerprint);
    if (marked != m_marked.end())
        attempts.insert(marked->second.begin(), marked->second.end());
    for (const auto& one : m_suspicions) {
        if (one.report.fingerprint() == fingerprint)
            attempts.insert(attemptOf(one.report));
    }
    return static_cast<std::uint32_t>(attempts.size());
}

std::map<std::string, time_point> crash_tracker::suspectedEndpoints() const
{
    std::map<std::string, time_point> endpoints;
    for (const auto& one : m_suspicions) {
        if (!one.certain)
            endpoints[one.report.endpoint()] = std::max(endpoints[one.report.endpoint()], one.at);
    }
    return endpoints;
}

std::map<std::uint64_t, crash_count> crash_tracker::countsByFingerprint() const
{
    std::map<std::uint64_t, crash_count> counts;
    std::set<std::tuple<std::uint64_t, std::string, std::uint64_t>> counted;
    for (const auto& one : m_suspicions) {
        const auto& report = one.report;
        // A run of an endpoint crashes at most once, so several broken connections to it count as one crash.
        if (!counted.emplace(report.fingerprint(), report.endpoint(), report.endpoint_incarnation()).second)
            continue;
        auto& count = counts[report.fingerprint()];
        ++(one.certain ? count.certain : count.suspected);
    }
    return counts;
}

} // namespace pistachiolatch
