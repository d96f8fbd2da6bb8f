#include "scheduling/crash_tracker.h"

#include "membership/membership.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    constexpr std::size_t maxCrashes = 4096;

    std::string attemptKey(const wire::crash_report& report)
    {
        return fmt::format("{}#{}", report.request_id(), report.attempt());
    }
}

bool crash_tracker::recordCrash(const wire::crash_report& report, time_point at)
{
    auto attempt = attemptKey(report);
    bool recorded = std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto& entry) { return entry.attempt == attempt; });
    if (recorded)
        return false;
    m_crashes.push_back({ report, std::move(attempt), at });
    ++m_version;
    if (m_crashes.size() > maxCrashes)
        m_crashes.erase(m_crashes.begin());
    return true;
}

void crash_tracker::replaceMarks(const std::vector<wire::poison_mark>& marks)
{
    m_markedAttempts.clear();
    for (const auto& mark : marks)
        m_markedAttempts[mark.fingerprint()].assign(mark.attempts().begin(), mark.attempts().end());
}

std::vector<wire::crash_report> crash_tracker::confirm(const std::string& endpoint, std::optional<std::uint64_t> exceptIncarnation)
{
    std::vector<wire::crash_report> certain;
    for (auto& entry : m_crashes) {
        if (!entry.isOpen() || entry.report.endpoint() != endpoint || entry.report.endpoint_incarnation() == exceptIncarnation)
            continue;
        entry.state = crash_state::Certain;
        ++m_version;
        certain.push_back(entry.report);
    }
    return certain;
}

std::vector<wire::crash_report> crash_tracker::onAnnounced(const std::string& endpoint, std::uint64_t incarnation, time_point now)
{
    for (auto& entry : m_crashes) {
        bool isSameRun = entry.report.endpoint() == endpoint && entry.report.endpoint_incarnation() == incarnation;
        if (!isSameRun || now - entry.at <= maxAnnouncementDelay)
            continue;
        if (entry.state == crash_state::Suspected) {
            entry.state = crash_state::Cleared;
            entry.clearedAt = now;
            ++m_version;
        } else if (entry.state == crash_state::Cleared && now - entry.clearedAt >= confirmationPeriod) {
            entry.state = crash_state::Disproved;
            ++m_version;
        }
    }
    return confirm(endpoint, incarnation);
}

std::vector<wire::crash_report> crash_tracker::onSilent(const std::string& endpoint)
{
    return confirm(endpoint, std::nullopt);
}

void crash_tracker::onShutdown(const std::string& endpoint)
{
    for (auto& entry : m_crashes) {
        if (!entry.isOpen() || entry.report.endpoint() != endpoint)
            continue;
        entry.state = crash_state::Disproved;
        ++m_version;
    }
}

bool crash_tracker::recordSuccess(std::uint64_t fingerprint, time_point begunAt)
{
    auto before = countOf(fingerprint);
    auto& known = m_successes[fingerprint];
    known = std::max(known, begunAt);
    if (m_successes.size() > maxCrashes)
        m_successes.erase(std::min_element(m_successes.begin(), m_successes.end(), [](const auto& a, const auto& b) { return a.second < b.second; }));
    auto after = countOf(fingerprint);
    if (before.total() == 0 || (after.total() == before.total() && after.toBlock == before.toBlock))
        return false;
    ++m_version;
    return true;
}

void crash_tracker::expire(milliseconds lifetime, time_point now)
{
    if (std::erase_if(m_crashes, [&](const crash& entry) { return now - entry.at > lifetime; }) > 0)
        ++m_version;
    std::set<std::uint64_t> crashed;
    for (const auto& entry : m_crashes)
        crashed.insert(entry.report.fingerprint());
    std::erase_if(m_successes, [&](const auto& item) { return now - item.second > lifetime && !crashed.count(item.first); });
}

std::uint32_t crash_tracker::crashCount(std::uint64_t fingerprint) const
{
    std::set<std::string> attempts;
    auto marked = m_markedAttempts.find(fingerprint);
    if (marked != m_markedAttempts.end())
        attempts.insert(marked->second.begin(), marked->second.end());
    for (const auto& entry : m_crashes) {
        if (entry.counts() && entry.report.fingerprint() == fingerprint)
            attempts.insert(entry.attempt);
    }
    return static_cast<std::uint32_t>(attempts.size());
}

std::vector<counted_crash> crash_tracker::countedCrashes() const
{
    std::vector<counted_crash> counted;
    for (const auto& entry : m_crashes) {
        if (entry.counts())
            counted.push_back({ entry.report, entry.at, entry.state == crash_state::Certain });
    }
    return counted;
}

std::map<std::string, time_point> crash_tracker::suspectedEndpoints() const
{
    std::map<std::string, time_point> endpoints;
    for (const auto& entry : m_crashes) {
        if (entry.isOpen())
            endpoints[entry.report.endpoint()] = std::max(endpoints[entry.report.endpoint()], entry.at);
    }
    return endpoints;
}

void crash_tracker::addTo(crashed_runs& runs, const crash& entry)
{
    if (!entry.counts())
        return;
    const auto& report = entry.report;
    auto& run = runs.try_emplace({ report.endpoint(), report.endpoint_incarnation() }, crashed_run { entry.at }).first->second;
    // Entries notice the crash at different times.
    run.at = std::min(run.at, entry.at);
    run.certain = run.certain || entry.state == crash_state::Certain;
}

crash_count crash_tracker::countRuns(std::uint64_t fingerprint, const crashed_runs& runs) const
{
    auto success = m_successes.find(fingerprint);
    bool hasSucceeded = success != m_successes.end();
    std::vector<crashed_run> counted;
    for (const auto& [id, run] : runs) {
        if (!hasSucceeded || run.at > success->second)
            counted.push_back(run);
    }
    std::sort(counted.begin(), counted.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    std::vector<crashed_run> crashes;
    for (const auto& run : counted) {
        bool isSameMoment = hasSucceeded && !crashes.empty() && run.at - crashes.back().at <= momentLength;
        if (isSameMoment)
            crashes.back().certain = crashes.back().certain || run.certain;
        else
            crashes.push_back(run);
    }
    crash_count count;
    count.toBlock = hasSucceeded ? crashesToBlockAfterSuccess : crashesToBlock;
    for (const auto& one : crashes)
        ++(one.certain ? count.certain : count.suspected);
    return count;
}

crash_count crash_tracker::countOf(std::uint64_t fingerprint) const
{
    crashed_runs runs;
    for (const auto& entry : m_crashes) {
        if (entry.report.fingerprint() == fingerprint)
            addTo(runs, entry);
    }
    return countRuns(fingerprint, runs);
}

std::map<std::uint64_t, crash_count> crash_tracker::countsByFingerprint() const
{
    std::map<std::uint64_t, crashed_runs> runs;
    for (const auto& entry : m_crashes)
        addTo(runs[entry.report.fingerprint()], entry);
    std::map<std::uint64_t, crash_count> counts;
    for (const auto& [fingerprint, crashed] : runs)
        counts[fingerprint] = countRuns(fingerprint, crashed);
    return counts;
}

} // namespace pistachiolatch
