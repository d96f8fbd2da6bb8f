#include "entry/placement_client.h"

namespace pistachiolatch {

namespace {
    constexpr milliseconds resendInterval { 1000 };
    constexpr milliseconds reportTimeout { 300 };
    constexpr int maxReportAttempts = 6;
    /// Added to the pool's queue timeout, so that the pool's own refusal, which names the reason, arrives first.
    constexpr milliseconds replyAllowance { 1000 };
    constexpr std::uint32_t noSchedulerRetryMillis = 2000;

    std::string makeKey(const std::string& requestId, std::uint32_t attempt)
    {
        return fmt::format("{}#{}", requestId, attempt);
    }
}

placement_client::placement_client(control_loop& loop, control_session& session, metrics& counters)
    : m_loop(loop)
    , m_session(session)
    , m_metrics(counters)
{
}

void placement_client::requestPlacement(wire::place_request request, std::function<void(wire::placement)> callback)
{
    auto key = makeKey(request.request_id(), request.attempt());
    pending_request pending;
    pending.deadline = m_loop.now() + milliseconds(request.patience_ms()) + replyAllowance;
    pending.request = std::move(request);
    pending.callback = std::move(callback);
    sendRequest(m_pending.insert_or_assign(key, std::move(pending)).first->second);
}

void placement_client::sendRequest(pending_request& pending)
{
    const auto* owner = m_session.findOwner(pending.request.shard());
    if (!owner)
        return;
    pending.requestEpoch = owner->epoch();
    pending.sentAt = m_loop.now();
    pending.request.set_epoch(owner->epoch());
    wire::envelope message;
    *message.mutable_place() = pending.request;
    auto key = makeKey(pending.request.request_id(), pending.request.attempt());
    m_loop.call(owner->address(), message, std::chrono::ceil<milliseconds>(pending.deadline - m_loop.now()), [this, key](const wire::envelope* reply) { onPlacement(key, reply); });
}

void placement_client::onPlacement(const std::string& key, const wire::envelope* reply)
{
    auto found = m_pending.find(key);
    if (found == m_pending.end() || !reply || !reply->has_placement())
        return;
    const auto& placement = reply->placement();
    // Ignores the reply of an earlier owner, whose reservations are no longer valid.
    if (placement.epoch() != found->second.requestEpoch)
        return;
    auto pending = std::move(found->second);
    m_pending.erase(found);
    if (placement.refused().empty()) {
        held_placement held;
        held.shard = placement.shard();
        held.request.set_request_id(placement.request_id());
        held.request.set_attempt(placement.attempt());
        held.request.set_organisation(pending.request.organisation());
        held.request.set_prompt_tokens(pending.request.prompt_tokens());
        held.request.set_max_tokens(pending.request.max_tokens());
        held.request.set_prefill_id(placement.prefill_id());
        held.request.set_decode_id(placement.decode_id());
        held.request.set_stage(wire::STAGE_FAILED);
        held.request.set_fingerprint(pending.request.fingerprint());
        m_heldPlacements[key] = std::move(held);
    }
    pending.callback(placement);
}

void placement_client::withdraw(const std::string& requestId)
{
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (it->second.request.request_id() != requestId) {
            ++it;
            continue;
        }
        wire::progress report;
        report.set_shard(it->second.request.shard());
        report.set_request_id(requestId);
        report.set_attempt(it->second.request.attempt());
        report.set_stage(wire::STAGE_WITHDRAWN);
        it = m_pending.erase(it);
        sendProgress(std::move(report), maxReportAttempts);
    }
}

void placement_client::reportProgress(wire::progress report)
{
    auto found = m_heldPlacements.find(makeKey(report.request_id(), report.attempt()));
    bool ended = report.stage() == wire::STAGE_FINISHED || report.stage() == wire::STAGE_FAILED || report.stage() == wire::STAGE_WITHDRAWN;
    if (found != m_heldPlacements.end()) {
        found->second.request.set_stage(report.stage());
        found->second.request.set_prefilled(found->second.request.prefilled() || report.stage() == wire::STAGE_PREFILLED);
        if (ended)
            m_heldPlacements.erase(found);
    }
    sendProgress(std::move(report), maxReportAttempts);
}

void placement_client::sendProgress(wire::progress report, int attemptsLeft)
{
    const auto* owner = m_session.findOwner(report.shard());
    if (!owner || attemptsLeft == 0)
        return; // A new owner learns of running requests by the held report, and never knew those that have ended.
    report.set_epoch(owner->epoch());
    wire::envelope message;
    *message.mutable_progress() = report;
    m_loop.call(owner->address(), message, reportTimeout, [this, report, attemptsLeft](const wire::envelope* reply) {
        if (!reply)
            sendProgress(report, attemptsLeft - 1);
    });
}

void placement_client::reportCrash(wire::crash_report report)
{
    sendCrash(std::move(report), maxReportAttempts);
}

void placement_client::sendCrash(wire::crash_report report, int attemptsLeft)
{
    const auto* owner = m_session.findOwner(report.shard());
    if (!owner || attemptsLeft == 0)
        return;
    wire::envelope message;
    *message.mutable_crash() = report;
    m_loop.call(owner->address(), message, reportTimeout, [this, report, attemptsLeft](const wire::envelope* reply) {
        if (!reply)
            sendCrash(report, attemptsLeft - 1);
    });
}

void placement_client::tick(time_point now)
{
    std::vector<std::string> overdue;
    for (auto& [key, pending] : m_pending) {
        if (now >= pending.deadline)
            overdue.push_back(key);
        else if (now - pending.sentAt > resendInterval)
            sendRequest(pending);
    }
    for (const auto& key : overdue) {
        auto pending = m_pending.extract(key);
        wire::placement refusal;
        refusal.set_refused(std::string(reasonName(reason::NoScheduler)));
        refusal.set_retry_after_ms(noSchedulerRetryMillis);
        m_metrics.count("placement_without_answer");
        pending.mapped().callback(refusal);
    }
}

void placement_client::handleOwnerChanges()
{
    for (const auto& [shard, owner] : m_session.shards()) {
        auto& knownEpoch = m_knownEpochs[shard];
        if (knownEpoch == owner.epoch() || shard.starts_with("limit:"))
            continue;
        knownEpoch = owner.epoch();
        // Sent before any placement request; otherwise the new owner would overload endpoints that are full.
        reportHeldPlacements(owner);
    }
    for (auto& [key, pending] : m_pending) {
        const auto* owner = m_session.findOwner(pending.request.shard());
        if (owner && owner->epoch() != pending.requestEpoch)
            sendRequest(pending);
    }
}

void placement_client::reportHeldPlacements(const wire::shard_owner& owner)
{
    wire::envelope message;
    auto* report = message.mutable_held();
    report->set_shard(owner.shard());
    report->set_epoch(owner.epoch());
    for (const auto& [key, held] : m_heldPlacements) {
        if (held.shard == owner.shard())
            *report->add_held() = held.request;
    }
    m_loop.wire().send(owner.address(), message);
}

} // namespace pistachiolatch
