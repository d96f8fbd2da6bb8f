// Balancing of the engines' serving stages.
#include "coordination/entry_coordinator.h"

namespace pistachiolatch {

namespace {
    /// Delay before a new leader sends orders. Longer than the lease of any former leader, so that two leaders never send
    /// alternating orders to an endpoint.
    constexpr milliseconds stageOrderDelay { 5000 };
    /// Time without further orders to an engine. It finishes its calls first, then takes seconds to change the stage.
    constexpr milliseconds stageChangeDuration { 20000 };
}

void entry_coordinator::balanceStages()
{
    auto now = m_clock.now();
    if (!m_stageOrders || !m_replica.isLeader() || now < m_leaderSince + stageOrderDelay)
        return;
    updatePlanner();
    auto change = m_planner.chooseStageChange(now);
    const auto* report = change ? m_planner.findReport(change->engine) : nullptr;
    if (!report)
        return;
    m_planner.startStageChange(*change, now + stageChangeDuration);
    auto term = m_replica.term();
    stage_order order { change->engine, change->to, m_settings.vm, term, 0 };
    auto isLeader = [this, term] { return m_replica.isLeader() && m_replica.term() == term; };
    m_metrics.count("stage_orders");
    m_stageOrders->send(report->address(), std::move(order), isLeader, [this, engine = change->engine](bool accepted) {
        if (!accepted)
            m_planner.cancelStageChange(engine, m_clock.now());
    });
}

} // namespace pistachiolatch
