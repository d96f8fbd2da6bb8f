#pragma once
#include "kernel/kernel.h"
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Unused tokens to return to the owner of the organisation's limit.
struct returned_tokens {
    std::string organisation;
    std::uint64_t tokens = 0;
};

/// Tokens granted to an entry in advance, per organisation. Not thread-safe.
class grant_cache {
public:
    /// Takes the tokens from grants that are still valid, or takes none and returns false.
    bool tryConsume(const std::string& organisation, std::uint64_t tokens, time_point now);
    /// Stores the part of a grant that exceeds the request. The lifetime counts from `requestedAt`, when the request
    /// was sent, so that network delay shortens the time in which the grant can be used.
    void store(const std::string& organisation, std::uint64_t tokens, time_point requestedAt, milliseconds lifetime);
    /// Number of tokens to request in advance: roughly the usage within the last grant lifetime.
    std::uint64_t estimateDemand(const std::string& organisation, time_point now);
    /// Removes expired grants and returns their unused tokens.
    std::vector<returned_tokens> removeExpired(time_point now);
    /// Removes all grants and returns their unused tokens, for shutdown.
    std::vector<returned_tokens> drain();

private:
    struct grant {
        std::uint64_t tokens;
        time_point expiresAt;
    };
    struct account_state {
        std::deque<grant> grants;
        double recentUsage = 0;
        time_point usageUpdatedAt {};
    };
    static void decayUsage(account_state& account, time_point now);

    std::map<std::string, account_state> m_accounts;
};

} // namespace pistachiolatch
