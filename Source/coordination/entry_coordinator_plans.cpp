// The part of the coordinator that answers where model calls go.
#include "coordination/entry_coordinator.h"

namespace pistachiolatch {

namespace {
    /// How often calls that wait for memory are looked at, beside whenever a call ends.
    constexpr milliseconds planInterval { 30 };
    /// When a call that found all engines full is told to come back: after about as long as a call takes to end, and
    /// later the more are waiting.
    constexpr milliseconds retryAfterFull { 1200 };
    constexpr milliseconds retryAfterEach { 60 };
}

void entry_coordinator::refreshPlanner()
{
    if (m_planned == m_directory.version())
        return;
    for (const auto& row : m_directory.changesSince(m_planned))
        m_planner.takeEndpoint(row);
    m_planned = m_directory.version();
}

void entry_coordinator::onPlanRequest(const wire::envelope& message, const peer_network::peer& from)
{
    if (!m_entries.count(from.get()) || !m_replica.leads() || m_clock.now() < m_planFrom) {
        wire::envelope reply;
        reply.mutable_engine_plan_reply()->set_unavailable(true);
        peer_network::reply(from, message, std::move(reply));
        return;
    }
    m_waitingPlans.push_back({ from, message, m_clock.now() + milliseconds(message.engine_plan_request().patience_ms()) });
    answerPlans();
}

engine_plan entry_coordinator::planFor(const waiting_plan& waiting)
{
    auto session = m_entries.find(waiting.peer.get());
    if (session == m_entries.end())
        return { true, "", "" };
    const auto& asked = waiting.call.engine_plan_request();
    engine_ask ask;
    ask.callId = asked.call_id();
    ask.service = asked.service();
    ask.dataCentre = asked.data_centre();
    ask.promptTokens = asked.prompt_tokens();
    ask.outputTokens = asked.output_tokens();
    ask.memoryTokens = asked.memory_tokens();
    ask.exclude = { asked.exclude().begin(), asked.exclude().end() };
    ask.avoid = { asked.avoid().begin(), asked.avoid().end() };
    return m_planner.place(session->second.name, ask, m_clock.now());
}

void entry_coordinator::answerPlans()
{
    refreshPlanner();
    auto now = m_clock.now();
    // Services whose engines are full; calls behind the first one that waits must not overtake it, or a large prompt
    // would wait for ever behind small ones.
    std::set<std::string> blocked;
    for (auto it = m_waitingPlans.begin(); it != m_waitingPlans.end();) {
        const auto& service = it->call.engine_plan_request().service();
        auto plan = blocked.count(service) ? engine_plan { true, "", "" } : planFor(*it);
        if (plan.full && now < it->giveUpAt) {
            blocked.insert(service);
            ++it;
            continue;
        }
        wire::envelope reply;
        auto& answer = *reply.mutable_engine_plan_reply();
        answer.set_full(plan.full);
        answer.set_decode(plan.decode);
        answer.set_prefill(plan.prefill);
        if (plan.full) {
            m_metrics.count("engines_full");
            // Memory frees as calls end, one after the other; who is told later comes back later.
            answer.set_retry_after_ms(static_cast<std::uint32_t>((retryAfterFull + retryAfterEach * static_cast<int>(m_waitingPlans.size())).count()));
        }
        peer_network::reply(it->peer, it->call, std::move(reply));
        it = m_waitingPlans.erase(it);
    }
    if (m_waitingPlans.empty() || m_planTimerArmed)
        return;
    m_planTimerArmed = true;
    m_planTimer.expires_after(planInterval);
    m_planTimer.async_wait([this](boost::system::error_code error) {
        m_planTimerArmed = false;
        if (!error)
            answerPlans();
    });
}

void entry_coordinator::onRelease(const wire::envelope& message, const peer_network::peer& from)
{
    auto session = m_entries.find(from.get());
    if (session == m_entries.end())
        return;
    const auto& release = message.engine_release();
    m_planner.release(session->second.name, release.call_id(), release.generated(), milliseconds(release.generating_ms()));
    for (const auto& id : release.succeeded())
        m_planner.noteSuccess(id);
    for (const auto& id : release.failed())
        m_planner.noteFailure(id, m_clock.now());
    if (!m_waitingPlans.empty())
        answerPlans();
}

} // namespace pistachiolatch
