#include "scheduling/stage_balancer.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Usable shares of prefill time and decode memory: any queue at a prefill engine delays first events, while
    /// memory can be filled almost completely.
    constexpr double maxPrefillUtilisation = 0.85;
    constexpr double maxMemoryUtilisation = 0.95;
    /// Minimum ratio of the capacities after and before a change.
    constexpr double minGain = 1.1;
    /// How long an imbalance must last before a change: engines that crash are back within seconds.
    constexpr milliseconds minPendingTime { 2500 };
    constexpr unsigned minCalls = 30;
    constexpr double minSampleWeight = 0.01;
}

double callCapacity(unsigned engines, unsigned prefillEngines, const call_cost& cost)
{
    return std::min(maxPrefillUtilisation * prefillEngines / cost.prefillMs, maxMemoryUtilisation * (engines - prefillEngines) / cost.decodeMs);
}

unsigned optimalPrefillEngines(unsigned engines, const call_cost& cost)
{
    unsigned best = 1;
    for (unsigned prefillEngines = 2; prefillEngines < engines; ++prefillEngines) {
        if (callCapacity(engines, prefillEngines, cost) > callCapacity(engines, best, cost))
            best = prefillEngines;
    }
    return best;
}

void stage_balancer::recordCall(const call_cost& cost)
{
    auto weight = std::max(minSampleWeight, 1.0 / ++m_callCount);
    m_meanCost.prefillMs += weight * (cost.prefillMs - m_meanCost.prefillMs);
    m_meanCost.decodeMs += weight * (cost.decodeMs - m_meanCost.decodeMs);
}

std::optional<stage_change> stage_balancer::chooseChange(const std::vector<engine_stage_load>& engines, time_point now)
{
    if (m_callCount < minCalls || m_meanCost.prefillMs <= 0 || m_meanCost.decodeMs <= 0 || engines.size() < 2)
        return std::nullopt;
    auto total = static_cast<unsigned>(engines.size());
    auto prefillEngines = static_cast<unsigned>(std::count_if(engines.begin(), engines.end(), [](const auto& engine) { return engine.stage == wire::STAGE_PREFILL; }));
    auto best = optimalPrefillEngines(total, m_meanCost);
    auto wanted = wire::STAGE_ANY;
    if (callCapacity(total, best, m_meanCost) >= minGain * callCapacity(total, prefillEngines, m_meanCost))
        wanted = best < prefillEngines ? wire::STAGE_DECODE : wire::STAGE_PREFILL;
    if (wanted != m_pendingStage) {
        m_pendingStage = wanted;
        m_pendingSince = now;
    }
    if (wanted == wire::STAGE_ANY || now - m_pendingSince < minPendingTime || now < m_pausedUntil)
        return std::nullopt;
    auto from = wanted == wire::STAGE_DECODE ? wire::STAGE_PREFILL : wire::STAGE_DECODE;
    // Take the engine from the data centre that has the most of this stage, so that each data centre keeps a prefill
    // engine as long as another has two and fewer prompts cross data centres.
    std::map<std::string, unsigned> engineCounts;
    for (const auto& engine : engines)
        engineCounts[engine.dataCentre] += engine.stage == from ? 1 : 0;
    const engine_stage_load* chosen = nullptr;
    for (const auto& engine : engines) {
        if (engine.stage != from || engine.changing)
            continue;
        auto before = [&](const engine_stage_load& left, const engine_stage_load& right) {
            auto leftCount = engineCounts[left.dataCentre];
            auto rightCount = engineCounts[right.dataCentre];
            return leftCount != rightCount ? leftCount > rightCount : left.load < right.load;
        };
        if (!chosen || before(engine, *chosen))
            chosen = &engine;
    }
    if (!chosen)
        return std::nullopt;
    logEvent("stage_unbalanced", { { "engines", total }, { "readers", prefillEngines }, { "best", best }, { "reading_ms", m_meanCost.prefillMs }, { "decoding_ms", m_meanCost.decodeMs }, { "calls", m_callCount }, { "engine", chosen->id } });
    return stage_change { chosen->id, wanted };
}

} // namespace pistachiolatch
