#include "scheduling/pool.h"

namespace pistachiolatch {

pool::pool(std::string shard, pool_kind kind, pool_settings settings, pool_targets targets)
    : m_shard(std::move(shard))
    , m_kind(kind)
    , m_settings(std::move(settings))
    , m_targets(targets)
    , m_policy(makePolicy(m_settings.policy).value_or(reserve_policy()))
    , m_endpoints(kind)
    , m_queue({ m_settings.fair, m_settings.lateSharePercent })
{
}

std::vector<wire::crash_report> pool::handleAnnouncement(const wire::endpoint_announcement& announcement, milliseconds age, time_point now)
{
    auto effect = m_endpoints.table().applyAnnouncement(announcement, age, now);
    if (effect == announcement_effect::Stale)
        return {};
    if (effect == announcement_effect::Restarted)
        m_endpoints.breaker().reset(announcement.id());
    return m_crashes.onAnnounced(announcement.id(), announcement.incarnation(), now);
}

void pool::handleProgress(const wire::progress& report, time_point now)
{
    if (report.stage() == wire::STAGE_WITHDRAWN)
        m_queue.remove(report.request_id());
    auto reserved = m_endpoints.updateStage(report.request_id(), report.attempt(), report.stage(), now);
    if (!reserved)
        return;
    if (report.prefill_wasted())
        ++m_wastedPrefills;
    if (report.stage() == wire::STAGE_FINISHED) {
        m_budget.onSuccess();
        m_endpoints.breaker().onSuccess(reserved->endpoints.decode);
    }
    if (report.stage() == wire::STAGE_PREFILLED)
        m_endpoints.breaker().onSuccess(reserved->endpoints.prefill);
    if (report.stage() == wire::STAGE_FAILED && !report.endpoint().empty())
        m_endpoints.breaker().onFailure(report.endpoint(), now);
    if (report.reason() == reasonName(reason::ConnectFailed))
        m_endpoints.table().suspend(report.endpoint(), now);
}

void pool::restoreReservations(const wire::held_report& report, const std::string& entryName, std::uint64_t entryIncarnation, time_point now)
{
    for (const auto& held : report.held()) {
        reservation reserved;
        reserved.requestId = held.request_id();
        reserved.attempt = held.attempt();
        reserved.organisation = held.organisation();
        reserved.entryName = entryName;
        reserved.entryIncarnation = entryIncarnation;
        reserved.endpoints = { held.prefill_id(), held.decode_id(), {} };
        reserved.promptTokens = held.prompt_tokens();
        reserved.maxTokens = held.max_tokens();
        reserved.pieces = (held.prompt_tokens() + held.max_tokens() + tokensPerPiece - 1) / tokensPerPiece;
        reserved.fingerprint = held.fingerprint();
        reserved.stage = held.stage();
        reserved.prefilled = held.prefilled();
        reserved.placedAt = now;
        reserved.prefillEnds = now;
        reserved.transferEnds = now;
        // The engine's progress is unknown, so the upper bound starts now; the report of the end frees the slot
        // earlier.
        reserved.decodeEnds = now + m_targets.perToken * (held.max_tokens() + 1);
        m_endpoints.addReservation(std::move(reserved), now);
    }
}

void pool::handleCrashReport(const wire::crash_report& report, time_point now)
{
    m_crashes.recordCrash(report, now);
    const auto* endpoint = m_endpoints.table().find(report.endpoint());
    if (endpoint && endpoint->incarnation() == report.endpoint_incarnation())
        m_endpoints.table().suspend(report.endpoint(), now);
}

void pool::removeDeadEntries(const std::vector<wire::live_process>& live, time_point now)
{
    m_endpoints.removeStaleReservations(live, now);
    m_queue.removeIf([&](const pool_request& request) {
        for (const auto& process : live) {
            if (process.name() == request.entryName && process.incarnation() == request.entryIncarnation)
                return false;
        }
        return true;
    });
}

std::vector<wire::crash_report> pool::expireEndpoints(time_point now)
{
    std::vector<wire::crash_report> certain;
    for (const auto& id : m_endpoints.table().expire(now)) {
        m_endpoints.breaker().reset(id);
        for (auto& report : m_crashes.onSilent(id))
            certain.push_back(std::move(report));
    }
    return certain;
}

std::vector<pool_decision> pool::schedule(time_point now)
{
    refuseExpired(now);
    bool placed = true;
    while (placed) {
        placed = false;
        for (const auto* head : m_queue.heads()) {
            if (!tryPlace(*head, now))
                continue;
            placed = true;
            break;
        }
    }
    return std::exchange(m_decisions, {});
}

std::string pool::describe() const
{
    return formatEvent("pool", { { "shard", m_shard }, { "policy", m_settings.policy }, { "endpoints", m_endpoints.table().serving().size() }, { "in_flight", m_endpoints.inFlight() }, { "waiting", m_queue.size() }, { "late", m_queue.lateCount() }, { "organisations", m_queue.organisationCount() }, { "wasted_prefills", m_wastedPrefills }, { "evacuated", m_endpoints.evacuatedCount() } });
}

} // namespace pistachiolatch
