#include "scheduler/owned_limits.h"

namespace pistachiolatch {

owned_limits::owned_limits(std::string shard, std::uint64_t epoch, control_loop& loop, metrics& counters)
    : m_shard(std::move(shard))
    , m_epoch(epoch)
    , m_loop(loop)
    , m_metrics(counters)
    // The earlier owner's lease has run out before this shard was given away, but a grant given in its last
    // moment lives on at an entry. Filling begins when that has ended too.
    , m_owner(loop.now() + limitGrantLifetime)
{
}

void owned_limits::configure(const config_view& config, time_point now)
{
    std::set<std::string> present;
    for (const auto& [organisation, limit] : config.limits()) {
        if (limitShard(organisation) != m_shard)
            continue;
        m_owner.configure(organisation, limit.rate, limit.burst, now);
        present.insert(organisation);
    }
    for (const auto& organisation : m_organisations) {
        if (!present.count(organisation))
            m_owner.remove(organisation);
    }
    m_organisations = std::move(present);
}

void owned_limits::onRequest(const wire::envelope& message, time_point now)
{
    const auto& request = message.limit();
    if (request.returned() > 0)
        m_owner.refund(request.organisation(), request.returned(), now);
    if (request.need() == 0)
        return;
    m_questions[++m_lastTicket] = message;
    m_owner.submit({ request.organisation(), request.need(), request.ahead(), milliseconds(request.patience_ms()), m_lastTicket }, now);
}

void owned_limits::step(time_point now)
{
    for (const auto& verdict : m_owner.collectDecisions(now)) {
        auto question = m_questions.extract(verdict.ticket);
        if (question.empty())
            continue;
        wire::envelope envelope;
        auto* reply = envelope.mutable_limit_reply();
        reply->set_shard(m_shard);
        reply->set_epoch(m_epoch);
        reply->set_organisation(verdict.organisation);
        reply->set_granted(verdict.granted);
        reply->set_valid_ms(static_cast<std::uint32_t>(limitGrantLifetime.count()));
        reply->set_retry_after_ms(static_cast<std::uint32_t>(verdict.retryAfter.count()));
        m_metrics.count(verdict.granted > 0 ? "limit_granted" : "limit_refused");
        m_loop.wire().reply(question.mapped(), envelope);
    }
}

} // namespace pistachiolatch
