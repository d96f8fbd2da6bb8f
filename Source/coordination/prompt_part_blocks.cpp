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

bool prompt_part_blocks::hasAll(const part_set& call, const part_set& parts)
{
    return std::all_of(parts.begin(), parts.end(), [&](auto part) { return std::find(call.begin(), call.end(), part) != call.end(); });
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

std::vector<prompt_part_blocks::crashed_run> prompt_part_blocks::collectRuns(time_point now) const
{
    std::map<std::pair<std::string, std::uint64_t>, crashed_run> byEndpoint;
    for (const auto& crash : m_crashes.countedCrashes()) {
        auto& run = byEndpoint[{ crash.report.endpoint(), crash.report.endpoint_incarnation() }];
        // Entries notice the crash at different times.
        run.at = run.calls.empty() ? crash.at : std::min(run.at, crash.at);
        run.certain = run.certain || crash.certain;
        run.calls.emplace_back(crash.report.parts().begin(), crash.report.parts().end());
    }
    std::vector<crashed_run> runs;
    for (auto& [endpoint, run] : byEndpoint) {
        run.confirmed = run.certain || now - run.at >= m_settings.reportOverdue;
        runs.push_back(std::move(run));
    }
    std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return runs;
}

prompt_part_blocks::evidence_map prompt_part_blocks::collectEvidence(const std::vector<crashed_run>& runs) const
{
    evidence_map evidence;
    for (std::size_t position = 0; position < runs.size(); ++position) {
        const auto& run = runs[position];
        std::vector<const part_set*> explanations;
        for (const auto& [blocked, until] : m_certain) {
            if (std::any_of(run.calls.begin(), run.calls.end(), [&blocked = blocked](const auto& call) { return hasAll(call, blocked); }))
                explanations.push_back(&blocked);
        }
        for (const auto& call : run.calls) {
            for (auto part : call) {
                auto& own = evidence[part];
                ++own.calls;
                own.lastCrashAt = run.at;
                auto known = m_knowledge.find(part);
                bool isExplained = std::any_of(explanations.begin(), explanations.end(), [part](const auto* blocked) { return !hasAll(*blocked, { part }); });
                bool isCleared = known != m_knowledge.end() && known->second.succeededAt >= run.at;
                if (!isExplained && !isCleared && (own.runs.empty() || own.runs.back() != position))
                    own.runs.push_back(position);
            }
        }
    }
    return evidence;
}

prompt_part_blocks::moment_counts prompt_part_blocks::countMoments(const std::vector<crashed_run>& runs, const std::vector<std::size_t>& positions)
{
    moment_counts counts;
    bool confirmed = false;
    bool certain = false;
    time_point last {};
    for (auto position : positions) {
        const auto& run = runs[position];
        if (counts.all == 0 || run.at - last > crash_tracker::momentLength) {
            ++counts.all;
            confirmed = false;
            certain = false;
        }
        last = run.at;
        counts.confirmed += !confirmed && run.confirmed ? 1 : 0;
        counts.certain += !certain && run.certain ? 1 : 0;
        confirmed = confirmed || run.confirmed;
        certain = certain || run.certain;
    }
    return counts;
}

void prompt_part_blocks::selectSuspects(const std::vector<crashed_run>& runs, const evidence_map& evidence, time_point now)
{
    struct ranked_part {
        std::uint64_t part;
        std::size_t moments;
        time_point lastCrashAt;
    };
    std::vector<ranked_part> ranked;
    for (const auto& [part, own] : evidence)
        ranked.push_back({ part, countMoments(runs, own.runs).all, own.lastCrashAt });
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return std::pair(a.moments, a.lastCrashAt) > std::pair(b.moments, b.lastCrashAt); });
    ranked.resize(std::min(ranked.size(), maxKnownParts));
    std::map<std::uint64_t, part_knowledge> known;
    m_suspects.clear();
    for (const auto& candidate : ranked) {
        auto found = m_knowledge.find(candidate.part);
        if (found != m_knowledge.end())
            known[candidate.part] = std::move(found->second);
        else
            known[candidate.part].suspectedAt = now;
        bool isSuspected = candidate.moments > 1 || (candidate.moments == 1 && now - candidate.lastCrashAt < singleCrashPeriod);
        if (isSuspected && m_suspects.size() < maxSuspects)
            m_suspects.insert(candidate.part);
    }
    m_knowledge = std::move(known);
}

bool prompt_part_blocks::isBlocked(const part_evidence& evidence, const moment_counts& moments, std::size_t ownMoments, const part_knowledge& knowledge, time_point now) const
{
    if (now - knowledge.suspectedAt < answerTime)
        return false;
    std::uint32_t successesWithout = 0;
    for (const auto& [entry, successes] : knowledge.successesWithout)
        successesWithout += successes;
    if (knowledge.succeededAt != time_point {})
        return moments.confirmed >= confirmedToBlockKnown && moments.all >= momentsToBlockKnown && successesWithout >= successesWithoutToBlockKnown && now - knowledge.succeededAt >= failingTimeOfKnown;
    // Without any success, only a part that hardly any other call had can be told from what all calls have in common.
    bool isSpecific = evidence.calls * 2 <= evidence.runs.size() * 3;
    bool isEnough = successesWithout >= successesWithoutToBlock || (isSpecific && ownMoments >= momentsToBlockAlone);
    return moments.confirmed >= confirmedToBlock && moments.all >= momentsToBlock && isEnough;
}

bool prompt_part_blocks::accompanies(std::uint64_t part, std::uint64_t other, const std::vector<crashed_run>& runs, const part_evidence& others)
{
    return std::all_of(others.runs.begin(), others.runs.end(), [&](auto position) {
        const auto& calls = runs[position].calls;
        return std::all_of(calls.begin(), calls.end(), [&](const auto& call) { return !hasAll(call, { other }) || hasAll(call, { part }); });
    });
}

std::size_t prompt_part_blocks::countOwnMoments(std::uint64_t part, const part_evidence& own, const std::vector<crashed_run>& runs, const evidence_map& evidence) const
{
    auto positions = own.runs;
    for (auto other : m_suspects) {
        const auto& others = evidence.at(other);
        bool mayExplain = others.calls < own.calls && countMoments(runs, others.runs).all >= momentsToBlock && accompanies(part, other, runs, others);
        if (mayExplain)
            std::erase_if(positions, [&](auto position) { return std::binary_search(others.runs.begin(), others.runs.end(), position); });
    }
    return countMoments(runs, positions).all;
}

prompt_part_blocks::part_set prompt_part_blocks::findInseparable(std::uint64_t part, const part_evidence& own, const std::vector<crashed_run>& runs, const evidence_map& evidence) const
{
    part_set together;
    std::copy_if(m_suspects.begin(), m_suspects.end(), std::back_inserter(together), [&](auto other) {
        const auto& others = evidence.at(other).runs;
        if (!std::includes(others.begin(), others.end(), own.runs.begin(), own.runs.end()))
            return false;
        return accompanies(other, part, runs, own);
    });
    return together;
}

void prompt_part_blocks::block(part_set parts, const moment_counts& moments, const std::set<part_set>& suspectedBefore, time_point now)
{
    if (m_certain.count(parts) > 0)
        return;
    bool isCertain = moments.certain >= certainMoments;
    if (isCertain || suspectedBefore.count(parts) == 0)
        logEvent("prompt_parts_blocked", { { "parts", fmt::format("{:x}", fmt::join(parts, ",")) }, { "certain", isCertain ? 1 : 0 }, { "moments", moments.all }, { "confirmed_moments", moments.confirmed }, { "certain_moments", moments.certain } });
    if (isCertain)
        m_certain[std::move(parts)] = now + m_settings.blockLifetime;
    else
        m_suspected.insert(std::move(parts));
}

void prompt_part_blocks::refresh(time_point now)
{
    m_crashes.expire(m_settings.crashLifetime, now);
    std::erase_if(m_certain, [now](const auto& item) { return item.second < now; });
    auto suspectedBefore = std::exchange(m_suspected, {});
    if (!m_deciding)
        return;
    auto runs = collectRuns(now);
    auto evidence = collectEvidence(runs);
    selectSuspects(runs, evidence, now);
    std::vector<std::uint64_t> candidates(m_suspects.begin(), m_suspects.end());
    std::sort(candidates.begin(), candidates.end(), [&](auto a, auto b) { return evidence.at(a).calls < evidence.at(b).calls; });
    std::map<std::size_t, part_set> explained;
    for (auto part : candidates) {
        auto own = evidence.at(part);
        std::erase_if(own.runs, [&](auto position) { return explained.count(position) > 0 && !hasAll(explained.at(position), { part }); });
        auto moments = countMoments(runs, own.runs);
        const auto& knowledge = m_knowledge.at(part);
        // Counting the part's own moments takes long, so it is left for parts that would be blocked otherwise.
        if (!isBlocked(own, moments, moments.all, knowledge, now) || !isBlocked(own, moments, countOwnMoments(part, own, runs, evidence), knowledge, now))
            continue;
        auto together = findInseparable(part, own, runs, evidence);
        for (auto position : own.runs)
            explained.emplace(position, together);
        block(std::move(together), moments, suspectedBefore, now);
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
