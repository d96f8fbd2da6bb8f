// Placement of model calls.
#include "coordination/entry_coordinator.h"

namespace pistachiolatch {

namespace {
    /// How often calls that wait for engine memory are retried, besides whenever a call ends.
    constexpr milliseconds planInterval { 30 };

    placement_request decodeRequest(const wire::engine_plan_request& request)
    {
        placement_request ask;
        ask.callId = request.call_id();
        ask.service = request.service();
        ask.dataCentre = request.data_centre();
        ask.promptTokens = request.prompt_tokens();
        ask.outputTokens = request.output_tokens();
        ask.memoryTokens = request.memory_tokens();
        ask.exclude = { request.exclude().begin(), request.exclude().end() };
        ask.avoid = { request.avoid().begin(), request.avoid().end() };
        return ask;
    }
}

void entry_coordinator::updatePlanner()
{
    if (m_plannerVersion == m_directory.version())
        return;
    for (const auto& row : m_directory.changesSince(m_plannerVersion))
        m_planner.updateEndpoint(row);
    m_plannerVersion = m_directory.version();
}

void entry_coordinator::onPlanRequest(const wire::envelope& message, const peer_network::peer& from)
{
    if (!m_entries.count(from.get()) || !m_replica.isLeader() || m_clock.now() < m_planningStartsAt) {
        wire::envelope reply;
        reply.mutable_engine_plan_reply()->set_unavailable(true);
        peer_network::reply(from, message, std::move(reply));
        return;
    }
    const auto& request = message.engine_plan_request();
    auto now = m_clock.now();
    auto ticket = ++m_lastTicket;
    m_pendingPlans[ticket] = { from, message };
    queued_request queued;
    queued.ticket = ticket;
    queued.entry = m_entries[from.get()].name;
    queued.request = decodeRequest(request);
    queued.waitDeadline = now + milliseconds(request.patience_ms());
    // Entries of earlier versions don't send this field.
    queued.firstEventDeadline = request.target_left_ms() > 0 ? now + milliseconds(request.target_left_ms()) : time_point::max();
    queued.streamStarted = request.begun();
    m_planQueue.add(std::move(queued));
    processPlanQueue();
}

void entry_coordinator::sendPlanReply(std::uint64_t ticket, const engine_placement& plan, milliseconds retryAfter)
{
    auto found = m_pendingPlans.find(ticket);
    if (found == m_pendingPlans.end())
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
    peer_network::reply(found->second.peer, found->second.message, std::move(reply));
    m_pendingPlans.erase(found);
}

void entry_coordinator::processPlanQueue()
{
    updatePlanner();
    for (const auto& decision : m_planQueue.step(m_planner, m_clock.now()))
        sendPlanReply(decision.ticket, decision.placement, decision.retryAfter);
    if (m_planQueue.empty() || m_planTimerArmed)
        return;
    m_planTimerArmed = true;
    m_planTimer.expires_after(planInterval);
    m_planTimer.async_wait([this](boost::system::error_code error) {
        m_planTimerArmed = false;
        if (!error)
            processPlanQueue();
    });
}

void entry_coordinator::onRelease(const wire::envelope& message, const peer_network::peer& from)
{
    auto session = m_entries.find(from.get());
    if (session == m_entries.end())
        return;
    const auto& release = message.engine_release();
    call_measurements measurements { release.generated(), milliseconds(release.generating_ms()), release.read_tokens(), milliseconds(release.reading_ms()), milliseconds(release.first_event_ms()) };
    m_planner.release(session->second.name, release.call_id(), measurements);
    for (const auto& id : release.succeeded())
        m_planner.recordSuccess(id);
    for (const auto& id : release.failed())
        m_planner.recordFailure(id, m_clock.now());
    for (const auto& id : release.refused())
        m_planner.recordRefusal(id, m_clock.now());
    if (!m_planQueue.empty())
        processPlanQueue();
}

} // namespace pistachiolatch
