#include "limits/rate_limiter.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// At most this part of a bucket goes ahead to one entry; the rest stays for the others.
    constexpr double aheadShare = 1.0 / 16;
    constexpr milliseconds unknownOrganisationRetry { 1000 };
    /// Questions for at most this part of a bucket are small.
    constexpr std::uint64_t smallPart = 64;
    /// The part of a bucket that large questions leave to small ones.
    constexpr std::uint64_t keptPart = 16;
    /// How long after a small question others are expected.
    constexpr std::chrono::seconds smallExpected { 10 };
    /// The part of the rate that small questions may take while large ones wait.
    constexpr double passingShare = 0.5;

    bool isSmall(const token_bucket& bucket, std::uint64_t need)
    {
        return need * smallPart <= bucket.capacity();
    }
}

void rate_limiter::configure(const std::string& organisation, std::uint64_t rate, std::uint64_t burst, time_point now, std::uint64_t startTokens)
{
    auto found = m_accounts.find(organisation);
    if (found != m_accounts.end()) {
        found->second.bucket.configure(rate, burst, now);
        return;
    }
    auto fresh = m_accounts.emplace(organisation, account { token_bucket(rate, burst, std::max(m_fillFrom, now)), {}, 0 }).first;
    fresh->second.bucket.refund(startTokens, now);
}

void rate_limiter::remove(const std::string& organisation)
{
    auto found = m_accounts.find(organisation);
    if (found == m_accounts.end())
        return;
    for (const auto& waiting : found->second.waiting)
        m_verdicts.push_back({ waiting.question.ticket, organisation, 0, unknownOrganisationRetry });
    m_withWaiting.erase(organisation);
    m_accounts.erase(found);
}

void rate_limiter::submit(grant_request question, time_point now)
{
    auto found = m_accounts.find(question.organisation);
    if (found == m_accounts.end()) {
        m_verdicts.push_back({ question.ticket, question.organisation, 0, unknownOrganisationRetry });
        return;
    }
    auto& one = found->second;
    serve(one, now);
    if (isSmall(one.bucket, question.need))
        one.smallSeenAt = now;
    if (takeAsSmall(one, question, now)) {
        m_verdicts.push_back({ question.ticket, question.organisation, question.need, milliseconds(0) });
        return;
    }
    auto wait = one.bucket.waitFor(one.waitingTokens + question.need + keptBy(one, question.need, now), now);
    // Refused at once when the wait is known to be too long: cheap for the fleet, true for the caller.
    if (wait > question.patience || question.need > one.bucket.capacity()) {
        m_verdicts.push_back({ question.ticket, question.organisation, 0, wait });
        return;
    }
    if (one.waiting.empty()) {
        one.waitingSince = now;
        one.passedBy = 0;
    }
    one.waitingTokens += question.need;
    auto deadline = now + question.patience;
    one.waiting.push_back({ std::move(question), deadline });
    serve(one, now);
    if (!one.waiting.empty())
        m_withWaiting.insert(found->first);
}

std::uint64_t rate_limiter::keptBy(const account& one, std::uint64_t need, time_point now)
{
    const auto& bucket = one.bucket;
    bool smallOnesCome = one.smallSeenAt != time_point {} && now - one.smallSeenAt < smallExpected;
    if (!smallOnesCome || isSmall(bucket, need) || need > bucket.capacity())
        return 0;
    return std::min(bucket.capacity() / keptPart, bucket.capacity() - need);
}

bool rate_limiter::takeAsSmall(account& one, const grant_request& question, time_point now)
{
    if (one.waiting.empty() || !isSmall(one.bucket, question.need))
        return false;
    auto waited = std::chrono::duration<double>(now - one.waitingSince).count();
    auto kept = one.bucket.capacity() / keptPart;
    auto allowed = passingShare * static_cast<double>(one.bucket.rate()) * waited + static_cast<double>(kept);
    if (static_cast<double>(one.passedBy + question.need) > allowed || !one.bucket.tryConsume(question.need, now))
        return false;
    one.passedBy += question.need;
    return true;
}

std::uint64_t rate_limiter::aheadOf(account& one, const grant_request& question, time_point now)
{
    if (one.waiting.size() > 1)
        return 0;
    auto spare = static_cast<std::uint64_t>(std::max(0.0, one.bucket.level(now) * aheadShare));
    auto ahead = std::min(question.ahead, spare);
    return ahead > 0 && one.bucket.tryConsume(ahead, now) ? ahead : 0;
}

void rate_limiter::serve(account& one, time_point now)
{
    while (!one.waiting.empty()) {
        auto& first = one.waiting.front();
        if (first.deadline < now) {
            m_verdicts.push_back({ first.question.ticket, first.question.organisation, 0, one.bucket.waitFor(one.waitingTokens, now) });
        } else {
            auto need = first.question.need;
            bool enough = one.bucket.level(now) >= static_cast<double>(need + keptBy(one, need, now));
            if (!enough || !one.bucket.tryConsume(need, now))
                return;
            auto ahead = aheadOf(one, first.question, now);
            m_verdicts.push_back({ first.question.ticket, first.question.organisation, first.question.need + ahead, milliseconds(0) });
        }
        one.waitingTokens -= first.question.need;
        one.waiting.pop_front();
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
    for (auto it = m_withWaiting.begin(); it != m_withWaiting.end();) {
        auto& one = m_accounts.at(*it);
        serve(one, now);
        it = one.waiting.empty() ? m_withWaiting.erase(it) : std::next(it);
    }
    return std::exchange(m_verdicts, {});
}

} // namespace pistachiolatch
