// Limits of the organisations, of cold endpoints and of retries.
#include "coordination/entry_coordinator.h"

namespace pistachiolatch {

namespace {
    /// How often waiting requests for tokens are retried. Short compared with the latency that callers tolerate.
    constexpr milliseconds limitInterval { 20 };
}

void entry_coordinator::applyConfiguration()
{
    if (m_replica.document().version() == 0)
        return;
    auto decoded = m_decode(m_replica.document().body());
    if (!decoded) {
        logEvent("document_unreadable", { { "version", m_replica.document().version() }, { "error", decoded.error().message } });
        return;
    }
    m_origins.onConfiguration(decoded.value());
    if (!m_limits)
        return;
    configureLimits(decoded.value());
    std::map<std::string, double> coldRates;
    for (const auto& service : decoded.value().services) {
        if (service.coldCallsPerSecond > 0)
            coldRates[service.name] = service.coldCallsPerSecond;
    }
    m_planner.coldStarts().setRates(coldRates);
    m_slotPlanner.coldStarts().setRates(std::move(coldRates));
}

void entry_coordinator::configureLimits(const configuration& current)
{
    std::set<std::string> limited;
    for (const auto& one : current.organisations) {
        if (one.rate == 0)
            continue;
        const auto& tolerance = m_settings.tolerance;
        m_limits->configure(one.name, one.rate, one.burst + tolerance.extraBurst(one.rate, one.burst), m_clock.now(), tolerance.initialTokens(one.rate, one.burst));
        limited.insert(one.name);
    }
    for (const auto& name : m_limitedOrganisations) {
        if (!limited.count(name))
            m_limits->remove(name);
    }
    m_limitedOrganisations = std::move(limited);
    processLimitRequests();
}

void entry_coordinator::onLimitRequest(const wire::envelope& message, const peer_network::peer& from)
{
    const auto& request = message.limit();
    if (request.returned() > 0) {
        returnTokens(request);
        return;
    }
    if (!m_limits || !m_replica.isLeader()) {
        wire::envelope reply;
        reply.mutable_limit_reply()->set_wrong_owner(true);
        peer_network::reply(from, message, std::move(reply));
        return;
    }
    auto ticket = ++m_lastTicket;
    m_pendingLimits[ticket] = { from, message };
    m_limits->submit({ request.organisation(), request.need(), request.ahead(), milliseconds(request.patience_ms()), ticket, request.begun() }, m_clock.now());
    processLimitRequests();
}

void entry_coordinator::returnTokens(const wire::limit_request& request)
{
    if (!m_limits || request.epoch() != m_limitEpoch)
        return;
    m_limits->refund(request.organisation(), request.returned(), m_clock.now());
    m_metrics.count("limit_tokens_returned", static_cast<double>(request.returned()));
    processLimitRequests();
}

void entry_coordinator::onRetryRequest(const wire::envelope& message, const peer_network::peer& from)
{
    // The lease makes sure that no other leader grants at the same time.
    const auto& request = message.retry_request();
    auto need = request.optional() ? retry_need::Optional : retry_need::Required;
    bool granted = m_replica.isLeader() && m_retries.tryGrant(request.service(), need, m_clock.now());
    m_metrics.count(granted ? "retry_granted" : "retry_refused");
    wire::envelope reply;
    reply.mutable_retry_reply()->set_granted(granted);
    peer_network::reply(from, message, std::move(reply));
}

void entry_coordinator::processLimitRequests()
{
    if (!m_limits)
        return;
    for (const auto& decision : m_limits->collectDecisions(m_clock.now())) {
        auto found = m_pendingLimits.find(decision.ticket);
        if (found == m_pendingLimits.end())
            continue;
        wire::envelope reply;
        auto& answer = *reply.mutable_limit_reply();
        answer.set_organisation(decision.organisation);
        answer.set_granted(decision.granted);
        answer.set_epoch(m_limitEpoch);
        answer.set_retry_after_ms(saturatingCast<std::uint32_t>(decision.retryAfter.count()));
        peer_network::reply(found->second.peer, found->second.message, std::move(reply));
        m_pendingLimits.erase(found);
    }
    if (!m_limits->hasQueuedRequests() || m_limitTimerArmed)
        return;
    m_limitTimerArmed = true;
    m_limitTimer.expires_after(limitInterval);
    m_limitTimer.async_wait([this](boost::system::error_code error) {
        m_limitTimerArmed = false;
        if (!error)
            processLimitRequests();
    });
}

} // namespace pistachiolatch
