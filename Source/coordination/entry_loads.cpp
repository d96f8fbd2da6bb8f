#include "coordination/entry_loads.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// The busiest endpoints are determined again after this many reports, which is about a tenth of a second with hundreds of
    /// entries.
    constexpr unsigned reportsPerUpdate = 64;
}

void entry_loads::replace(const std::string& entry, const loads& reported)
{
    remove(entry);
    ++m_reportsSinceUpdate;
    auto& own = m_entries[entry];
    for (const auto& one : reported) {
        // The row tells only how slow the endpoint is.
        if (one.requests() == 0 && one.tokens() == 0 && !own.count(one.id()))
            continue;
        // If an endpoint is listed twice, the last row counts, also in the sums.
        auto& mine = own[one.id()];
        subtract(one.id(), mine);
        mine = { one.requests(), one.tokens() };
        auto& sum = m_sums[one.id()];
        sum.requests += mine.requests;
        sum.tokens += mine.tokens;
    }
}

void entry_loads::remove(const std::string& entry)
{
    auto found = m_entries.find(entry);
    if (found == m_entries.end())
        return;
    for (const auto& [endpoint, part] : found->second)
        subtract(endpoint, part);
    m_entries.erase(found);
}

void entry_loads::clear()
{
    m_entries.clear();
    m_sums.clear();
    m_busiest.clear();
}

void entry_loads::subtract(const std::string& endpoint, const load& part)
{
    auto found = m_sums.find(endpoint);
    if (found == m_sums.end())
        return;
    found->second.requests -= part.requests;
    found->second.tokens -= part.tokens;
    if (found->second.requests == 0 && found->second.tokens == 0)
        m_sums.erase(found);
}

void entry_loads::updateBusiest()
{
    m_reportsSinceUpdate = 0;
    std::vector<const sum_map::value_type*> sums;
    sums.reserve(m_sums.size());
    for (const auto& sum : m_sums)
        sums.push_back(&sum);
    std::nth_element(sums.begin(), sums.begin() + maxRows, sums.end(), [](const auto* left, const auto* right) { return left->second.requests > right->second.requests; });
    m_busiest.clear();
    for (std::size_t i = 0; i < maxRows; ++i)
        m_busiest.push_back(sums[i]->first);
}

void entry_loads::addRow(const std::map<std::string, load>* own, const sum_map::value_type& sum, loads& others) const
{
    auto rest = sum.second;
    auto mine = own ? own->find(sum.first) : sum_map::const_iterator();
    if (own && mine != own->end()) {
        rest.requests -= mine->second.requests;
        rest.tokens -= mine->second.tokens;
    }
    if (rest.requests == 0 && rest.tokens == 0)
        return;
    auto& row = *others.Add();
    row.set_id(sum.first);
    row.set_requests(rest.requests);
    row.set_tokens(rest.tokens);
}

void entry_loads::fillOthers(const std::string& entry, loads& others)
{
    auto found = m_entries.find(entry);
    const auto* own = found == m_entries.end() ? nullptr : &found->second;
    if (m_sums.size() <= maxRows) {
        for (const auto& sum : m_sums)
            addRow(own, sum, others);
        return;
    }
    if (m_busiest.empty() || m_reportsSinceUpdate >= reportsPerUpdate)
        updateBusiest();
    for (const auto& endpoint : m_busiest) {
        auto sum = m_sums.find(endpoint);
        if (sum != m_sums.end())
            addRow(own, *sum, others);
    }
}

} // namespace pistachiolatch
