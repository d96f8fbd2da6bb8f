#pragma once
#include "limits/token_bucket.h"
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// One entry's question for tokens.
struct grant_request {
    std::string organisation;
    std::uint64_t need = 0;
    /// What the entry expects to need within a grant's lifetime on top.
    std::uint64_t ahead = 0;
    /// How long the question may wait for tokens.
    milliseconds patience { 0 };
    /// Names the question in the verdict.
    std::uint64_t ticket = 0;
};

struct grant_decision {
    std::uint64_t ticket = 0;
    std::string organisation;
    /// Zero when refused.
    std::uint64_t granted = 0;
    milliseconds retryAfter { 0 };
};

/// The one owner of the buckets of a limit shard. Questions that must wait do so in the order they came, so that
/// small requests at one VM can't starve a large one at another. Small ones go before them, up to half of the rate, and
/// large ones leave them a part of the bucket. Load pattern: an organisation's large calls drain its bucket, and a
/// hundred lookups and bookings, each a thirtieth of one such call, are refused for it.
/// Not thread-safe.
class rate_limiter {
public:
    /// The buckets fill from the moment when the grants of an earlier owner have surely run out.
    explicit rate_limiter(time_point fillFrom)
        : m_fillFrom(fillFrom)
    {
    }

    /// Sets an organisation's rate and burst in tokens (a second). A bucket that is new starts with the tokens given;
    /// the level of one that is there stays.
    void configure(const std::string& organisation, std::uint64_t rate, std::uint64_t burst, time_point now, std::uint64_t startTokens = 0);
    /// Drops an organisation that has no limit record any more; its questions are refused at the next step.
    void remove(const std::string& organisation);
    /// Asks for tokens; the verdict comes out of collectDecisions(), at once where it is known at once.
    void submit(grant_request question, time_point now);
    void refund(const std::string& organisation, std::uint64_t tokens, time_point now);
    /// The verdicts that are due.
    std::vector<grant_decision> collectDecisions(time_point now);
    std::size_t size() const { return m_accounts.size(); }
    /// Whether a question waits for tokens, so that collectDecisions() must be called again soon.
    bool hasQueuedRequests() const { return !m_withWaiting.empty(); }

private:
    struct waiting_ask {
        grant_request question;
        time_point deadline;
    };
    struct account {
        token_bucket bucket;
        std::deque<waiting_ask> waiting;
        std::uint64_t waitingTokens = 0;
        /// Tokens that small questions took since the first large one began to wait, and when that was.
        std::uint64_t passedBy = 0;
        time_point waitingSince {};
        /// When a small question came last; until one does, nothing is kept for them.
        time_point smallSeenAt {};
    };
    static std::uint64_t keptBy(const account& one, std::uint64_t need, time_point now);
    bool takeAsSmall(account& one, const grant_request& question, time_point now);
    void serve(account& one, time_point now);
    static std::uint64_t aheadOf(account& one, const grant_request& question, time_point now);

    time_point m_fillFrom;
    std::map<std::string, account> m_accounts;
    /// Organisations with questions that wait; the others need no look at each step.
    std::set<std::string> m_withWaiting;
    std::vector<grant_decision> m_verdicts;
};

} // namespace pistachiolatch
