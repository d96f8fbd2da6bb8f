// The part of the coordinator that owns the organisations' limits.
#include "coordination/entry_coordinator.h"

namespace pistachiolatch {

namespace {
    /// How often questions that wait for tokens are looked at. Short beside the time that callers are content with.
    constexpr milliseconds limitInterval { 20 };
}

void entry_coordinator::configureLimits()
{
    if (!m_limits || m_replica.document().version() == 0)
        return;
    auto decoded = m_decode(m_replica.document().body());
    if (!decoded) {
        logEvent("document_unreadable", { { "version", m_replica.document().version() }, { "error", decoded.error().message } });
        return;
    }
    std::set<std::string> limited;
    for (const auto& one : decoded.value().organisations) {
        if (one.rate == 0)
            continue;
        const auto& tolerance = m_settings.tolerance;
        m_limits->configure(one.name, one.rate, one.burst + tolerance.extraBurst(one.rate, one.burst), m_clock.now(), tolerance.startTokens(one.rate, one.burst));
        limited.insert(one.name);
    }
    for (const auto& name : m_limited) {
        if (!limited.count(name))
            m_limits->remove(name);
    }
    m_limited = std::move(limited);
    answerLimits();
}

void entry_coordinator::onLimitRequest(const wire::envelope& message, const peer_network::peer& from)
{
    const auto& asked = message.limit();
    if (!m_limits || !m_replica.leads()) {
        wire::envelope reply;
        reply.mutable_limit_reply()->set_wrong_owner(true);
        peer_network::reply(from, message, std::move(reply));
        return;
    }
    auto ticket = ++m_lastTicket;
    m_waiting[ticket] = { from, message };
    m_limits->submit({ asked.organisation(), asked.need(), asked.ahead(), milliseconds(asked.patience_ms()), ticket }, m_clock.now());
    answerLimits();
}

void entry_coordinator::answerLimits()
{
    if (!m_limits)
        return;
    for (const auto& verdict : m_limits->collectDecisions(m_clock.now())) {
        auto found = m_waiting.find(verdict.ticket);
        if (found == m_waiting.end())
            continue;
        wire::envelope reply;
        auto& answer = *reply.mutable_limit_reply();
        answer.set_organisation(verdict.organisation);
        answer.set_granted(verdict.granted);
        answer.set_retry_after_ms(static_cast<std::uint32_t>(verdict.retryAfter.count()));
        peer_network::reply(found->second.peer, found->second.call, std::move(reply));
        m_waiting.erase(found);
    }
    if (!m_limits->hasQueuedRequests() || m_limitTimerArmed)
        return;
    m_limitTimerArmed = true;
    m_limitTimer.expires_after(limitInterval);
    m_limitTimer.async_wait([this](boost::system::error_code error) {
        m_limitTimerArmed = false;
        if (!error)
            answerLimits();
    });
}

} // namespace pistachiolatch
