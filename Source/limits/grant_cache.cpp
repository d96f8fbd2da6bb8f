#include "limits/grant_cache.h"

#include "records/record_types.h"
#include <algorithm>
#include <cmath>

namespace pistachiolatch {

void grant_cache::decay(account& one, time_point now)
{
    auto lifetimes = std::chrono::duration<double>(now - one.usedAt) / std::chrono::duration<double>(limitGrantLifetime);
    one.used *= std::exp(-lifetimes);
    one.usedAt = now;
}

bool grant_cache::tryConsume(const std::string& organisation, std::uint64_t tokens, time_point now)
{
    auto& one = m_accounts[organisation];
    decay(one, now);
    one.used += static_cast<double>(tokens);
    std::uint64_t held = 0;
    for (const auto& grant : one.grants)
        held += grant.expires > now ? grant.tokens : 0;
    if (held < tokens)
        return false;
    for (auto& grant : one.grants) {
        if (grant.expires <= now)
            continue;
        auto taken = std::min(grant.tokens, tokens);
        grant.tokens -= taken;
        tokens -= taken;
    }
    return true;
}

void grant_cache::store(const std::string& organisation, std::uint64_t tokens, time_point askedAt, milliseconds lifetime)
{
    if (tokens > 0)
        m_accounts[organisation].grants.push_back({ tokens, askedAt + lifetime });
}

std::uint64_t grant_cache::estimateDemand(const std::string& organisation, time_point now)
{
    auto& one = m_accounts[organisation];
    decay(one, now);
    return static_cast<std::uint64_t>(one.used);
}

std::vector<returned_tokens> grant_cache::removeExpired(time_point now)
{
    std::vector<returned_tokens> back;
    constexpr double negligible = 0.5;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        auto& one = it->second;
        std::uint64_t tokens = 0;
        while (!one.grants.empty() && one.grants.front().expires <= now) {
            tokens += one.grants.front().tokens;
            one.grants.pop_front();
        }
        if (tokens > 0)
            back.push_back({ it->first, tokens });
        decay(one, now);
        bool idle = one.grants.empty() && one.used < negligible;
        it = idle ? m_accounts.erase(it) : std::next(it);
    }
    return back;
}

std::vector<returned_tokens> grant_cache::drain()
{
    std::vector<returned_tokens> back;
    for (auto& [organisation, one] : m_accounts) {
        std::uint64_t tokens = 0;
        for (const auto& grant : one.grants)
            tokens += grant.tokens;
        if (tokens > 0)
            back.push_back({ organisation, tokens });
    }
    m_accounts.clear();
    return back;
}

} // namespace pistachiolatch
