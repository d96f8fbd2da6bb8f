#include "scheduling/engine_planner.h"

#include "scheduling/output_estimator.h"
#include <algorithm>
#include <cmath>

namespace pistachiolatch {

namespace {
    /// A call placed more recently than this may not be in its entry's list yet: a plan takes a few milliseconds to
    /// arrive.
    constexpr milliseconds listLag { 80 };
    /// What another data centre costs, as a share of memory and as time: a transfer takes twice as long there.
    constexpr double remoteLoad = 0.03;
    constexpr milliseconds remoteDelay { 3 };
    /// Prompts that a prefill engine still has to read when it counts as busy. With a longer queue the first event would
    /// come later than callers are content with.
    constexpr milliseconds longestPromptQueue { 300 };
    /// A decode engine reads a prompt at half the speed of a prefill engine and makes no tokens meanwhile.
    constexpr int decodeReadsSlower = 2;
    /// The longest pause that a prompt may bring to the streams of a decode engine which reads it: without a bound, all
    /// streams of an engine stand still, time and again, while the prefill engines are busy.
    constexpr milliseconds longestDecodeRead { 120 };
    /// How long an engine that refused a call is left alone, doubled with each refusal up to about the time of a call.
    constexpr milliseconds firstRefusalPause { 150 };
    constexpr unsigned mostDoublings = 3;
    /// Failures so close together count once: connections that are reset at one moment have one cause, which need not be
    /// the engine's.
    constexpr milliseconds oneMoment { 50 };

    double inMs(duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }
}

void engine_planner::updateEndpoint(const wire::endpoint_row& row)
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
    if (report.stage() == one.changesTo)
        one.changesTo = wire::STAGE_ANY;
}

bool engine_planner::serves(const engine& one, const placement_request& ask, wire::endpoint_stage stage)
{
    const auto& report = one.row.report();
    return report.service() == ask.service && report.stage() == stage && report.state() == wire::ENDPOINT_SERVING && !one.row.silent()
        && !ask.exclude.count(report.id());
}

std::vector<engine_planner::engine*> engine_planner::candidates(const placement_request& ask, wire::endpoint_stage stage, time_point now)
{
    std::vector<engine*> sound;
    std::vector<engine*> failing;
    std::vector<engine*> doubtful;
    for (auto& [id, one] : m_engines) {
        if (!serves(one, ask, stage) || isChanging(one, now) || now < one.fullUntil)
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

const engine_speed_model& engine_planner::figuresAt(const std::string& endpoint) const
{
    static const engine_speed_model unknown;
    auto engine = m_engines.find(endpoint);
    auto known = engine == m_engines.end() ? m_figures.end() : m_figures.find(engine->second.row.report().service());
    return known == m_figures.end() ? unknown : known->second;
}

duration engine_planner::timeToFirstEvent(const placement_request& ask)
{
    return m_figures[ask.service].timeToFirstEvent(ask.promptTokens);
}

double engine_planner::expectedEnds(const std::string& service, duration within, time_point now) const
{
    double ends = 0;
    for (const auto& [entry, calls] : m_calls) {
        for (const auto& [id, call] : calls) {
            auto engine = m_engines.find(call.endpoint);
            if (engine == m_engines.end() || engine->second.row.report().service() != service)
                continue;
            auto restMs = static_cast<double>(userOf(call, now).remaining) / figuresAt(call.endpoint).generatedTokensPerMs();
            ends += 1 - std::exp(-inMs(within) / std::max(restMs, 1.0));
        }
    }
    return ends;
}

call_memory engine_planner::userOf(const placed_call& call, time_point now) const
{
    auto grown = call.generated + static_cast<std::uint64_t>(std::max(0.0, inMs(now - call.at) * figuresAt(call.endpoint).generatedTokensPerMs()));
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

engine_planner::engine* engine_planner::pickDecode(const placement_request& ask, time_point now)
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
        // A request larger than the memory that is projected is served where nothing else runs.
        if (!empty && (peak > memory || !slotFree))
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

engine_planner::engine* engine_planner::pickPrefill(const placement_request& ask, const std::string& nearTo, time_point now)
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

bool engine_planner::mayReadItself(const engine& decode, const placement_request& ask, time_point now)
{
    if (candidates(ask, wire::STAGE_PREFILL, now).empty())
        return true;
    auto users = usersNow(now);
    if (users[decode.row.report().id()].empty())
        return true;
    auto pending = std::max(duration::zero(), decode.promptsReadAt - now);
    return pending + m_figures[ask.service].readingTime(ask.promptTokens) * decodeReadsSlower <= longestDecodeRead;
}

engine_placement engine_planner::place(const std::string& entry, const placement_request& ask, time_point now)
{
    auto* decode = pickDecode(ask, now);
    if (!decode)
        return { .full = true, .decode = {}, .prefill = {} };
    auto* prefill = pickPrefill(ask, decode->row.report().data_centre(), now);
    if (!prefill && !mayReadItself(*decode, ask, now))
        return { .full = true, .decode = {}, .prefill = {}, .prefillBusy = true };
    engine_placement plan { .decode = decode->row.report().id(), .prefill = prefill ? prefill->row.report().id() : std::string() };
    m_calls[entry][ask.callId] = { plan.decode, ask.promptTokens, ask.outputTokens, 0, now, now };
    learnCosts(ask);
    m_breaker.onSent(plan.decode, now);
    m_breaker.onSent(plan.prefill, now);
    auto& reader = prefill ? *prefill : *decode;
    reader.promptsReadAt = std::max(now, reader.promptsReadAt) + m_figures[ask.service].readingTime(ask.promptTokens) * (prefill ? 1 : decodeReadsSlower);
    return plan;
}

void engine_planner::replaceCalls(const std::string& entry, const std::vector<wire::running_call>& calls, time_point now)
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

void engine_planner::release(const std::string& entry, std::uint64_t callId, const call_measurements& figures)
{
    auto& calls = m_calls[entry];
    auto ended = calls.find(callId);
    if (ended == calls.end())
        return;
    auto engine = m_engines.find(ended->second.endpoint);
    if (engine != m_engines.end()) {
        auto& known = m_figures[engine->second.row.report().service()];
        known.learnReading(figures.prefillTokens, figures.prefillTime);
        known.learnGeneration(figures.generatedTokens, figures.generationTime);
        if (figures.firstEventDelay > milliseconds(0))
            known.learnFirstEvent(figures.firstEventDelay);
    }
    m_breaker.onUndecided(ended->second.endpoint);
    calls.erase(ended);
}

void engine_planner::learnCosts(const placement_request& ask)
{
    const auto& figures = m_figures[ask.service];
    if (!figures.known() || ask.memoryTokens == 0)
        return;
    // By its forecast: those that end first are short, and learnt from their ends, calls seem to cost little for a while.
    auto output = expectedRest(ask.outputTokens, 0);
    auto heldMs = output / figures.generatedTokensPerMs() + inMs(figures.timeToFirstEvent(0));
    auto held = static_cast<double>(ask.promptTokens) + output / 2;
    m_balances[ask.service].learn({ inMs(figures.readingTime(ask.promptTokens)), held * heldMs / static_cast<double>(ask.memoryTokens) });
}

std::vector<engine_stage_load> engine_planner::balancedEngines(const std::string& service, time_point now) const
{
    auto users = usersNow(now);
    std::vector<engine_stage_load> engines;
    for (const auto& [id, one] : m_engines) {
        const auto& report = one.row.report();
        bool counts = report.service() == service && report.stage() != wire::STAGE_ANY && report.state() == wire::ENDPOINT_SERVING && !one.row.silent();
        if (!counts)
            continue;
        auto stage = isChanging(one, now) ? one.changesTo : report.stage();
        auto calls = users.find(id);
        auto load = stage == wire::STAGE_DECODE ? static_cast<double>(calls == users.end() ? 0 : calls->second.size())
                                                : std::chrono::duration<double>(std::max(duration::zero(), one.promptsReadAt - now)).count();
        engines.push_back({ id, report.data_centre(), stage, load, isChanging(one, now) });
    }
    return engines;
}

std::optional<stage_change> engine_planner::chooseStageChange(time_point now)
{
    for (auto& [service, balance] : m_balances) {
        if (auto change = balance.decide(balancedEngines(service, now), now))
            return change;
    }
    return std::nullopt;
}

void engine_planner::startStageChange(const stage_change& change, time_point until)
{
    auto found = m_engines.find(change.engine);
    if (found == m_engines.end())
        return;
    found->second.changesTo = change.to;
    found->second.changesUntil = until;
}

void engine_planner::cancelStageChange(const std::string& engine, time_point now)
{
    /// An engine that can't be ordered now may be with the next heartbeat or so.
    constexpr milliseconds pauseAfterFailure { 3000 };
    auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return;
    found->second.changesTo = wire::STAGE_ANY;
    m_balances[found->second.row.report().service()].pause(now + pauseAfterFailure);
}

const wire::endpoint_report* engine_planner::findReport(const std::string& engine) const
{
    auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : &found->second.row.report();
}

void engine_planner::learnFromEvents(const placed_call& call)
{
    auto found = m_engines.find(call.endpoint);
    if (call.generated > 0 && found != m_engines.end() && call.placedAt > found->second.failedAt)
        recordSuccess(call.endpoint);
}

void engine_planner::recordSuccess(const std::string& endpoint)
{
    m_breaker.onSuccess(endpoint);
    auto found = m_engines.find(endpoint);
    if (found != m_engines.end())
        found->second.refusals = 0;
}

void engine_planner::recordRefusal(const std::string& endpoint, time_point now)
{
    auto found = m_engines.find(endpoint);
    if (found == m_engines.end() || now < found->second.fullUntil)
        return;
    auto doublings = std::min(found->second.refusals++, mostDoublings);
    found->second.fullUntil = now + firstRefusalPause * (1 << doublings);
}

void engine_planner::recordFailure(const std::string& endpoint, time_point now)
{
    auto found = m_engines.find(endpoint);
    if (found == m_engines.end() || (found->second.failedAt != time_point {} && now - found->second.failedAt < oneMoment))
        return;
    found->second.failedAt = now;
    m_breaker.onFailure(endpoint, now);
}

void engine_planner::removeEntry(const std::string& entry)
{
    m_calls.erase(entry);
}

} // namespace pistachiolatch
