#pragma once
#include "coordination/control_link.h"
#include "limits/limits.h"

namespace pistachiolatch {

struct token_limiter_settings {
    /// Tokens of each organisation that all entries together may grant while no owner of the limits replies.
    std::uint64_t fallbackTokens = 0;
};

/// What a request takes from its organisation's limit.
struct token_need {
    std::uint64_t tokens = 0;
    /// Whether the caller has part of the answer; the owner then decides on it before others.
    bool begun = false;
};

struct token_decision {
    bool granted = false;
    /// Whether the owner of the limits decided; if not, no owner could be reached.
    bool overRate = false;
    milliseconds retryAfter { 0 };
    /// Identifies the owner that granted the tokens; 0 if they came from the fallback budget or no limit applies.
    std::uint64_t owner = 0;
};

/// Enforces the organisations' token limits at an entry: requests tokens from the leader, and falls back to a small local
/// budget while no leader replies.
/// Thread safety: all calls on the thread that runs the context.
class token_limiter {
public:
    using handler = std::function<void(token_decision)>;

    token_limiter(boost::asio::io_context& context, peer_network& network, const clock_source& clock, control_link& link, token_limiter_settings settings);

    /// Takes tokens from an organisation's limit, waiting for them no longer than the timeout.
    void acquire(const organisation_config& organisation, token_need need, milliseconds timeout, handler done);
    /// Returns granted tokens of a request that no endpoint ran and none will run. The owner that granted them takes them back.
    void giveBack(const organisation_config& organisation, std::uint64_t tokens, const token_decision& decision);

private:
    struct token_request {
        std::string organisation;
        std::uint64_t rate;
        token_need need;
        time_point deadline;
        handler done;
    };
    void requestTokens(std::shared_ptr<token_request> request);
    void handleOwnerUnavailable(const std::shared_ptr<token_request>& request);
    bool takeFallbackTokens(const token_request& request);

    boost::asio::io_context& m_context;
    peer_network& m_network;
    const clock_source& m_clock;
    control_link& m_link;
    token_limiter_settings m_settings;
    /// The owner is not asked until then, since it did not reply.
    time_point m_skipOwnerUntil {};
    fallback_limiter m_fallback;
    outage_backoff m_backoff;
};

} // namespace pistachiolatch
