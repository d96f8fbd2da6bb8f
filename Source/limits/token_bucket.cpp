#include "limits/token_bucket.h"

#include "records/record_types.h"
#include <algorithm>
#include <cmath>

namespace pistachiolatch {

std::uint64_t token_bucket::computeCapacity(std::uint64_t rate, std::uint64_t burst)
{
    auto lateUseMargin = rate * static_cast<std::uint64_t>(limitGrantLifetime.count()) / 1000;
    return burst > lateUseMargin ? burst - lateUseMargin : 1;
}

token_bucket::token_bucket(std::uint64_t rate, std::uint64_t burst, time_point fillStart)
    : m_rate(rate)
    , m_capacity(computeCapacity(rate, burst))
    , m_lastRefill(fillStart)
{
}

void token_bucket::configure(std::uint64_t rate, std::uint64_t burst, time_point now)
{
    refill(now);
    m_rate = rate;
    m_capacity = computeCapacity(rate, burst);
    m_level = std::min(m_level, static_cast<double>(m_capacity));
}

void token_bucket::refill(time_point now)
{
    if (now <= m_lastRefill)
        return;
    auto seconds = std::chrono::duration<double>(now - m_lastRefill).count();
    m_level = std::min(static_cast<double>(m_capacity), m_level + seconds * static_cast<double>(m_rate));
    m_lastRefill = now;
}

bool token_bucket::tryConsume(std::uint64_t tokens, time_point now)
{
    refill(now);
    if (m_level < static_cast<double>(tokens))
        return false;
    m_level -= static_cast<double>(tokens);
    return true;
}

void token_bucket::refund(std::uint64_t tokens, time_point now)
{
    refill(now);
    m_level = std::min(static_cast<double>(m_capacity), m_level + static_cast<double>(tokens));
}

double token_bucket::level(time_point now)
{
    refill(now);
    return m_level;
}

milliseconds token_bucket::timeUntilAvailable(std::uint64_t tokens, time_point now)
{
    refill(now);
    auto missing = static_cast<double>(tokens) - m_level;
    auto untilFillStart = std::max(duration::zero(), m_lastRefill - now);
    auto wait = missing <= 0 ? 0.0 : std::ceil(missing * 1000.0 / static_cast<double>(m_rate));
    return milliseconds(static_cast<std::int64_t>(wait)) + std::chrono::ceil<milliseconds>(untilFillStart);
}

} // namespace pistachiolatch
