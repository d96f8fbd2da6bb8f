#include "coordination/crash_journal.h"

#include "coordination/request_blocks.h"

#include <algorithm>
#include <string>
#include <utility>

namespace pistachiolatch {

namespace {
    constexpr milliseconds crashLifetime = block_settings {}.crashLifetime;
    /// Limits the size of syncs; the oldest crashes are dropped.
    constexpr std::size_t maxCrashes = 256;
}

void crash_journal::add(const wire::crash_report& report, time_point now)
{
    expire(now);
    m_crashes.push_back({ report, now });
    if (m_crashes.size() > maxCrashes)
        m_crashes.pop_front();
}

std::uint32_t crash_journal::unreportedCrashes(std::uint64_t fingerprint, time_point after) const
{
    std::set<std::pair<std::string, std::uint64_t>> runs;
    bool allReported = true;
    for (const auto& crash : m_crashes) {
        if (crash.report.fingerprint() != fingerprint || crash.at <= after)
            continue;
        runs.emplace(crash.report.endpoint(), crash.report.endpoint_incarnation());
        allReported = allReported && crash.reported;
    }
    return allReported ? 0 : static_cast<std::uint32_t>(runs.size());
}

std::set<std::uint64_t> crash_journal::unreportedRequests() const
{
    std::set<std::uint64_t> requests;
    for (const auto& crash : m_crashes) {
        if (!crash.reported)
            requests.insert(crash.report.fingerprint());
    }
    return requests;
}

std::uint32_t crash_journal::crashMoments(std::uint64_t part, time_point after) const
{
    std::uint32_t moments = 0;
    std::uint32_t calls = 0;
    time_point last {};
    for (const auto& crash : m_crashes) {
        const auto& parts = crash.report.parts();
        if (crash.at <= after || std::find(parts.begin(), parts.end(), part) == parts.end())
            continue;
        ++calls;
        moments += moments == 0 || crash.at - last > crash_tracker::momentLength ? 1 : 0;
        last = crash.at;
    }
    // A part that more of the calls had is rather one that all calls have in common.
    return calls * 2 <= moments * 3 ? moments : 0;
}

void crash_journal::fillUnreported(google::protobuf::RepeatedPtrField<wire::crash_report>& reports, time_point now) const
{
    for (const auto& crash : m_crashes) {
        if (crash.reported)
            continue;
        auto* report = reports.Add();
        *report = crash.report;
        report->set_age_ms(saturatingCast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(now - crash.at).count()));
    }
}

void crash_journal::markReported(time_point until)
{
    for (auto& crash : m_crashes)
        crash.reported = crash.reported || crash.at < until;
}

void crash_journal::onLeaderChanged()
{
    for (auto& crash : m_crashes)
        crash.reported = false;
}

void crash_journal::expire(time_point now)
{
    while (!m_crashes.empty() && now - m_crashes.front().at > crashLifetime)
        m_crashes.pop_front();
}

} // namespace pistachiolatch
