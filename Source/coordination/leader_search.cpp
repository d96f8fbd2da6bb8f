#include "coordination/leader_search.h"

#include <algorithm>
#include <utility>

namespace pistachiolatch {

void leader_search::addControls(const std::vector<std::string>& addresses)
{
    m_controls.insert(addresses.begin(), addresses.end());
}

void leader_search::restart()
{
    m_asked.clear();
    m_named.clear();
}

bool leader_search::onNotLeader(const std::string& asked, const std::string& named)
{
    m_asked.insert(asked);
    m_named = m_asked.count(named) ? std::string() : named;
    return !m_named.empty();
}

std::string leader_search::next()
{
    if (!m_named.empty()) {
        m_asked.insert(m_named);
        return std::exchange(m_named, {});
    }
    if (m_controls.empty())
        return {};
    auto isAsked = [this](const std::string& address) { return m_asked.count(address) > 0; };
    if (std::all_of(m_controls.begin(), m_controls.end(), isAsked))
        m_asked.clear();
    // Named processes don't move this position, so that every round reaches all others.
    auto candidate = m_controls.upper_bound(m_last);
    while (candidate == m_controls.end() || isAsked(*candidate))
        candidate = candidate == m_controls.end() ? m_controls.begin() : std::next(candidate);
    m_last = *candidate;
    m_asked.insert(m_last);
    return m_last;
}

} // namespace pistachiolatch
