// Placement of model calls, and of other calls to busy services.
#include "coordination/entry_coordinator.h"

namespace pistachiolatch {

namespace {
    /// How often calls that wait for engine memory are retried, besides whenever a call ends.
    constexpr milliseconds planInterval { 30 };
    /// The same for calls that wait for a slot; their targets are shorter.
    constexpr milliseconds slotInterval { 10 };
    /// Shortest interval between two decisions on which services are queued; each walks all endpoints.
    constexpr milliseconds queuedServicesInterval { 50 };

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
        ask.version.required = request.software_version();
        return ask;
    }

    template <typename Planner>
    void recordOutcomes(Planner& planner, const wire::engine_release& release, time_point now)
    {
        for (const auto& id : release.succeeded())
            planner.recordSuccess(id);
        for (const auto& id : release.failed())
            planner.recordFailure(id, now);
        for (const auto& id : release.refused())
            planner.recordRefusal(id, now);
    }
}

void entry_coordinator::updatePlanner()
{
    if (m_plannerVersion == m_directory.version())
        return;
    auto now = m_clock.now();
    for (const auto& row : m_directory.changesSince(m_plannerVersion)) {
        m_planner.coldStarts().onReport(row.report(), now);
        m_planner.updateEndpoint(row);
        m_slotPlanner.coldStarts().onReport(row.report(), now);
        m_slotPlanner.updateEndpoint(row);
    }
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
    auto queued = decodeQueuedRequest(request, m_clock.now());
    updatePlanner();
    // Without an endpoint that control reaches, the entry may still know one that it reaches itself.
    if (request.slot() && !m_slotPlanner.hasEndpoints(queued.request)) {
        wire::envelope reply;
        reply.mutable_engine_plan_reply()->set_unavailable(true);
        peer_network::reply(from, message, std::move(reply));
        return;
    }
    queued.ticket = ++m_lastTicket;
    queued.entry = m_entries[from.get()].name;
    m_pendingPlans[queued.ticket] = { from, message };
    if (request.slot()) {
        m_slotQueue.add(std::move(queued), m_clock.now());
        processSlotQueue();
    } else {
        m_planQueue.add(std::move(queued), m_clock.now());
        processPlanQueue();
    }
}

queued_request entry_coordinator::decodeQueuedRequest(const wire::engine_plan_request& request, time_point now)
{
    queued_request queued;
    queued.organisation = request.organisation();
    queued.priority = request.priority();
    queued.request = decodeRequest(request);
    queued.waitDeadline = now + milliseconds(request.patience_ms());
    // Entries of earlier versions don't send this field.
    queued.firstEventDeadline = request.target_left_ms() > 0 ? now + milliseconds(request.target_left_ms()) : time_point::max();
    queued.deadline = request.deadline_left_ms() > 0 ? now + milliseconds(request.deadline_left_ms()) : time_point::max();
    queued.fingerprint = request.fingerprint();
    queued.streamStarted = request.begun();
    return queued;
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
        answer.set_retry_after_ms(saturatingCast<std::uint32_t>(retryAfter.count()));
    }
    if (!plan.full)
        answer.set_software_version(recordOrigin(found->second.message.engine_plan_request(), plan.decode));
    peer_network::reply(found->second.peer, found->second.message, std::move(reply));
    m_pendingPlans.erase(found);
}

std::string entry_coordinator::recordOrigin(const wire::engine_plan_request& request, const std::string& endpoint)
{
    const auto* row = request.stream() == 0 ? nullptr : m_directory.find(endpoint);
    if (!row)
        return {};
    wire::stream_origin origin;
    origin.set_stream(request.stream());
    origin.set_service(request.service());
    origin.set_software_version(row->report().software_version());
    origin.set_placement(request.placement());
    origin.set_lifetime_ms(request.stream_lifetime_ms());
    m_origins.record(origin);
    return origin.software_version();
}

template <typename Planner>
void entry_coordinator::placeWaiting(placement_queue<Planner>& queue, Planner& planner)
{
    updatePlanner();
    auto now = m_clock.now();
    for (const auto& decision : queue.step(planner, now)) {
        if (decision.placement.full)
            m_organisationWaits.recordRefused(decision.organisation, now);
        else
            m_organisationWaits.recordPlaced(decision.organisation, decision.waited, now);
        sendPlanReply(decision.ticket, decision.placement, decision.retryAfter);
    }
}

void entry_coordinator::reportOrganisationWaits()
{
    auto summary = m_organisationWaits.dueSummary(m_clock.now());
    if (!summary)
        return;
    publishOrganisationWaits(*summary);
    bool anyRefused = m_organisationWaits.takeRefused();
    if (!anyRefused || summary->organisations == 0)
        return;
    logEvent("organisations_refused", { { "organisations", summary->organisations }, { "worst", summary->worst }, { "worst_refused_share", summary->worstRefusedShare }, { "best", summary->best }, { "best_refused_share", summary->bestRefusedShare }, { "mean_refused_share", summary->meanRefusedShare }, { "worst_wait_ms", summary->worstWait.count() }, { "mean_wait_ms", summary->meanWait.count() } });
}

void entry_coordinator::publishOrganisationWaits(const organisation_wait_summary& summary)
{
    using seconds = std::chrono::duration<double>;
    m_metrics.gauge("organisations_compared", static_cast<double>(summary.organisations));
    m_metrics.gauge("organisation_wait_worst_seconds", seconds(summary.worstWait).count());
    m_metrics.gauge("organisation_wait_mean_seconds", seconds(summary.meanWait).count());
    m_metrics.gauge("organisation_refused_share_worst", summary.worstRefusedShare);
    m_metrics.gauge("organisation_refused_share_mean", summary.meanRefusedShare);
}

void entry_coordinator::processPlanQueue()
{
    placeWaiting(m_planQueue, m_planner);
    if (!m_planQueue.empty())
        armTimer(m_planTimer, planInterval, &entry_coordinator::processPlanQueue);
}

void entry_coordinator::processSlotQueue()
{
    placeWaiting(m_slotQueue, m_slotPlanner);
    if (!m_slotQueue.empty())
        armTimer(m_slotTimer, slotInterval, &entry_coordinator::processSlotQueue);
}

void entry_coordinator::updateQueuedServices()
{
    auto now = m_clock.now();
    if (now - m_queuedServicesCheckedAt < queuedServicesInterval || now < m_planningStartsAt)
        return;
    m_queuedServicesCheckedAt = now;
    updatePlanner();
    if (auto slow = m_slotPlanner.slowEndpoints(now))
        m_metrics.gauge("endpoints_slow", *slow);
    if (!m_slotPlanner.updateQueued(now))
        return;
    ++m_queuedServicesVersion;
    pushChanges();
}

void entry_coordinator::onRelease(const wire::envelope& message, const peer_network::peer& from)
{
    auto session = m_entries.find(from.get());
    if (session == m_entries.end())
        return;
    const auto& release = message.engine_release();
    const auto& entry = session->second.name;
    auto now = m_clock.now();
    if (m_slotPlanner.release(entry, release.call_id(), release.succeeded_size() > 0, now, release.stated())) {
        recordOutcomes(m_slotPlanner, release, now);
        if (!m_slotQueue.empty())
            processSlotQueue();
        return;
    }
    call_measurements measurements { release.generated(), milliseconds(release.generating_ms()), release.read_tokens(), milliseconds(release.reading_ms()), milliseconds(release.first_event_ms()) };
    m_planner.release(entry, release.call_id(), measurements);
    recordOutcomes(m_planner, release, now);
    if (!m_planQueue.empty())
        processPlanQueue();
}

} // namespace pistachiolatch
