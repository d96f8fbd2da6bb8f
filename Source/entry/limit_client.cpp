#include "entry/limit_client.h"

namespace pistachiolatch {

namespace {
    /// Added to the wait timeout, so that a pending request survives a change of owner.
    constexpr milliseconds ownerChangeAllowance { 2500 };
    constexpr milliseconds unreachableRetry { 1000 };
    /// A new owner may learn of its shard later than the entries do.
    constexpr milliseconds wrongOwnerRetry { 200 };
    /// The owner decides within the wait timeout; a request without an answer after this much more was lost.
    constexpr milliseconds replyAllowance { 500 };
}

limit_client::limit_client(control_loop& loop, control_session& session, milliseconds waitTimeout)
    : m_loop(loop)
    , m_session(session)
    , m_waitTimeout(waitTimeout)
{
}

void limit_client::acquire(const std::string& organisation, std::uint64_t tokens, std::function<void(limit_result)> callback)
{
    auto config = m_session.config();
    const auto* limit = config->limit(organisation);
    if (!limit) {
        callback({ false, reason::NoLimit, milliseconds(0) });
        return;
    }
    if (tokens > token_bucket::computeCapacity(limit->rate, limit->burst)) {
        callback({ false, reason::RequestExceedsBurst, milliseconds(0) });
        return;
    }
    if (m_cache.tryConsume(organisation, tokens, m_loop.now())) {
        callback({ true, reason::OverRate, milliseconds(0) });
        return;
    }
    auto id = ++m_lastId;
    auto deadline = m_loop.now() + m_waitTimeout + ownerChangeAllowance;
    auto& pending = m_pending.emplace(id, pending_request { id, organisation, tokens, 0, {}, deadline, std::move(callback) }).first->second;
    sendRequest(pending);
}

void limit_client::sendRequest(pending_request& pending)
{
    const auto* owner = m_session.findOwner(limitShard(pending.organisation));
    if (!owner)
        return;
    pending.requestEpoch = owner->epoch();
    pending.resendAt.reset();
    wire::envelope message;
    auto* request = message.mutable_limit();
    request->set_shard(owner->shard());
    request->set_epoch(owner->epoch());
    request->set_organisation(pending.organisation);
    request->set_need(pending.tokens);
    request->set_ahead(m_cache.estimateDemand(pending.organisation, m_loop.now()));
    request->set_patience_ms(static_cast<std::uint32_t>(m_waitTimeout.count()));
    auto sentAt = m_loop.now();
    m_loop.call(owner->address(), message, m_waitTimeout + replyAllowance, [this, id = pending.id, epoch = owner->epoch(), sentAt](const wire::envelope* reply) { onReply(id, epoch, sentAt, reply); });
}

void limit_client::onReply(std::uint64_t id, std::uint64_t epoch, time_point sentAt, const wire::envelope* reply)
{
    auto found = m_pending.find(id);
    // Ignores the decision of an owner that has lost the shard since.
    if (found == m_pending.end() || found->second.requestEpoch != epoch)
        return;
    auto& pending = found->second;
    if (!reply || !reply->has_limit_reply()) {
        sendRequest(pending);
        return;
    }
    const auto& decision = reply->limit_reply();
    if (decision.wrong_owner()) {
        pending.resendAt = m_loop.now() + wrongOwnerRetry;
        return;
    }
    if (decision.epoch() != epoch)
        return;
    if (decision.granted() < pending.tokens) {
        complete(id, { false, reason::OverRate, milliseconds(decision.retry_after_ms()) });
        return;
    }
    // The lifetime starts when the request was sent, so that cached tokens never outlive the reserve that the bucket
    // keeps for them.
    m_cache.store(pending.organisation, decision.granted() - pending.tokens, sentAt, milliseconds(decision.valid_ms()));
    complete(id, { true, reason::OverRate, milliseconds(0) });
}

void limit_client::complete(std::uint64_t id, limit_result result)
{
    auto pending = m_pending.extract(id);
    pending.mapped().callback(result);
}

void limit_client::refund(const std::string& organisation, std::uint64_t tokens)
{
    if (tokens > 0)
        sendRefund({ organisation, tokens });
}

void limit_client::sendRefund(const returned_tokens& returned)
{
    const auto* owner = m_session.findOwner(limitShard(returned.organisation));
    if (!owner)
        return;
    wire::envelope message;
    auto* request = message.mutable_limit();
    request->set_shard(owner->shard());
    request->set_epoch(owner->epoch());
    request->set_organisation(returned.organisation);
    request->set_returned(returned.tokens);
    m_loop.wire().send(owner->address(), message);
}

void limit_client::tick(time_point now)
{
    for (const auto& returned : m_cache.removeExpired(now))
        sendRefund(returned);
    std::vector<std::uint64_t> overdue;
    for (auto& [id, pending] : m_pending) {
        if (now >= pending.deadline)
            overdue.push_back(id);
        else if (pending.resendAt && now >= *pending.resendAt)
            sendRequest(pending);
    }
    for (auto id : overdue)
        complete(id, { false, reason::LimitUnreachable, unreachableRetry });
}

void limit_client::handleOwnerChanges()
{
    for (auto& [id, pending] : m_pending) {
        const auto* owner = m_session.findOwner(limitShard(pending.organisation));
        if (owner && owner->epoch() != pending.requestEpoch)
            sendRequest(pending);
    }
}

void limit_client::refundUnused()
{
    for (const auto& returned : m_cache.drain())
        sendRefund(returned);
}

} // namespace pistachiolatch
