#include "entry/placement_client.h"

namespace pistachiolatch {

namespace {
    constexpr milliseconds askAgain { 1000 };
    constexpr milliseconds reportTimeout { 300 };
    constexpr int reportTries = 6;
    /// Over the patience of the pool, so that the pool's own refusal with its reason comes first.
    constexpr milliseconds answerAllowance { 1000 };
    constexpr std::uint32_t noSchedulerRetryMillis = 2000;

    std::string keyOf(const std::string& requestId, std::uint32_t attempt)
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

void placement_client::place(wire::place_request request, std::function<void(wire::placement)> answer)
{
    auto key = keyOf(request.request_id(), request.attempt());
    question one;
    one.deadline = m_loop.now() + milliseconds(request.patience_ms()) + answerAllowance;
    one.request = std::move(request);
    one.answer = std::move(answer);
    ask(m_questions.insert_or_assign(key, std::move(one)).first->second);
}

void placement_client::ask(question& one)
{
    const auto* owner = m_session.findOwner(one.request.shard());
    if (!owner)
        return;
    one.askedEpoch = owner->epoch();
    one.askedAt = m_loop.now();
    one.request.set_epoch(owner->epoch());
    wire::envelope message;
    *message.mutable_place() = one.request;
    auto key = keyOf(one.request.request_id(), one.request.attempt());
    m_loop.call(owner->address(), message, std::chrono::ceil<milliseconds>(one.deadline - m_loop.now()), [this, key](const wire::envelope* reply) { onPlacement(key, reply); });
}

void placement_client::onPlacement(const std::string& key, const wire::envelope* reply)
{
    auto found = m_questions.find(key);
    if (found == m_questions.end() || !reply || !reply->has_placement())
        return;
    const auto& placement = reply->placement();
    // An earlier owner's word: it booked on books that are void now.
    if (placement.epoch() != found->second.askedEpoch)
        return;
    auto one = std::move(found->second);
    m_questions.erase(found);
    if (placement.refused().empty()) {
        held_row row;
        row.shard = placement.shard();
        row.request.set_request_id(placement.request_id());
        row.request.set_attempt(placement.attempt());
        row.request.set_organisation(one.request.organisation());
        row.request.set_prompt_tokens(one.request.prompt_tokens());
        row.request.set_max_tokens(one.request.max_tokens());
        row.request.set_prefill_id(placement.prefill_id());
        row.request.set_decode_id(placement.decode_id());
        row.request.set_stage(wire::STAGE_FAILED);
        row.request.set_fingerprint(one.request.fingerprint());
        m_held[key] = std::move(row);
    }
    one.answer(placement);
}

void placement_client::withdraw(const std::string& requestId)
{
    for (auto it = m_questions.begin(); it != m_questions.end();) {
        if (it->second.request.request_id() != requestId) {
            ++it;
            continue;
        }
        wire::progress report;
        report.set_shard(it->second.request.shard());
        report.set_request_id(requestId);
        report.set_attempt(it->second.request.attempt());
        report.set_stage(wire::STAGE_WITHDRAWN);
        it = m_questions.erase(it);
        sendProgress(std::move(report), reportTries);
    }
}

void placement_client::progress(wire::progress report)
{
    auto found = m_held.find(keyOf(report.request_id(), report.attempt()));
    bool ended = report.stage() == wire::STAGE_FINISHED || report.stage() == wire::STAGE_FAILED || report.stage() == wire::STAGE_WITHDRAWN;
    if (found != m_held.end()) {
        found->second.request.set_stage(report.stage());
        found->second.request.set_prefilled(found->second.request.prefilled() || report.stage() == wire::STAGE_PREFILLED);
        if (ended)
            m_held.erase(found);
    }
    sendProgress(std::move(report), reportTries);
}

void placement_client::sendProgress(wire::progress report, int triesLeft)
{
    const auto* owner = m_session.findOwner(report.shard());
    if (!owner || triesLeft == 0)
        return; // A new owner hears what is held; the end of the rest it never heard of.
    report.set_epoch(owner->epoch());
    wire::envelope message;
    *message.mutable_progress() = report;
    m_loop.call(owner->address(), message, reportTimeout, [this, report, triesLeft](const wire::envelope* reply) {
        if (!reply)
            sendProgress(report, triesLeft - 1);
    });
}

void placement_client::crash(wire::crash_report report)
{
    sendCrash(std::move(report), reportTries);
}

void placement_client::sendCrash(wire::crash_report report, int triesLeft)
{
    const auto* owner = m_session.findOwner(report.shard());
    if (!owner || triesLeft == 0)
        return;
    wire::envelope message;
    *message.mutable_crash() = report;
    m_loop.call(owner->address(), message, reportTimeout, [this, report, triesLeft](const wire::envelope* reply) {
        if (!reply)
            sendCrash(report, triesLeft - 1);
    });
}

void placement_client::tick(time_point now)
{
    std::vector<std::string> late;
    for (auto& [key, one] : m_questions) {
        if (now >= one.deadline)
            late.push_back(key);
        else if (now - one.askedAt > askAgain)
            ask(one);
    }
    for (const auto& key : late) {
        auto one = m_questions.extract(key);
        wire::placement refusal;
        refusal.set_refused(std::string(reasonName(reason::NoScheduler)));
        refusal.set_retry_after_ms(noSchedulerRetryMillis);
        m_metrics.count("placement_without_answer");
        one.mapped().answer(refusal);
    }
}

void placement_client::onShards()
{
    for (const auto& [shard, owner] : m_session.shards()) {
        auto& known = m_knownEpochs[shard];
        if (known == owner.epoch() || shard.starts_with("limit:"))
            continue;
        known = owner.epoch();
        // Before anything is asked for, or the new owner would fill endpoints that are full.
        reportHeld(owner);
    }
    for (auto& [key, one] : m_questions) {
        const auto* owner = m_session.findOwner(one.request.shard());
        if (owner && owner->epoch() != one.askedEpoch)
            ask(one);
    }
}

void placement_client::reportHeld(const wire::shard_owner& owner)
{
    wire::envelope message;
    auto* report = message.mutable_held();
    report->set_shard(owner.shard());
    report->set_epoch(owner.epoch());
    for (const auto& [key, row] : m_held) {
        if (row.shard == owner.shard())
            *report->add_held() = row.request;
    }
    m_loop.wire().send(owner.address(), message);
}

} // namespace pistachiolatch
