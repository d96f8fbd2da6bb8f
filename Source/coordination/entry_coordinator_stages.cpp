// The part of the coordinator that keeps the stages of engines in balance.
#include "coordination/entry_coordinator.h"

namespace pistachiolatch {

namespace {
    /// How long a new leader gives no orders: longer than the lease of any that came before, so that no two holders take
    /// turns at one endpoint.
    constexpr milliseconds learnStages { 5000 };
    /// How long an engine is left alone after an order. It ends its calls first, and then takes seconds to change.
    constexpr milliseconds changeLasts { 20000 };
}

void entry_coordinator::balanceStages()
{
    auto now = m_clock.now();
    if (!m_orders || !m_replica.leads() || now < m_leadsSince + learnStages)
        return;
    refreshPlanner();
    auto change = m_planner.chooseStageChange(now);
    const auto* report = change ? m_planner.findReport(change->engine) : nullptr;
    if (!report)
        return;
    m_planner.startStageChange(*change, now + changeLasts);
    auto term = m_replica.term();
    stage_order order { change->engine, change->to, m_settings.vm, term, 0 };
    auto stillLeads = [this, term] { return m_replica.leads() && m_replica.term() == term; };
    m_metrics.count("stage_orders");
    m_orders->give(report->address(), std::move(order), stillLeads, [this, engine = change->engine](bool accepted) {
        if (!accepted)
            m_planner.cancelStageChange(engine, m_clock.now());
    });
}

} // namespace pistachiolatch
