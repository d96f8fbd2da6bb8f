#pragma once
#include "coordination/control_link.h"
#include "limits/limits.h"

namespace pistachiolatch {

struct token_limiter_settings {
    /// Tokens for each organisation that all entries together may let through while no owner of the limits answers.
    std::uint64_t slackTokens = 0;
};

struct token_decision {
    bool granted = false;
    /// Whether the owner of the limits refused; otherwise it could not be reached.
    bool overRate = false;
    milliseconds retryAfter { 0 };
};

/// An entry's way to the organisations' limits: asks the leader, and lives on a small allowance of its own while no
/// leader answers.
/// Thread safety: everything is called on the thread that runs the context.
class token_limiter {
public:
    using handler = std::function<void(token_decision)>;

    token_limiter(boost::asio::io_context& context, peer_network& network, const clock_source& clock, control_link& link, token_limiter_settings settings);

    /// Takes tokens out of an organisation's limit, waiting for them at most as long as the patience.
    void take(const organisation_config& organisation, std::uint64_t tokens, milliseconds patience, handler done);

private:
    struct question {
        std::string organisation;
        std::uint64_t rate;
        std::uint64_t tokens;
        time_point giveUpAt;
        handler done;
    };
    void ask(std::shared_ptr<question> one);
    void withoutOwner(const std::shared_ptr<question>& one);
    bool takeAllowance(const question& one);

    boost::asio::io_context& m_context;
    peer_network& m_network;
    const clock_source& m_clock;
    control_link& m_link;
    token_limiter_settings m_settings;
    /// Until when the owner is not asked, since it left a question unanswered.
    time_point m_silentUntil {};
    std::map<std::string, token_bucket> m_allowances;
};

} // namespace pistachiolatch
