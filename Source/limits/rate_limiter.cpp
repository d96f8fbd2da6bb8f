#include "limits/rate_limiter.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Largest share of the bucket's level that one entry gets in advance; the rest stays available to the others.
    constexpr double maxPrefetchShare = 1.0 / 16;
    constexpr milliseconds unknownOrganisationRetry { 1000 };
    /// A request is small if it needs at most 1/64 of the capacity.
    constexpr std::uint64_t smallRequestDivisor = 64;
    /// Large requests leave 1/16 of the capacity to small ones.
    constexpr std::uint64_t smallReserveDivisor = 16;
    /// How long after a small request more of them are expected.
    constexpr std::chrono::seconds smallRequestWindow { 10 };
    /// Share of the rate that small requests may use while large ones are queued.
    constexpr double overtakeShare = 0.5;

    bool isSmall(const token_bucket& bucket, std::uint64_t tokens)
    {
        return tokens * smallRequestDivisor <= bucket.capacity();
    }
}

void rate_limiter::configure(const std::string& organisation, std::uint64_t rate, std::uint64_t burst, time_point now, std::uint64_t startTokens)
{
    auto found = m_accounts.find(organisation);
    if (found != m_accounts.end()) {
        found->second.bucket.configure(rate, burst, now);
        return;
    }
    auto added = m_accounts.emplace(organisation, account_state { token_bucket(rate, burst, std::max(m_fillStart, now)) }).first;
    added->second.bucket.refund(startTokens, now);
}

void rate_limiter::remove(const std::string& organisation)
{
    auto found = m_accounts.find(organisation);
    if (found == m_accounts.end())
        return;
    for (const auto& queued : found->second.queue)
        m_decisions.push_back({ queued.request.ticket, organisation, 0, unknownOrganisationRetry });
    m_queuedOrganisations.erase(organisation);
    m_accounts.erase(found);
}

void rate_limiter::submit(grant_request request, time_point now)
{
    auto found = m_accounts.find(request.organisation);
    if (found == m_accounts.end()) {
        m_decisions.push_back({ request.ticket, request.organisation, 0, unknownOrganisationRetry });
        return;
    }
    auto& account = found->second;
    processQueue(account, now);
    if (isSmall(account.bucket, request.tokens))
        account.lastSmallRequest = now;
    if (tryOvertake(account, request, now)) {
        m_decisions.push_back({ request.ticket, request.organisation, request.tokens, milliseconds(0) });
        return;
    }
    auto tokensAhead = request.begun ? account.begunTokens : account.queuedTokens;
    auto wait = account.bucket.timeUntilAvailable(tokensAhead + request.tokens + reserveForSmall(account, request.tokens, now), now);
    // Refuse immediately if the wait would be too long: the request isn't queued in vain, and the caller learns the
    // actual wait.
    if (wait > request.maxWait || request.tokens > account.bucket.capacity()) {
        m_decisions.push_back({ request.ticket, request.organisation, 0, wait });
        return;
    }
    if (account.queue.empty()) {
        account.queuedSince = now;
        account.overtakeTokens = 0;
    }
    enqueue(account, std::move(request), now);
    processQueue(account, now);
    if (!account.queue.empty())
        m_queuedOrganisations.insert(found->first);
}

void rate_limiter::enqueue(account_state& account, grant_request request, time_point now)
{
    account.queuedTokens += request.tokens;
    auto position = account.queue.end();
    if (request.begun) {
        position = account.queue.begin() + static_cast<std::ptrdiff_t>(account.begunCount++);
        account.begunTokens += request.tokens;
    }
    auto deadline = now + request.maxWait;
    account.queue.insert(position, { std::move(request), deadline });
}

void rate_limiter::removeFirst(account_state& account)
{
    const auto& request = account.queue.front().request;
    account.queuedTokens -= request.tokens;
    if (request.begun) {
        --account.begunCount;
        account.begunTokens -= request.tokens;
    }
    account.queue.pop_front();
}

std::uint64_t rate_limiter::reserveForSmall(const account_state& account, std::uint64_t tokens, time_point now)
{
    const auto& bucket = account.bucket;
    bool smallExpected = account.lastSmallRequest != time_point {} && now - account.lastSmallRequest < smallRequestWindow;
    if (!smallExpected || isSmall(bucket, tokens) || tokens > bucket.capacity())
        return 0;
    return std::min(bucket.capacity() / smallReserveDivisor, bucket.capacity() - tokens);
}

bool rate_limiter::tryOvertake(account_state& account, const grant_request& request, time_point now)
{
    if (account.queue.empty() || !isSmall(account.bucket, request.tokens))
        return false;
    auto waited = std::chrono::duration<double>(now - account.queuedSince).count();
    auto reserve = account.bucket.capacity() / smallReserveDivisor;
    auto allowed = overtakeShare * static_cast<double>(account.bucket.rate()) * waited + static_cast<double>(reserve);
    if (static_cast<double>(account.overtakeTokens + request.tokens) > allowed || !account.bucket.tryConsume(request.tokens, now))
        return false;
    account.overtakeTokens += request.tokens;
    return true;
}

std::uint64_t rate_limiter::consumePrefetch(account_state& account, const grant_request& request, time_point now)
{
    if (account.queue.size() > 1)
        return 0;
    auto available = static_cast<std::uint64_t>(std::max(0.0, account.bucket.level(now) * maxPrefetchShare));
    auto prefetch = std::min(request.prefetch, available);
    return prefetch > 0 && account.bucket.tryConsume(prefetch, now) ? prefetch : 0;
}

void rate_limiter::processQueue(account_state& account, time_point now)
{
    while (!account.queue.empty()) {
        auto& first = account.queue.front();
        if (first.deadline < now) {
            m_decisions.push_back({ first.request.ticket, first.request.organisation, 0, account.bucket.timeUntilAvailable(account.queuedTokens, now) });
        } else {
            auto tokens = first.request.tokens;
            bool sufficient = account.bucket.level(now) >= static_cast<double>(tokens + reserveForSmall(account, tokens, now));
            if (!sufficient || !account.bucket.tryConsume(tokens, now))
                return;
            auto prefetch = consumePrefetch(account, first.request, now);
            m_decisions.push_back({ first.request.ticket, first.request.organisation, first.request.tokens + prefetch, milliseconds(0) });
        }
        removeFirst(account);
    }
}

void rate_limiter::refund(const std::string& organisation, std::uint64_t tokens, time_point now)
{
    auto found = m_accounts.find(organisation);
    if (found != m_accounts.end())
        found->second.bucket.refund(tokens, now);
}

std::vector<grant_decision> rate_limiter::collectDecisions(time_point now)
{
    for (auto it = m_queuedOrganisations.begin(); it != m_queuedOrganisations.end();) {
        auto& account = m_accounts.at(*it);
        processQueue(account, now);
        it = account.queue.empty() ? m_queuedOrganisations.erase(it) : std::next(it);
    }
    return std::exchange(m_decisions, {});
}

} // namespace pistachiolatch
