#pragma once
#include "kernel/kernel.h"
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Tokens that go back to their owner.
struct returned_tokens {
    std::string organisation;
    std::uint64_t tokens = 0;
};

/// The tokens that one entry was granted ahead of need. Not thread-safe.
class grant_cache {
public:
    /// Takes tokens out of grants still valid. All or nothing.
    bool tryConsume(const std::string& organisation, std::uint64_t tokens, time_point now);
    /// Stores what a grant holds beyond the need it was asked for. `askedAt` is when the question was sent: the
    /// lifetime counts from there, so that a reply that travelled long is used less long.
    void store(const std::string& organisation, std::uint64_t tokens, time_point askedAt, milliseconds lifetime);
    /// Tokens to ask for ahead: about what was used within the last lifetime.
    std::uint64_t estimateDemand(const std::string& organisation, time_point now);
    /// Grants that ran out unused, to be given back.
    std::vector<returned_tokens> removeExpired(time_point now);
    /// Everything, to be given back at a shutdown.
    std::vector<returned_tokens> drain();

private:
    struct grant {
        std::uint64_t tokens;
        time_point expires;
    };
    struct account {
        std::deque<grant> grants;
        double used = 0;
        time_point usedAt {};
    };
    static void decay(account& one, time_point now);

    std::map<std::string, account> m_accounts;
};

} // namespace pistachiolatch
