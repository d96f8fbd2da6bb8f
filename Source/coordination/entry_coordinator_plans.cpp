// The part of the coordinator that answers where model calls go.
#include "coordination/entry_coordinator.h"

namespace pistachiolatch {

namespace {
    /// How often calls that wait for memory are looked at, beside whenever a call ends.
    constexpr milliseconds planInterval { 30 };

    placement_request readAsk(const wire::engine_plan_request& asked)
    {
        placement_request ask;
        ask.callId = asked.call_id();
        ask.service = asked.service();
        ask.dataCentre = asked.data_centre();
        ask.promptTokens = asked.prompt_tokens();
        ask.outputTokens = asked.output_tokens();
        ask.memoryTokens = asked.memory_tokens();
        ask.exclude = { asked.exclude().begin(), asked.exclude().end() };
        ask.avoid = { asked.avoid().begin(), asked.avoid().end() };
        return ask;
    }
}

void entry_coordinator::refreshPlanner()
{
    if (m_planned == m_directory.version())
        return;
    for (const auto& row : m_directory.changesSince(m_planned))
        m_planner.updateEndpoint(row);
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
    const auto& asked = message.engine_plan_request();
    auto now = m_clock.now();
    auto ticket = ++m_lastTicket;
    m_waitingPlans[ticket] = { from, message };
    queued_request question;
    question.ticket = ticket;
    question.entry = m_entries[from.get()].name;
    question.request = readAsk(asked);
    question.waitDeadline = now + milliseconds(asked.patience_ms());
    // An entry of an earlier version doesn't tell.
    question.firstEventDeadline = asked.target_left_ms() > 0 ? now + milliseconds(asked.target_left_ms()) : time_point::max();
    question.streamStarted = asked.begun();
    m_queue.add(std::move(question));
    answerPlans();
}

void entry_coordinator::answerPlan(std::uint64_t ticket, const engine_placement& plan, milliseconds retryAfter)
{
    auto found = m_waitingPlans.find(ticket);
    if (found == m_waitingPlans.end())
        return;
    wire::envelope reply;
    auto& answer = *reply.mutable_engine_plan_reply();
    answer.set_full(plan.full);
    answer.set_decode(plan.decode);
    answer.set_prefill(plan.prefill);
    if (plan.full) {
        m_metrics.count("engines_full");
        answer.set_retry_after_ms(static_cast<std::uint32_t>(retryAfter.count()));
    }
    peer_network::reply(found->second.peer, found->second.call, std::move(reply));
    m_waitingPlans.erase(found);
}

void entry_coordinator::answerPlans()
{
    refreshPlanner();
    for (const auto& verdict : m_queue.step(m_planner, m_clock.now()))
        answerPlan(verdict.ticket, verdict.placement, verdict.retryAfter);
    if (m_queue.empty() || m_planTimerArmed)
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
    call_measurements figures { release.generated(), milliseconds(release.generating_ms()), release.read_tokens(), milliseconds(release.reading_ms()), milliseconds(release.first_event_ms()) };
    m_planner.release(session->second.name, release.call_id(), figures);
    for (const auto& id : release.succeeded())
        m_planner.recordSuccess(id);
    for (const auto& id : release.failed())
        m_planner.recordFailure(id, m_clock.now());
    for (const auto& id : release.refused())
        m_planner.recordRefusal(id, m_clock.now());
    if (!m_queue.empty())
        answerPlans();
}

} // namespace pistachiolatch
