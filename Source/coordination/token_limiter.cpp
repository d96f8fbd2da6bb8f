#include "coordination/token_limiter.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// How long the owner may be silent before the question counts as lost; a round trip takes a few milliseconds.
    constexpr milliseconds ownerTimeout { 40 };
    /// How long a silent owner is left alone. Callers who each waited for it would all be late; the link finds out
    /// meanwhile whether it lives.
    constexpr milliseconds silencePause { 200 };
    /// Pause before the next question while no owner is known.
    constexpr milliseconds retryPause { 60 };
    /// What callers are told while the limits have no owner; an election takes about a second.
    constexpr milliseconds retryAfterWithoutOwner { 600 };
}

token_limiter::token_limiter(boost::asio::io_context& context, peer_network& network, const clock_source& clock, control_link& link, token_limiter_settings settings)
    : m_context(context)
    , m_network(network)
    , m_clock(clock)
    , m_link(link)
    , m_settings(settings)
{
}

void token_limiter::take(const organisation_config& organisation, std::uint64_t tokens, milliseconds patience, handler done)
{
    if (organisation.rate == 0) {
        done({ true, false, milliseconds(0) });
        return;
    }
    auto one = std::make_shared<question>(question { organisation.name, organisation.rate, tokens, m_clock.now() + patience, std::move(done) });
    ask(std::move(one));
}

void token_limiter::ask(std::shared_ptr<question> one)
{
    if (m_link.leader().empty() || m_clock.now() < m_silentUntil) {
        withoutOwner(one);
        return;
    }
    auto left = std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(one->giveUpAt - m_clock.now()));
    wire::envelope message;
    auto& request = *message.mutable_limit();
    request.set_organisation(one->organisation);
    request.set_need(one->tokens);
    request.set_patience_ms(static_cast<std::uint32_t>(left.count()));
    m_network.call(m_link.leader(), std::move(message), left + ownerTimeout, [this, one](const wire::envelope* reply) {
        if (!reply) {
            m_silentUntil = m_clock.now() + silencePause;
            m_link.suspectLeader();
        }
        if (!reply || !reply->has_limit_reply() || reply->limit_reply().wrong_owner()) {
            withoutOwner(one);
            return;
        }
        const auto& answer = reply->limit_reply();
        one->done({ answer.granted() >= one->tokens, true, milliseconds(answer.retry_after_ms()) });
    });
}

void token_limiter::withoutOwner(const std::shared_ptr<question>& one)
{
    if (takeAllowance(*one)) {
        one->done({ true, false, milliseconds(0) });
        return;
    }
    if (m_clock.now() + retryPause >= one->giveUpAt) {
        one->done({ false, false, retryAfterWithoutOwner });
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, retryPause);
    timer->async_wait([this, one, timer](boost::system::error_code) { ask(one); });
}

bool token_limiter::takeAllowance(const question& one)
{
    // All entries together stay within the slack and the rate: each has its share of both.
    auto entries = std::max(1U, m_link.entries());
    auto rate = std::max<std::uint64_t>(1, one.rate / entries);
    auto burst = m_settings.slackTokens / entries + rate / 4;
    auto found = m_allowances.find(one.organisation);
    if (found == m_allowances.end()) {
        found = m_allowances.emplace(one.organisation, token_bucket(rate, burst, m_clock.now())).first;
        found->second.giveBack(burst, m_clock.now());
    }
    found->second.configure(rate, burst, m_clock.now());
    return found->second.take(one.tokens, m_clock.now());
}

} // namespace pistachiolatch
