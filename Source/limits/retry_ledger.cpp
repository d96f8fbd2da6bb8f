#include "limits/retry_ledger.h"

namespace pistachiolatch {

namespace {
    /// Limits the memory. Entries ask only for services of their configurations, which are far fewer.
    constexpr std::size_t maxServices = 10000;
}

void retry_ledger::reset(bool mayHavePredecessor, time_point now)
{
    m_granted.clear();
    m_closedUntil = mayHavePredecessor ? now + m_tolerance.countedFor() : time_point {};
}

bool retry_ledger::tryGrant(const std::string& service, retry_need need, time_point now)
{
    if (now < m_closedUntil)
        return false;
    if (!m_granted.count(service) && m_granted.size() >= maxServices)
        return false;
    auto& granted = m_granted[service];
    if (static_cast<double>(granted.count(m_tolerance.countedFor(), now) + 1) > m_tolerance.leaderGrants() * retry_tolerance::spendableShare(need))
        return false;
    granted.add(now);
    return true;
}

} // namespace pistachiolatch
