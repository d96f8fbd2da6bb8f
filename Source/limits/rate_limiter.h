#pragma once
#include "limits/token_bucket.h"
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// An entry's request for tokens.
struct grant_request {
    std::string organisation;
    std::uint64_t tokens = 0;
    /// Additional tokens that the entry expects to use within a grant's lifetime.
    std::uint64_t prefetch = 0;
    /// How long the request may be queued.
    milliseconds maxWait { 0 };
    /// Identifies the request in its decision.
    std::uint64_t ticket = 0;
    /// Whether the caller has part of the answer, such as of a stream that it takes up again.
    bool begun = false;
};

struct grant_decision {
    std::uint64_t ticket = 0;
    std::string organisation;
    /// Zero if refused.
    std::uint64_t granted = 0;
    milliseconds retryAfter { 0 };
};

/// Holds the token buckets of a limit shard and decides on token requests. Each shard has one owner.
/// Requests that must wait are queued in arrival order, so that small requests from one VM can't starve a large one
/// from another. Small requests may overtake the queue within half of the rate, and large ones leave part of the bucket
/// to them. Otherwise an organisation's large calls would drain its bucket and its small calls, such as lookups and
/// bookings at a thirtieth of the cost, would be refused.
/// Requests that were begun are queued before all others: their callers paid for what they got already, and lose it otherwise.
/// Not thread-safe.
class rate_limiter {
public:
    /// The buckets begin to fill at `fillStart`, when all grants of the previous owner have expired.
    explicit rate_limiter(time_point fillStart)
        : m_fillStart(fillStart)
    {
    }

    /// Sets an organisation's rate in tokens per second and its burst in tokens. A new bucket starts with
    /// `startTokens`; an existing one keeps its level.
    void configure(const std::string& organisation, std::uint64_t rate, std::uint64_t burst, time_point now, std::uint64_t startTokens = 0);
    /// Removes an organisation that no longer has a limit; collectDecisions() then refuses its queued requests.
    void remove(const std::string& organisation);
    /// Submits a request. collectDecisions() returns the decision, immediately if the request need not wait.
    void submit(grant_request request, time_point now);
    void refund(const std::string& organisation, std::uint64_t tokens, time_point now);
    /// Processes the queues and returns the decisions made since the last call.
    std::vector<grant_decision> collectDecisions(time_point now);
    std::size_t size() const { return m_accounts.size(); }
    /// Whether requests are queued, so that collectDecisions() must be called again soon.
    bool hasQueuedRequests() const { return !m_queuedOrganisations.empty(); }

private:
    struct queued_request {
        grant_request request;
        time_point deadline;
    };
    struct account_state {
        token_bucket bucket;
        std::deque<queued_request> queue {};
        std::uint64_t queuedTokens = 0;
        /// Requests at the front of the queue that were begun, and the tokens that they need.
        std::size_t begunCount = 0;
        std::uint64_t begunTokens = 0;
        /// Tokens granted to small requests ahead of the queue since `queuedSince`.
        std::uint64_t overtakeTokens = 0;
        /// When the queue last became non-empty.
        time_point queuedSince {};
        /// Arrival of the latest small request; nothing is reserved for small requests before the first one.
        time_point lastSmallRequest {};
    };
    static std::uint64_t reserveForSmall(const account_state& account, std::uint64_t tokens, time_point now);
    static void enqueue(account_state& account, grant_request request, time_point now);
    static void removeFirst(account_state& account);
    bool tryOvertake(account_state& account, const grant_request& request, time_point now);
    void processQueue(account_state& account, time_point now);
    static std::uint64_t consumePrefetch(account_state& account, const grant_request& request, time_point now);

    time_point m_fillStart;
    std::map<std::string, account_state> m_accounts;
    /// Organisations with queued requests; collectDecisions() visits only these.
    std::set<std::string> m_queuedOrganisations;
    std::vector<grant_decision> m_decisions;
};

} // namespace pistachiolatch
