#include "coordination/prompt_part_blocks.h"

#include <algorithm>
#include <fmt/ranges.h>
#include <utility>

namespace pistachiolatch {

namespace {
    /// Moments of crashes that block a part without any success, and those of them with crashes that are confirmed.
    constexpr std::size_t momentsToBlock = crash_tracker::crashesToSuspectPart;
    constexpr std::size_t confirmedToBlock = 2;
    /// Calls without the part that have to succeed meanwhile, or moments that are enough without any.
    constexpr std::uint32_t successesWithoutToBlock = 3;
    constexpr std::size_t momentsToBlockAlone = 5;
    /// The same for a part that has succeeded before, and the time that it has to be without success.
    constexpr std::size_t momentsToBlockKnown = 5;
    constexpr std::size_t confirmedToBlockKnown = 3;
    constexpr std::uint32_t successesWithoutToBlockKnown = 12;
    constexpr milliseconds failingTimeOfKnown { 2000 };
    /// Moments with certain crashes that make a block certain.
    constexpr std::size_t certainMoments = 3;
    /// Time for the entries to tell what they know of a part.
    constexpr milliseconds answerTime { 500 };
    /// Limits the size of updates to entries, and of the entries' answers.
    constexpr std::size_t maxSuspects = 64;
    constexpr std::size_t maxKnownParts = 1024;
    /// Entries tell of a part under which endpoints crashed at one moment only for this long. The crash still counts afterwards.
    constexpr milliseconds singleCrashPeriod { 60000 };
    constexpr std::size_t maxBlocks = 1000;
}

void prompt_part_blocks::addCrash(const wire::crash_report& report, time_point at)
{
    m_crashes.recordCrash(report, at);
}

bool prompt_part_blocks::recordStatus(std::uint64_t entry, const wire::prompt_part_status& status, time_point now)
{
    auto found = m_knowledge.find(status.part());
    if (found == m_knowledge.end())
        return false;
    found->second.successesWithout[entry] = status.successes_without();
    auto succeededAt = status.succeeded() ? now - milliseconds(status.success_age_ms()) : time_point {};
    if (succeededAt <= found->second.succeededAt)
        return false;
    found->second.succeededAt = succeededAt;
    return true;
}

void prompt_part_blocks::setDeciding(bool deciding)
{
    m_deciding = deciding;
    m_knowledge.clear();
    m_suspects.clear();
    m_suspected.clear();
}

void prompt_part_blocks::adopt(const wire::blocked_parts& held, time_point now)
{
    if (!held.certain() || held.parts_size() == 0)
        return;
    part_set parts(held.parts().begin(), held.parts().end());
    std::sort(parts.begin(), parts.end());
    auto until = now - milliseconds(held.idle_ms()) + m_settings.blockLifetime;
    auto& known = m_certain[parts];
    known = std::max(known, until);
}

prompt_part_blocks::evidence_map prompt_part_blocks::collectEvidence(time_point now) const
{
    auto crashes = m_crashes.countedCrashes();
    std::sort(crashes.begin(), crashes.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    evidence_map evidence;
    for (const auto& crash : crashes) {
        for (auto part : crash.report.parts()) {
            auto& own = evidence[part];
            own.lastCrashAt = crash.at;
            auto known = m_knowledge.find(part);
            if (known != m_knowledge.end() && known->second.succeededAt >= crash.at)
                continue;
            own.runs.emplace(crash.report.endpoint(), crash.report.endpoint_incarnation());
            if (own.moments.empty() || crash.at - own.moments.back().at > crash_tracker::momentLength)
                own.moments.push_back({ crash.at });
            auto& moment = own.moments.back();
            moment.certain = moment.certain || crash.certain;
            moment.confirmed = moment.certain || moment.confirmed || now - crash.at >= m_settings.reportOverdue;
        }
    }
    return evidence;
}

void prompt_part_blocks::selectSuspects(const evidence_map& evidence, time_point now)
{
    std::vector<evidence_map::const_pointer> ranked;
    for (const auto& item : evidence)
        ranked.push_back(&item);
    std::sort(ranked.begin(), ranked.end(), [](const auto* a, const auto* b) {
        return std::pair(a->second.moments.size(), a->second.lastCrashAt) > std::pair(b->second.moments.size(), b->second.lastCrashAt);
    });
    ranked.resize(std::min(ranked.size(), maxKnownParts));
    std::map<std::uint64_t, part_knowledge> known;
    m_suspects.clear();
    for (const auto* item : ranked) {
        auto found = m_knowledge.find(item->first);
        if (found != m_knowledge.end())
            known[item->first] = std::move(found->second);
        else
            known[item->first].suspectedAt = now;
        auto moments = item->second.moments.size();
        bool isSuspected = moments > 1 || (moments == 1 && now - item->second.lastCrashAt < singleCrashPeriod);
        if (isSuspected && m_suspects.size() < maxSuspects)
            m_suspects.insert(item->first);
    }
    m_knowledge = std::move(known);
}

bool prompt_part_blocks::isBlocked(const part_evidence& evidence, const part_knowledge& knowledge, time_point now) const
{
    if (now - knowledge.suspectedAt < answerTime)
        return false;
    auto moments = evidence.moments.size();
    auto confirmed = static_cast<std::size_t>(std::count_if(evidence.moments.begin(), evidence.moments.end(), [](const auto& moment) { return moment.confirmed; }));
    std::uint32_t successesWithout = 0;
    for (const auto& [entry, successes] : knowledge.successesWithout)
        successesWithout += successes;
    if (knowledge.succeededAt == time_point {})
        return confirmed >= confirmedToBlock && moments >= momentsToBlock && (moments >= momentsToBlockAlone || successesWithout >= successesWithoutToBlock);
    return confirmed >= confirmedToBlockKnown && moments >= momentsToBlockKnown && successesWithout >= successesWithoutToBlockKnown && now - knowledge.succeededAt >= failingTimeOfKnown;
}

void prompt_part_blocks::refresh(time_point now)
{
    m_crashes.expire(m_settings.crashLifetime, now);
    std::erase_if(m_certain, [now](const auto& item) { return item.second < now; });
    auto suspectedBefore = std::exchange(m_suspected, {});
    if (!m_deciding)
        return;
    auto evidence = collectEvidence(now);
    selectSuspects(evidence, now);
    std::vector<std::uint64_t> blocked;
    for (auto part : m_suspects) {
        if (isBlocked(evidence.at(part), m_knowledge.at(part), now))
            blocked.push_back(part);
    }
    for (auto part : blocked) {
        const auto& own = evidence.at(part);
        // The parts that were in every crash of this one, which includes itself.
        part_set together;
        std::copy_if(blocked.begin(), blocked.end(), std::back_inserter(together), [&](auto other) {
            const auto& runs = evidence.at(other).runs;
            return std::includes(runs.begin(), runs.end(), own.runs.begin(), own.runs.end());
        });
        auto certain = static_cast<std::size_t>(std::count_if(own.moments.begin(), own.moments.end(), [](const auto& moment) { return moment.certain; }));
        if (m_certain.count(together) > 0)
            continue;
        bool isCertain = certain >= certainMoments;
        if (isCertain)
            m_certain[together] = now + m_settings.blockLifetime;
        else
            m_suspected.insert(together);
        if (isCertain || suspectedBefore.count(together) == 0)
            logEvent("prompt_parts_blocked", { { "parts", fmt::format("{:x}", fmt::join(together, ",")) }, { "certain", isCertain ? 1 : 0 }, { "crashes", own.runs.size() }, { "moments", own.moments.size() }, { "certain_moments", certain }, { "succeeded_before", m_knowledge.at(part).succeededAt != time_point {} ? 1 : 0 } });
    }
    while (m_certain.size() > maxBlocks)
        m_certain.erase(std::min_element(m_certain.begin(), m_certain.end(), [](const auto& a, const auto& b) { return a.second < b.second; }));
}

void prompt_part_blocks::fill(wire::blocked_requests& blocks) const
{
    auto add = [&blocks](const part_set& parts, bool certain) {
        auto& block = *blocks.add_parts();
        block.mutable_parts()->Assign(parts.begin(), parts.end());
        block.set_certain(certain);
    };
    for (const auto& [parts, until] : m_certain)
        add(parts, true);
    for (const auto& parts : m_suspected)
        add(parts, false);
    for (auto part : m_suspects)
        blocks.add_suspects(part);
}

} // namespace pistachiolatch
