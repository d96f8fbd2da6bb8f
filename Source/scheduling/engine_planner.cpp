#include "scheduling/engine_planner.h"

#include "scheduling/output_forecast.h"
#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Engines are filled up to this share of their memory, by projection. The rest covers memory that goes by blocks and
    /// calls that entries placed by themselves while no leader answered.
    constexpr double memoryShare = 0.96;
    /// A call placed more recently than this may not be in its entry's list yet: a plan takes a few milliseconds to
    /// arrive.
    constexpr milliseconds listLag { 80 };
    /// Prompt tokens that an engine reads in a millisecond; engines of the kind this was measured on read 55.
    constexpr double promptTokensPerMs = 50;
    /// What another data centre costs, as a share of memory and as time: a transfer takes twice as long there.
    constexpr double remoteLoad = 0.03;
    constexpr milliseconds remoteDelay { 3 };
    /// Prompts that a prefill engine still has to read when it counts as busy. With a longer queue the first event would
    /// come later than callers are content with.
    constexpr milliseconds longestPromptQueue { 300 };
    /// A decode engine reads a prompt at half the speed and makes no tokens meanwhile.
    constexpr double decodeReadsPerMs = promptTokensPerMs / 2;
    /// The longest pause that a prompt may bring to the streams of a decode engine which reads it. Measured without this
    /// bound, in a burst that kept the prefill engines busy: all streams of three engines stood still for 330 to 525 ms,
    /// time and again, and were late for it; 300 ms are borne, 60 pass between events anyway.
    constexpr milliseconds longestDecodeRead { 120 };
    /// How much the newest call counts in the speed of generation.
    constexpr double speedWeight = 0.05;
    constexpr milliseconds leastToLearnFrom { 200 };
    /// Failures so close together count once: connections that are reset at one moment have one cause, which need not be
    /// the engine's.
    constexpr milliseconds oneMoment { 50 };

    duration readingTime(std::uint64_t tokens, double tokensPerMs)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / tokensPerMs));
    }
}

void engine_planner::takeEndpoint(const wire::endpoint_row& row)
{
    const auto& report = row.report();
    if (report.state() == wire::ENDPOINT_GONE) {
        m_engines.erase(report.id());
        m_breaker.forget(report.id());
        return;
    }
    auto& one = m_engines[report.id()];
    if (one.row.report().born_ms() != report.born_ms()) {
        one.promptsReadAt = {};
        m_breaker.forget(report.id());
    }
    one.row = row;
}

bool engine_planner::serves(const engine& one, const engine_ask& ask, wire::endpoint_stage stage)
{
    const auto& report = one.row.report();
    return report.service() == ask.service && report.stage() == stage && report.state() == wire::ENDPOINT_SERVING && !one.row.silent()
        && !ask.exclude.count(report.id());
}

std::vector<engine_planner::engine*> engine_planner::candidates(const engine_ask& ask, wire::endpoint_stage stage, time_point now)
{
    std::vector<engine*> sound;
    std::vector<engine*> failing;
    std::vector<engine*> doubtful;
    for (auto& [id, one] : m_engines) {
        if (!serves(one, ask, stage))
            continue;
        if (ask.avoid.count(id))
            doubtful.push_back(&one);
        else
            (m_breaker.allows(id, now) ? sound : failing).push_back(&one);
    }
    // Where most engines fail the cause is not theirs, and the few others would be overfilled.
    if (failing.size() > sound.size())
        sound.insert(sound.end(), failing.begin(), failing.end());
    // A call waits for a sound engine rather than go to one that just failed; where all failed, waiting helps nobody.
    return sound.empty() ? doubtful : sound;
}

memory_user engine_planner::userOf(const placed_call& call, time_point now) const
{
    auto elapsed = std::chrono::duration<double, std::milli>(now - call.at).count();
    auto grown = call.generated + static_cast<std::uint64_t>(std::max(0.0, elapsed * m_tokensPerMs));
    return { call.prompt + grown, static_cast<std::uint64_t>(expectedRest(call.output, grown)) };
}

engine_planner::users_by_endpoint engine_planner::usersNow(time_point now) const
{
    users_by_endpoint users;
    for (const auto& [entry, calls] : m_calls) {
        for (const auto& [id, call] : calls)
            users[call.endpoint].push_back(userOf(call, now));
    }
    return users;
}

std::uint64_t engine_planner::projectedTokens(const std::string& endpoint, time_point now) const
{
    auto users = usersNow(now);
    auto found = users.find(endpoint);
    return found == users.end() ? 0 : peakMemory(found->second);
}

engine_planner::engine* engine_planner::pickDecode(const engine_ask& ask, time_point now)
{
    auto users = usersNow(now);
    engine* best = nullptr;
    double bestCost = 0;
    auto memory = static_cast<double>(std::max<std::uint64_t>(ask.memoryTokens, 1));
    for (auto* one : candidates(ask, wire::STAGE_DECODE, now)) {
        const auto& report = one->row.report();
        auto& running = users[report.id()];
        bool empty = running.empty();
        running.push_back({ ask.promptTokens, static_cast<std::uint64_t>(expectedRest(ask.outputTokens, 0)) });
        auto peak = static_cast<double>(peakMemory(running));
        bool slotFree = report.slots() == 0 || running.size() <= report.slots();
        // A request larger than the share is served where nothing else runs.
        if (!empty && (peak > memoryShare * memory || !slotFree))
            continue;
        double tieBreak = std::uniform_real_distribution<double>(0, 0.01)(m_random);
        double cost = peak / memory + (report.data_centre() == ask.dataCentre ? 0 : remoteLoad) + tieBreak;
        if (best && cost >= bestCost)
            continue;
        best = one;
        bestCost = cost;
    }
    return best;
}

engine_planner::engine* engine_planner::pickPrefill(const engine_ask& ask, const std::string& nearTo, time_point now)
{
    engine* best = nullptr;
    time_point bestAt {};
    for (auto* one : candidates(ask, wire::STAGE_PREFILL, now)) {
        auto at = std::max(now, one->promptsReadAt);
        if (one->row.report().data_centre() != nearTo)
            at += remoteDelay;
        if (best && at >= bestAt)
            continue;
        best = one;
        bestAt = at;
    }
    return best && bestAt - now <= longestPromptQueue ? best : nullptr;
}

bool engine_planner::mayReadItself(const engine& decode, const engine_ask& ask, time_point now)
{
    if (candidates(ask, wire::STAGE_PREFILL, now).empty())
        return true;
    auto users = usersNow(now);
    if (users[decode.row.report().id()].empty())
        return true;
    auto pending = std::max(duration::zero(), decode.promptsReadAt - now);
    return pending + readingTime(ask.promptTokens, decodeReadsPerMs) <= longestDecodeRead;
}

engine_plan engine_planner::place(const std::string& entry, const engine_ask& ask, time_point now)
{
    auto* decode = pickDecode(ask, now);
    if (!decode)
        return { .full = true, .decode = {}, .prefill = {} };
    auto* prefill = pickPrefill(ask, decode->row.report().data_centre(), now);
    if (!prefill && !mayReadItself(*decode, ask, now))
        return { .full = true, .decode = {}, .prefill = {} };
    engine_plan plan { false, decode->row.report().id(), prefill ? prefill->row.report().id() : std::string() };
    m_calls[entry][ask.callId] = { plan.decode, ask.promptTokens, ask.outputTokens, 0, now, now };
    m_breaker.onSent(plan.decode, now);
    m_breaker.onSent(plan.prefill, now);
    auto& reader = prefill ? *prefill : *decode;
    reader.promptsReadAt = std::max(now, reader.promptsReadAt) + readingTime(ask.promptTokens, prefill ? promptTokensPerMs : decodeReadsPerMs);
    return plan;
}

void engine_planner::takeCalls(const std::string& entry, const std::vector<wire::running_call>& calls, time_point now)
{
    auto& known = m_calls[entry];
    std::map<std::uint64_t, placed_call> fresh;
    for (const auto& call : calls) {
        auto before = known.find(call.id());
        auto placedAt = before == known.end() ? now : before->second.placedAt;
        auto& one = fresh[call.id()];
        one = { call.endpoint(), call.prompt_tokens(), call.output_tokens(), call.generated(), now, placedAt };
        learnFromEvents(one);
    }
    for (auto& [id, call] : known) {
        if (now - call.at <= listLag)
            fresh.emplace(id, call);
    }
    known = std::move(fresh);
}

void engine_planner::release(const std::string& entry, std::uint64_t callId, std::uint64_t generated, milliseconds generating)
{
    auto& calls = m_calls[entry];
    auto ended = calls.find(callId);
    if (ended != calls.end()) {
        m_breaker.onUndecided(ended->second.endpoint);
        calls.erase(ended);
    }
    if (generating < leastToLearnFrom || generated == 0)
        return;
    auto speed = static_cast<double>(generated) / static_cast<double>(generating.count());
    m_tokensPerMs += speedWeight * (speed - m_tokensPerMs);
}

void engine_planner::learnFromEvents(const placed_call& call)
{
    auto found = m_engines.find(call.endpoint);
    if (call.generated > 0 && found != m_engines.end() && call.placedAt > found->second.failedAt)
        noteSuccess(call.endpoint);
}

void engine_planner::noteFailure(const std::string& endpoint, time_point now)
{
    auto found = m_engines.find(endpoint);
    if (found == m_engines.end() || (found->second.failedAt != time_point {} && now - found->second.failedAt < oneMoment))
        return;
    found->second.failedAt = now;
    m_breaker.onFailure(endpoint, now);
}

void engine_planner::forgetEntry(const std::string& entry)
{
    m_calls.erase(entry);
}

} // namespace pistachiolatch
