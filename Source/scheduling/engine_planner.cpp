#include "scheduling/engine_planner.h"

#include "scheduling/candidate_groups.h"
#include "scheduling/output_estimator.h"
#include "scheduling/time_units.h"
#include <algorithm>
#include <cmath>

namespace pistachiolatch {

namespace {
    /// Penalty for another data centre, as a share of memory and as time: transfers between data centres take twice as
    /// long.
    constexpr double remoteMemoryCost = 0.03;
    constexpr milliseconds remotePrefillDelay { 3 };
    /// Longest queue of a prefill engine that accepts another prompt. With a longer queue the first event would miss
    /// its latency target.
    constexpr milliseconds maxPrefillQueue { 300 };
    /// A decode engine prefills at half the speed of a prefill engine and generates no tokens meanwhile.
    constexpr int decodePrefillSlowdown = 2;
    /// Longest stall of a decode engine's streams for prefilling a prompt itself. Without a limit all its streams stall
    /// repeatedly while the prefill engines are busy.
    constexpr milliseconds maxDecodePrefillTime { 120 };
    /// Backoff after a refusal, doubled with each further one up to about the duration of a call.
    constexpr milliseconds initialRefusalBackoff { 150 };
    constexpr unsigned maxBackoffDoublings = 3;
    /// Failures within this time count once: connections that are reset together have one cause, possibly not the
    /// engine.
    constexpr milliseconds failureMergeWindow { 50 };
}

void engine_planner::updateEndpoint(const wire::endpoint_row& row)
{
    const auto& report = row.report();
    if (report.state() == wire::ENDPOINT_GONE) {
        m_engines.erase(report.id());
        m_breaker.reset(report.id());
        m_pacer.remove(report.id());
        return;
    }
    auto& updated = m_engines[report.id()];
    if (updated.row.report().born_ms() != report.born_ms()) {
        updated.prefillsDoneAt = {};
        m_breaker.reset(report.id());
    }
    updated.row = row;
    m_pacer.update(row);
    if (report.stage() == updated.targetStage)
        updated.targetStage = wire::STAGE_ANY;
}

bool engine_planner::isUsable(const engine& candidate, const std::string& service) const
{
    const auto& report = candidate.row.report();
    return report.service() == service && report.state() == wire::ENDPOINT_SERVING && !candidate.row.silent() && !m_evacuated.count(report.data_centre());
}

std::vector<engine_planner::engine*> engine_planner::candidates(const placement_request& request, wire::endpoint_stage stage, time_point now)
{
    candidate_groups<engine> groups;
    for (auto& [id, candidate] : m_engines) {
        const auto& report = candidate.row.report();
        // A prompt may be processed at any version: only what generates events must not change within a stream.
        bool versionAllowed = stage == wire::STAGE_PREFILL || request.version.allows(report);
        bool eligible = isUsable(candidate, request.service) && report.stage() == stage && versionAllowed && !request.exclude.count(id);
        if (eligible && !isChangingStage(candidate, now) && now >= candidate.backoffUntil)
            groups.add(candidate, id, request.avoid, m_breaker, now);
    }
    return groups.preferred();
}

bool engine_planner::hasEndpoints(const placement_request& request) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& item) {
        const auto& report = item.second.row.report();
        return isUsable(item.second, request.service) && report.stage() != wire::STAGE_PREFILL && request.version.allows(report) && !request.exclude.count(item.first);
    });
}

const engine_speed_model& engine_planner::speedModelOf(const std::string& endpoint) const
{
    static const engine_speed_model defaults;
    auto engine = m_engines.find(endpoint);
    auto model = engine == m_engines.end() ? m_speedModels.end() : m_speedModels.find(engine->second.row.report().service());
    return model == m_speedModels.end() ? defaults : model->second;
}

duration engine_planner::timeToFirstEvent(const placement_request& request)
{
    return m_speedModels[request.service].timeToFirstEvent(request.promptTokens);
}

double engine_planner::chanceToFinish(const placement_request& request, duration within)
{
    const auto& model = m_speedModels[request.service];
    if (!model.hasEnoughSamples())
        return 1;
    return chanceToEndWithin(request.outputTokens, toMs(within - model.timeToFirstEvent(request.promptTokens)) * model.generatedTokensPerMs());
}

double engine_planner::expectedCompletions(const std::string& service, duration within, time_point now) const
{
    double completions = 0;
    for (const auto& [entry, calls] : m_calls) {
        for (const auto& [id, call] : calls) {
            auto engine = m_engines.find(call.endpoint);
            // An endpoint that leaves or is evacuated ends its calls, but takes no others in their place.
            if (engine == m_engines.end() || !isUsable(engine->second, service) || m_pacer.namesLimit(call.endpoint))
                continue;
            auto remainingMs = static_cast<double>(memoryOf(call, now).remaining) / speedModelOf(call.endpoint).generatedTokensPerMs();
            completions += 1 - std::exp(-toMs(within) / std::max(remainingMs, 1.0));
        }
    }
    // A cold or limited engine has room, but takes the next call only after a pause.
    for (const auto& [id, candidate] : m_engines) {
        if (isUsable(candidate, service) && candidate.row.report().stage() == wire::STAGE_DECODE)
            completions += completionsPerPlacement * m_pacer.expectedCalls(id, within, now);
    }
    auto prefills = limitedPrefills(service, within, now);
    return prefills ? std::min(completions, completionsPerPlacement * *prefills) : completions;
}

std::optional<double> engine_planner::limitedPrefills(const std::string& service, duration within, time_point now) const
{
    std::optional<double> calls;
    for (const auto& [id, candidate] : m_engines) {
        if (!isUsable(candidate, service) || candidate.row.report().stage() != wire::STAGE_PREFILL)
            continue;
        if (!m_pacer.namesLimit(id))
            return std::nullopt;
        calls = calls.value_or(0) + m_pacer.expectedCalls(id, within, now);
    }
    return calls;
}

call_memory engine_planner::memoryOf(const placed_call& call, time_point now) const
{
    auto generated = call.generatedTokens + static_cast<std::uint64_t>(std::max(0.0, toMs(now - call.updatedAt) * speedModelOf(call.endpoint).generatedTokensPerMs()));
    return { call.promptTokens + generated, static_cast<std::uint64_t>(expectedRemaining(call.outputTokens, generated)) };
}

engine_planner::memory_by_endpoint engine_planner::memoryByEndpoint(time_point now) const
{
    memory_by_endpoint memory;
    for (const auto& [entry, calls] : m_calls) {
        for (const auto& [id, call] : calls)
            memory[call.endpoint].push_back(memoryOf(call, now));
    }
    return memory;
}

std::uint64_t engine_planner::projectedTokens(const std::string& endpoint, time_point now) const
{
    auto memory = memoryByEndpoint(now);
    auto found = memory.find(endpoint);
    return found == memory.end() ? 0 : peakMemory(found->second);
}

engine_planner::engine* engine_planner::chooseDecode(const placement_request& request, time_point now)
{
    auto callsByEndpoint = memoryByEndpoint(now);
    engine* best = nullptr;
    double bestCost = 0;
    auto capacity = static_cast<double>(std::max<std::uint64_t>(request.memoryTokens, 1));
    for (auto* candidate : candidates(request, wire::STAGE_DECODE, now)) {
        const auto& report = candidate->row.report();
        if (!m_pacer.allows(report.id(), now))
            continue;
        auto& running = callsByEndpoint[report.id()];
        bool empty = running.empty();
        running.push_back({ request.promptTokens, static_cast<std::uint64_t>(expectedRemaining(request.outputTokens, 0)) });
        auto peak = static_cast<double>(peakMemory(running));
        bool slotFree = report.slots() == 0 || running.size() <= report.slots();
        // An idle engine also accepts a request whose projected memory exceeds the capacity.
        if (!empty && (peak > capacity || !slotFree))
            continue;
        double tieBreak = std::uniform_real_distribution<double>(0, 0.01)(m_random);
        double cost = peak / capacity + (report.data_centre() == request.dataCentre ? 0 : remoteMemoryCost) + tieBreak;
        if (best && cost >= bestCost)
            continue;
        best = candidate;
        bestCost = cost;
    }
    return best;
}

engine_planner::engine* engine_planner::choosePrefill(const placement_request& request, const std::string& dataCentre, time_point now)
{
    engine* best = nullptr;
    time_point bestAt {};
    for (auto* candidate : candidates(request, wire::STAGE_PREFILL, now)) {
        if (!m_pacer.allows(candidate->row.report().id(), now))
            continue;
        auto at = std::max(now, candidate->prefillsDoneAt);
        if (candidate->row.report().data_centre() != dataCentre)
            at += remotePrefillDelay;
        if (best && at >= bestAt)
            continue;
        best = candidate;
        bestAt = at;
    }
    return best && bestAt - now <= maxPrefillQueue ? best : nullptr;
}

bool engine_planner::canPrefillOnDecode(const engine& decode, const placement_request& request, time_point now)
{
    if (candidates(request, wire::STAGE_PREFILL, now).empty())
        return true;
    auto callsByEndpoint = memoryByEndpoint(now);
    if (callsByEndpoint[decode.row.report().id()].empty())
        return true;
    auto pending = std::max(duration::zero(), decode.prefillsDoneAt - now);
    return pending + m_speedModels[request.service].prefillTime(request.promptTokens) * decodePrefillSlowdown <= maxDecodePrefillTime;
}

engine_placement engine_planner::place(const std::string& entry, const placement_request& request, time_point now)
{
    auto* decode = chooseDecode(request, now);
    if (!decode)
        return { .full = true, .decode = {}, .prefill = {} };
    auto* prefill = choosePrefill(request, decode->row.report().data_centre(), now);
    if (!prefill && !canPrefillOnDecode(*decode, request, now))
        return { .full = true, .decode = {}, .prefill = {}, .prefillBusy = !limitedPrefills(request.service, duration::zero(), now) };
    engine_placement placement { .decode = decode->row.report().id(), .prefill = prefill ? prefill->row.report().id() : std::string() };
    m_calls[entry][request.callId] = { placement.decode, request.promptTokens, request.outputTokens, 0, now, now };
    recordCallCost(request);
    m_breaker.onSent(placement.decode, now);
    m_breaker.onSent(placement.prefill, now);
    m_pacer.onSent(placement.decode, now);
    m_pacer.onSent(placement.prefill, now);
    auto& prefiller = prefill ? *prefill : *decode;
    prefiller.prefillsDoneAt = std::max(now, prefiller.prefillsDoneAt) + m_speedModels[request.service].prefillTime(request.promptTokens) * (prefill ? 1 : decodePrefillSlowdown);
    return placement;
}

void engine_planner::replaceCalls(const std::string& entry, const std::vector<wire::running_call>& calls, time_point now)
{
    auto& tracked = m_calls[entry];
    std::map<std::uint64_t, placed_call> current;
    for (const auto& call : calls) {
        auto before = tracked.find(call.id());
        auto placedAt = before == tracked.end() ? now : before->second.placedAt;
        auto& reported = current[call.id()];
        reported = { call.endpoint(), call.prompt_tokens(), call.output_tokens(), call.generated(), now, placedAt };
        recordProgress(reported);
    }
    for (auto& [id, call] : tracked) {
        if (now - call.updatedAt <= maxPlacementDelay)
            current.emplace(id, call);
    }
    tracked = std::move(current);
}

void engine_planner::release(const std::string& entry, std::uint64_t callId, const call_measurements& measurements)
{
    auto& calls = m_calls[entry];
    auto ended = calls.find(callId);
    if (ended == calls.end())
        return;
    auto engine = m_engines.find(ended->second.endpoint);
    if (engine != m_engines.end()) {
        auto& model = m_speedModels[engine->second.row.report().service()];
        model.recordPrefill(measurements.prefillTokens, measurements.prefillTime);
        model.recordGeneration(measurements.generatedTokens, measurements.generationTime);
        if (measurements.firstEventDelay > milliseconds(0))
            model.recordFirstEvent(measurements.firstEventDelay);
    }
    m_breaker.onInconclusive(ended->second.endpoint);
    calls.erase(ended);
}

void engine_planner::recordCallCost(const placement_request& request)
{
    const auto& model = m_speedModels[request.service];
    if (!model.hasEnoughSamples() || request.memoryTokens == 0)
        return;
    // Use the estimated length: the first calls to complete are short ones, so costs by completed calls start too low.
    auto output = expectedRemaining(request.outputTokens, 0);
    auto heldMs = output / model.generatedTokensPerMs() + toMs(model.timeToFirstEvent(0));
    auto held = static_cast<double>(request.promptTokens) + output / 2;
    m_stageBalancers[request.service].recordCall({ toMs(model.prefillTime(request.promptTokens)), held * heldMs / static_cast<double>(request.memoryTokens) });
}

std::vector<engine_stage_load> engine_planner::stageLoads(const std::string& service, time_point now) const
{
    auto callsByEndpoint = memoryByEndpoint(now);
    std::vector<engine_stage_load> engines;
    for (const auto& [id, candidate] : m_engines) {
        const auto& report = candidate.row.report();
        if (!isUsable(candidate, service) || report.stage() == wire::STAGE_ANY)
            continue;
        auto stage = isChangingStage(candidate, now) ? candidate.targetStage : report.stage();
        auto calls = callsByEndpoint.find(id);
        auto load = stage == wire::STAGE_DECODE ? static_cast<double>(calls == callsByEndpoint.end() ? 0 : calls->second.size())
                                                : std::chrono::duration<double>(std::max(duration::zero(), candidate.prefillsDoneAt - now)).count();
        engines.push_back({ id, report.data_centre(), stage, load, isChangingStage(candidate, now) });
    }
    return engines;
}

std::optional<stage_change> engine_planner::chooseStageChange(time_point now)
{
    for (auto& [service, balancer] : m_stageBalancers) {
        if (auto change = balancer.chooseChange(stageLoads(service, now), now))
            return change;
    }
    return std::nullopt;
}

void engine_planner::startStageChange(const stage_change& change, time_point deadline)
{
    auto found = m_engines.find(change.engine);
    if (found == m_engines.end())
        return;
    found->second.targetStage = change.to;
    found->second.stageChangeDeadline = deadline;
}

void engine_planner::cancelStageChange(const std::string& engine, time_point now)
{
    // An engine that refuses an order now may accept it after its next heartbeats.
    constexpr milliseconds pauseAfterFailure { 3000 };
    auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return;
    found->second.targetStage = wire::STAGE_ANY;
    m_stageBalancers[found->second.row.report().service()].pause(now + pauseAfterFailure);
}

const wire::endpoint_report* engine_planner::findReport(const std::string& engine) const
{
    auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : &found->second.row.report();
}

void engine_planner::recordProgress(const placed_call& call)
{
    auto found = m_engines.find(call.endpoint);
    if (call.generatedTokens > 0 && found != m_engines.end() && call.placedAt > found->second.failedAt)
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
    if (found == m_engines.end() || now < found->second.backoffUntil)
        return;
    auto doublings = std::min(found->second.refusals++, maxBackoffDoublings);
    found->second.backoffUntil = now + initialRefusalBackoff * (1 << doublings);
}

void engine_planner::recordFailure(const std::string& endpoint, time_point now)
{
    auto found = m_engines.find(endpoint);
    if (found == m_engines.end() || (found->second.failedAt != time_point {} && now - found->second.failedAt < failureMergeWindow))
        return;
    found->second.failedAt = now;
    m_breaker.onFailure(endpoint, now);
}

void engine_planner::removeEntry(const std::string& entry)
{
    m_calls.erase(entry);
}

} // namespace pistachiolatch
