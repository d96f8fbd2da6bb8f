#include "scheduler/owned_limits.h"

namespace pistachiolatch {

owned_limits::owned_limits(std::string shard, std::uint64_t epoch, control_loop& loop, metrics& counters)
    : m_shard(std::move(shard))
    , m_epoch(epoch)
    , m_loop(loop)
    , m_metrics(counters)
    // The previous owner's lease expired before this shard was reassigned, but its last grants may still be valid at
    // entries. Buckets start to fill after those have expired.
    , m_limiter(loop.now() + limitGrantLifetime)
{
}

void owned_limits::configure(const config_view& config, time_point now)
{
    std::set<std::string> present;
    for (const auto& [organisation, limit] : config.limits()) {
        if (limitShard(organisation) != m_shard)
            continue;
        m_limiter.configure(organisation, limit.rate, limit.burst, now);
        present.insert(organisation);
    }
    for (const auto& organisation : m_organisations) {
        if (!present.count(organisation))
            m_limiter.remove(organisation);
    }
    m_organisations = std::move(present);
}

void owned_limits::onRequest(const wire::envelope& message, time_point now)
{
    const auto& request = message.limit();
    if (request.returned() > 0)
        m_limiter.refund(request.organisation(), request.returned(), now);
    if (request.need() == 0)
        return;
    m_pendingRequests[++m_lastTicket] = message;
    m_limiter.submit({ request.organisation(), request.need(), request.ahead(), milliseconds(request.patience_ms()), m_lastTicket }, now);
}

void owned_limits::sendDecisions(time_point now)
{
    for (const auto& decision : m_limiter.collectDecisions(now)) {
        auto request = m_pendingRequests.extract(decision.ticket);
        if (request.empty())
            continue;
        wire::envelope envelope;
        auto* reply = envelope.mutable_limit_reply();
        reply->set_shard(m_shard);
        reply->set_epoch(m_epoch);
        reply->set_organisation(decision.organisation);
        reply->set_granted(decision.granted);
        reply->set_valid_ms(static_cast<std::uint32_t>(limitGrantLifetime.count()));
        reply->set_retry_after_ms(static_cast<std::uint32_t>(decision.retryAfter.count()));
        m_metrics.count(decision.granted > 0 ? "limit_granted" : "limit_refused");
        m_loop.wire().reply(request.mapped(), envelope);
    }
}

} // namespace pistachiolatch
