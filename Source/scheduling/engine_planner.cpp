#include "scheduling/engine_planner.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Engines are filled up to this share of their memory, by projection. The rest covers memory that goes by blocks,
    /// answers longer than expected and calls that entries placed by themselves while no leader answered.
    constexpr double memoryShare = 0.93;
    /// A call placed more recently than this may not be in its entry's list yet: a plan takes a few milliseconds to
    /// arrive.
    constexpr milliseconds listLag { 80 };
    /// Prompt tokens that an engine reads in a millisecond; engines of the kind this was measured on read 55.
    constexpr double promptTokensPerMs = 50;
    /// What another data centre costs, as a share of memory and as time: a transfer takes twice as long there.
    constexpr double remoteLoad = 0.03;
    constexpr milliseconds remoteDelay { 3 };
    /// Waiting prompts beyond which the decode engine had better read the prompt itself, though at half the speed.
    constexpr milliseconds longestPromptQueue { 300 };
    /// What a call that outgrew its estimate is expected to generate yet, as a share of the estimate.
    constexpr double outgrownShare = 0.15;
    /// How much the newest call counts in the speed of generation.
    constexpr double speedWeight = 0.05;
    constexpr milliseconds leastToLearnFrom { 200 };
}

void engine_planner::takeEndpoint(const wire::endpoint_row& row)
{
    const auto& report = row.report();
    if (report.state() == wire::ENDPOINT_GONE) {
        m_engines.erase(report.id());
        return;
    }
    auto& one = m_engines[report.id()];
    if (one.row.report().born_ms() != report.born_ms())
        one.promptsReadAt = {};
    one.row = row;
}

bool engine_planner::serves(const engine& one, const engine_ask& ask, wire::endpoint_stage stage)
{
    const auto& report = one.row.report();
    return report.service() == ask.service && report.stage() == stage && report.state() == wire::ENDPOINT_SERVING && !one.row.silent()
        && !ask.exclude.count(report.id());
}

std::vector<engine_planner::engine*> engine_planner::candidates(const engine_ask& ask, wire::endpoint_stage stage)
{
    std::vector<engine*> sound;
    std::vector<engine*> doubtful;
    for (auto& [id, one] : m_engines) {
        if (serves(one, ask, stage))
            (ask.avoid.count(id) ? doubtful : sound).push_back(&one);
    }
    // A call waits for a sound engine rather than go to one that just failed; where all failed, waiting helps nobody.
    return sound.empty() ? doubtful : sound;
}

memory_user engine_planner::userOf(const placed_call& call, time_point now) const
{
    auto elapsed = std::chrono::duration<double, std::milli>(now - call.at).count();
    auto grown = call.generated + static_cast<std::uint64_t>(std::max(0.0, elapsed * m_tokensPerMs));
    auto least = static_cast<std::uint64_t>(outgrownShare * static_cast<double>(call.output));
    if (grown + least >= call.output)
        return { call.prompt + std::max(call.generated, std::min(grown, call.output)), least };
    return { call.prompt + grown, call.output - grown };
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

const engine_planner::engine* engine_planner::pickDecode(const engine_ask& ask, time_point now)
{
    auto users = usersNow(now);
    const engine* best = nullptr;
    double bestCost = 0;
    auto memory = static_cast<double>(std::max<std::uint64_t>(ask.memoryTokens, 1));
    for (const auto* one : candidates(ask, wire::STAGE_DECODE)) {
        const auto& report = one->row.report();
        auto& running = users[report.id()];
        bool empty = running.empty();
        running.push_back({ ask.promptTokens, ask.outputTokens });
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
    for (auto* one : candidates(ask, wire::STAGE_PREFILL)) {
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

engine_plan engine_planner::place(const std::string& entry, const engine_ask& ask, time_point now)
{
    engine_plan plan;
    const auto* decode = pickDecode(ask, now);
    if (!decode) {
        plan.full = true;
        return plan;
    }
    plan.decode = decode->row.report().id();
    m_calls[entry][ask.callId] = { plan.decode, ask.promptTokens, ask.outputTokens, 0, now };
    if (auto* prefill = pickPrefill(ask, decode->row.report().data_centre(), now)) {
        plan.prefill = prefill->row.report().id();
        auto reading = std::chrono::duration<double, std::milli>(static_cast<double>(ask.promptTokens) / promptTokensPerMs);
        prefill->promptsReadAt = std::max(now, prefill->promptsReadAt) + std::chrono::duration_cast<duration>(reading);
    }
    return plan;
}

void engine_planner::takeCalls(const std::string& entry, const std::vector<wire::running_call>& calls, time_point now)
{
    std::map<std::uint64_t, placed_call> fresh;
    for (const auto& call : calls)
        fresh[call.id()] = { call.endpoint(), call.prompt_tokens(), call.output_tokens(), call.generated(), now };
    for (auto& [id, call] : m_calls[entry]) {
        if (now - call.at <= listLag)
            fresh.emplace(id, call);
    }
    m_calls[entry] = std::move(fresh);
}

void engine_planner::release(const std::string& entry, std::uint64_t callId, std::uint64_t generated, milliseconds generating)
{
    auto found = m_calls.find(entry);
    if (found != m_calls.end())
        found->second.erase(callId);
    if (generating < leastToLearnFrom || generated == 0)
        return;
    auto speed = static_cast<double>(generated) / static_cast<double>(generating.count());
    m_tokensPerMs += speedWeight * (speed - m_tokensPerMs);
}

void engine_planner::forgetEntry(const std::string& entry)
{
    m_calls.erase(entry);
}

} // namespace pistachiolatch
