#include "limits/entry_retry_share.h"

#include <algorithm>
#include <numeric>

namespace pistachiolatch {

void entry_retry_share::bucketed_count::advance(std::int64_t bucket)
{
    auto size = static_cast<std::int64_t>(m_counts.size());
    auto steps = std::min(bucket - m_newest, size);
    for (std::int64_t i = 1; i <= steps; ++i)
        m_counts[static_cast<std::size_t>((bucket - steps + i) % size)] = 0;
    m_newest = std::max(m_newest, bucket);
}

void entry_retry_share::bucketed_count::add(std::int64_t bucket)
{
    advance(bucket);
    ++m_counts[static_cast<std::size_t>(m_newest) % m_counts.size()];
}

unsigned entry_retry_share::bucketed_count::sum(std::int64_t bucket)
{
    advance(bucket);
    return std::accumulate(m_counts.begin(), m_counts.end(), 0U);
}

void entry_retry_share::recordFirstAttempt(const std::string& service, time_point now)
{
    m_services[service].firstAttempts.add(bucketOf(now));
}

void entry_retry_share::recordEntryCount(unsigned entries, time_point now)
{
    while (!m_entryCounts.empty() && m_entryCounts.back().second <= entries)
        m_entryCounts.pop_back();
    m_entryCounts.emplace_back(now, entries);
}

unsigned entry_retry_share::largestEntryCount(time_point now)
{
    while (m_entryCounts.size() > 1 && now - m_entryCounts.front().first > m_tolerance.countedFor())
        m_entryCounts.pop_front();
    return m_entryCounts.empty() ? 1 : std::max(1U, m_entryCounts.front().second);
}

bool entry_retry_share::tryTakeEarned(const std::string& service, retry_need need, time_point now)
{
    auto& state = m_services[service];
    auto allowed = m_tolerance.earnedRatio() * retry_tolerance::spendableShare(need) * state.firstAttempts.sum(bucketOf(now));
    if (static_cast<double>(state.earned.count(m_tolerance.countedFor(), now) + 1) > allowed)
        return false;
    state.earned.add(now);
    return true;
}

bool entry_retry_share::tryTakeShare(const std::string& service, time_point now)
{
    if (m_entryCounts.empty() || now - m_startedAt < m_tolerance.countedFor())
        return false;
    auto& state = m_services[service];
    auto allowed = m_tolerance.entryShares() / largestEntryCount(now);
    if (static_cast<double>(state.share.count(m_tolerance.countedFor(), now) + 1) > allowed)
        return false;
    state.share.add(now);
    return true;
}

} // namespace pistachiolatch
