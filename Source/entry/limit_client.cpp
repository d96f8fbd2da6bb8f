#include "entry/limit_client.h"

namespace pistachiolatch {

namespace {
    /// A question outlives its patience by this much, for a change of owner in between.
    constexpr milliseconds ownerChangeAllowance { 2500 };
    constexpr milliseconds unreachableRetry { 1000 };
}

limit_client::limit_client(control_loop& loop, control_session& session, milliseconds patience)
    : m_loop(loop)
    , m_session(session)
    , m_patience(patience)
{
}

void limit_client::acquire(const std::string& organisation, std::uint64_t tokens, std::function<void(limit_result)> answer)
{
    auto config = m_session.config();
    const auto* limit = config->limit(organisation);
    if (!limit) {
        answer({ false, reason::NoLimit, milliseconds(0) });
        return;
    }
    if (tokens > token_bucket::capacityOf(limit->rate, limit->burst)) {
        answer({ false, reason::RequestExceedsBurst, milliseconds(0) });
        return;
    }
    if (m_cache.take(organisation, tokens, m_loop.now())) {
        answer({ true, reason::OverRate, milliseconds(0) });
        return;
    }
    auto id = ++m_lastId;
    auto deadline = m_loop.now() + m_patience + ownerChangeAllowance;
    auto& one = m_questions.emplace(id, question { id, organisation, tokens, 0, deadline, std::move(answer) }).first->second;
    ask(one);
}

void limit_client::ask(question& one)
{
    const auto* owner = m_session.findOwner(limitShard(one.organisation));
    if (!owner)
        return;
    one.askedEpoch = owner->epoch();
    wire::envelope message;
    auto* request = message.mutable_limit();
    request->set_shard(owner->shard());
    request->set_epoch(owner->epoch());
    request->set_organisation(one.organisation);
    request->set_need(one.tokens);
    request->set_ahead(m_cache.ahead(one.organisation, m_loop.now()));
    request->set_patience_ms(static_cast<std::uint32_t>(m_patience.count()));
    auto askedAt = m_loop.now();
    auto timeout = m_patience + milliseconds(500);
    m_loop.call(owner->address(), message, timeout, [this, id = one.id, askedAt](const wire::envelope* reply) { onReply(id, askedAt, reply); });
}

void limit_client::onReply(std::uint64_t id, time_point askedAt, const wire::envelope* reply)
{
    auto found = m_questions.find(id);
    if (found == m_questions.end() || !reply || !reply->has_limit_reply())
        return; // The deadline or a change of owner settles it.
    auto& one = found->second;
    const auto& verdict = reply->limit_reply();
    // An owner that lost the shard meanwhile has no say any more.
    if (verdict.epoch() != one.askedEpoch)
        return;
    if (verdict.granted() < one.tokens) {
        finish(id, { false, reason::OverRate, milliseconds(verdict.retry_after_ms()) });
        return;
    }
    // Counted from the question, so that what is kept ahead never outlives the reserve that the bucket keeps for it.
    m_cache.store(one.organisation, verdict.granted() - one.tokens, askedAt, milliseconds(verdict.valid_ms()));
    finish(id, { true, reason::OverRate, milliseconds(0) });
}

void limit_client::finish(std::uint64_t id, limit_result verdict)
{
    auto question = m_questions.extract(id);
    question.mapped().answer(verdict);
}

void limit_client::giveBack(const std::string& organisation, std::uint64_t tokens)
{
    if (tokens > 0)
        sendBack({ organisation, tokens });
}

void limit_client::sendBack(const returned_tokens& back)
{
    const auto* owner = m_session.findOwner(limitShard(back.organisation));
    if (!owner)
        return;
    wire::envelope message;
    auto* request = message.mutable_limit();
    request->set_shard(owner->shard());
    request->set_epoch(owner->epoch());
    request->set_organisation(back.organisation);
    request->set_returned(back.tokens);
    m_loop.wire().send(owner->address(), message);
}

void limit_client::tick(time_point now)
{
    for (const auto& back : m_cache.expired(now))
        sendBack(back);
    std::vector<std::uint64_t> late;
    for (const auto& [id, one] : m_questions) {
        if (now >= one.deadline)
            late.push_back(id);
    }
    for (auto id : late)
        finish(id, { false, reason::LimitUnreachable, unreachableRetry });
}

void limit_client::onShards()
{
    for (auto& [id, one] : m_questions) {
        const auto* owner = m_session.findOwner(limitShard(one.organisation));
        if (owner && owner->epoch() != one.askedEpoch)
            ask(one);
    }
}

void limit_client::drain()
{
    for (const auto& back : m_cache.drain())
        sendBack(back);
}

} // namespace pistachiolatch
