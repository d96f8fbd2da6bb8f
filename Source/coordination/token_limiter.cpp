#include "coordination/token_limiter.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Time for a reply beyond the wait that was requested; a round trip takes a few milliseconds.
    constexpr milliseconds ownerReplyTimeout { 40 };
    /// An owner that did not reply is not asked for this long, since every caller that waited for it would be late. The
    /// link probes it meanwhile.
    constexpr milliseconds ownerSkipPeriod { 200 };
    /// Delay before the next request while no owner is known.
    constexpr milliseconds ownerRetryInterval { 60 };
}

token_limiter::token_limiter(boost::asio::io_context& context, peer_network& network, const clock_source& clock, control_link& link, token_limiter_settings settings)
    : m_context(context)
    , m_network(network)
    , m_clock(clock)
    , m_link(link)
    , m_settings(settings)
    , m_fallback(generateIncarnation())
    , m_backoff(generateIncarnation())
{
}

void token_limiter::acquire(const organisation_config& organisation, token_need need, milliseconds timeout, handler done)
{
    if (organisation.rate == 0) {
        done({ true, false, milliseconds(0), 0 });
        return;
    }
    auto request = std::make_shared<token_request>(token_request { organisation.name, organisation.rate, need, m_clock.now() + timeout, std::move(done) });
    requestTokens(std::move(request));
}

void token_limiter::giveBack(const organisation_config& organisation, std::uint64_t tokens, const token_decision& decision)
{
    if (decision.owner == 0 || m_link.leader().empty())
        return;
    wire::envelope message;
    auto& limitRequest = *message.mutable_limit();
    limitRequest.set_organisation(organisation.name);
    limitRequest.set_returned(tokens);
    limitRequest.set_epoch(decision.owner);
    m_network.send(m_link.leader(), std::move(message));
}

void token_limiter::requestTokens(std::shared_ptr<token_request> request)
{
    if (m_link.leader().empty() || m_clock.now() < m_skipOwnerUntil) {
        handleOwnerUnavailable(request);
        return;
    }
    auto left = std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(request->deadline - m_clock.now()));
    wire::envelope message;
    auto& limitRequest = *message.mutable_limit();
    limitRequest.set_organisation(request->organisation);
    limitRequest.set_need(request->need.tokens);
    limitRequest.set_begun(request->need.begun);
    limitRequest.set_patience_ms(saturatingCast<std::uint32_t>(left.count()));
    m_network.call(m_link.leader(), std::move(message), left + ownerReplyTimeout, [this, request](const wire::envelope* reply) {
        if (!reply) {
            m_skipOwnerUntil = m_clock.now() + ownerSkipPeriod;
            m_link.probeLeader();
        }
        if (!reply || !reply->has_limit_reply() || reply->limit_reply().wrong_owner()) {
            handleOwnerUnavailable(request);
            return;
        }
        m_backoff.recordReply();
        const auto& answer = reply->limit_reply();
        request->done({ answer.granted() >= request->need.tokens, true, milliseconds(answer.retry_after_ms()), answer.epoch() });
    });
}

void token_limiter::handleOwnerUnavailable(const std::shared_ptr<token_request>& request)
{
    m_backoff.recordSilence(m_clock.now());
    if (takeFallbackTokens(*request)) {
        request->done({ true, false, milliseconds(0), 0 });
        return;
    }
    if (m_clock.now() + ownerRetryInterval >= request->deadline) {
        request->done({ false, false, m_backoff.retryAfter(m_clock.now()), 0 });
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, ownerRetryInterval);
    timer->async_wait([this, request, timer](boost::system::error_code) { requestTokens(request); });
}

bool token_limiter::takeFallbackTokens(const token_request& request)
{
    // Each entry has an equal share, so that all together stay within the fallback tokens and the rate.
    auto entries = static_cast<double>(std::max(1U, m_link.entryCount()));
    auto rate = static_cast<double>(request.rate) / entries;
    auto burst = static_cast<double>(m_settings.fallbackTokens) / entries + rate / 4;
    return m_fallback.tryTake(request.organisation, rate, burst, request.need.tokens, m_clock.now());
}

} // namespace pistachiolatch
