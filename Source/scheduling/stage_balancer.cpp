#include "scheduling/stage_balancer.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Shares of its time and memory that a stage can be filled to: a queue before a reader delays first events at once,
    /// while memory fills almost whole.
    constexpr double readersFull = 0.85;
    constexpr double memoryFull = 0.95;
    /// What a change must gain, in calls that fit.
    constexpr double leastGain = 1.1;
    /// How long the same change must have been due: engines that crash are back within seconds.
    constexpr milliseconds steady { 2500 };
    constexpr unsigned leastLearnt = 30;
    constexpr double newestWeight = 0.01;
}

double callsThatFit(unsigned engines, unsigned readers, const call_cost& costs)
{
    return std::min(readersFull * readers / costs.readingMs, memoryFull * (engines - readers) / costs.decodingMs);
}

unsigned bestReaders(unsigned engines, const call_cost& costs)
{
    unsigned best = 1;
    for (unsigned readers = 2; readers < engines; ++readers) {
        if (callsThatFit(engines, readers, costs) > callsThatFit(engines, best, costs))
            best = readers;
    }
    return best;
}

void stage_balancer::learn(const call_cost& costs)
{
    auto weight = std::max(newestWeight, 1.0 / ++m_learnt);
    m_costs.readingMs += weight * (costs.readingMs - m_costs.readingMs);
    m_costs.decodingMs += weight * (costs.decodingMs - m_costs.decodingMs);
}

std::optional<stage_change> stage_balancer::decide(const std::vector<engine_stage_load>& engines, time_point now)
{
    if (m_learnt < leastLearnt || m_costs.readingMs <= 0 || m_costs.decodingMs <= 0 || engines.size() < 2)
        return std::nullopt;
    auto total = static_cast<unsigned>(engines.size());
    auto readers = static_cast<unsigned>(std::count_if(engines.begin(), engines.end(), [](const auto& one) { return one.stage == wire::STAGE_PREFILL; }));
    auto best = bestReaders(total, m_costs);
    auto wanted = wire::STAGE_ANY;
    if (callsThatFit(total, best, m_costs) >= leastGain * callsThatFit(total, readers, m_costs))
        wanted = best < readers ? wire::STAGE_DECODE : wire::STAGE_PREFILL;
    if (wanted != m_wanted) {
        m_wanted = wanted;
        m_wantedSince = now;
    }
    if (wanted == wire::STAGE_ANY || now - m_wantedSince < steady || now < m_pausedUntil)
        return std::nullopt;
    auto from = wanted == wire::STAGE_DECODE ? wire::STAGE_PREFILL : wire::STAGE_DECODE;
    // A data centre keeps a reader as long as another has two: prompts travel less.
    std::map<std::string, unsigned> perCentre;
    for (const auto& one : engines)
        perCentre[one.dataCentre] += one.stage == from ? 1 : 0;
    const engine_stage_load* chosen = nullptr;
    for (const auto& one : engines) {
        if (one.stage != from || one.changing)
            continue;
        auto before = [&](const engine_stage_load& left, const engine_stage_load& right) {
            auto many = perCentre[left.dataCentre];
            auto few = perCentre[right.dataCentre];
            return many != few ? many > few : left.load < right.load;
        };
        if (!chosen || before(one, *chosen))
            chosen = &one;
    }
    if (!chosen)
        return std::nullopt;
    logEvent("stage_unbalanced", { { "engines", total }, { "readers", readers }, { "best", best }, { "reading_ms", m_costs.readingMs }, { "decoding_ms", m_costs.decodingMs }, { "calls", m_learnt }, { "engine", chosen->id } });
    return stage_change { chosen->id, wanted };
}

} // namespace pistachiolatch
