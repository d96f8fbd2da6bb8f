#include "limits/grant_cache.h"

#include "records/record_types.h"
#include <algorithm>
#include <cmath>

namespace pistachiolatch {

void grant_cache::decayUsage(account_state& account, time_point now)
{
    auto elapsedLifetimes = std::chrono::duration<double>(now - account.usageUpdatedAt) / std::chrono::duration<double>(limitGrantLifetime);
    account.recentUsage *= std::exp(-elapsedLifetimes);
    account.usageUpdatedAt = now;
}

bool grant_cache::tryConsume(const std::string& organisation, std::uint64_t tokens, time_point now)
{
    auto& account = m_accounts[organisation];
    decayUsage(account, now);
    account.recentUsage += static_cast<double>(tokens);
    std::uint64_t available = 0;
    for (const auto& grant : account.grants)
        available += grant.expiresAt > now ? grant.tokens : 0;
    if (available < tokens)
        return false;
    for (auto& grant : account.grants) {
        if (grant.expiresAt <= now)
            continue;
        auto taken = std::min(grant.tokens, tokens);
        grant.tokens -= taken;
        tokens -= taken;
    }
    return true;
}

void grant_cache::store(const std::string& organisation, std::uint64_t tokens, time_point requestedAt, milliseconds lifetime)
{
    if (tokens > 0)
        m_accounts[organisation].grants.push_back({ tokens, requestedAt + lifetime });
}

std::uint64_t grant_cache::estimateDemand(const std::string& organisation, time_point now)
{
    auto& account = m_accounts[organisation];
    decayUsage(account, now);
    return static_cast<std::uint64_t>(account.recentUsage);
}

std::vector<returned_tokens> grant_cache::removeExpired(time_point now)
{
    std::vector<returned_tokens> unused;
    constexpr double negligibleUsage = 0.5;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        auto& account = it->second;
        std::uint64_t tokens = 0;
        while (!account.grants.empty() && account.grants.front().expiresAt <= now) {
            tokens += account.grants.front().tokens;
            account.grants.pop_front();
        }
        if (tokens > 0)
            unused.push_back({ it->first, tokens });
        decayUsage(account, now);
        bool idle = account.grants.empty() && account.recentUsage < negligibleUsage;
        it = idle ? m_accounts.erase(it) : std::next(it);
    }
    return unused;
}

std::vector<returned_tokens> grant_cache::drain()
{
    std::vector<returned_tokens> unused;
    for (auto& [organisation, account] : m_accounts) {
        std::uint64_t tokens = 0;
        for (const auto& grant : account.grants)
            tokens += grant.tokens;
        if (tokens > 0)
            unused.push_back({ organisation, tokens });
    }
    m_accounts.clear();
    return unused;
}

} // namespace pistachiolatch
