#include "coordination/entry_loads.h"

namespace pistachiolatch {

void entry_loads::replace(const std::string& entry, const loads& reported)
{
    remove(entry);
    auto& own = m_entries[entry];
    for (const auto& one : reported) {
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

void entry_loads::fillOthers(const std::string& entry, loads& others) const
{
    auto own = m_entries.find(entry);
    for (const auto& [endpoint, sum] : m_sums) {
        auto rest = sum;
        if (own != m_entries.end()) {
            auto mine = own->second.find(endpoint);
            if (mine != own->second.end()) {
                rest.requests -= mine->second.requests;
                rest.tokens -= mine->second.tokens;
            }
        }
        if (rest.requests == 0 && rest.tokens == 0)
            continue;
        auto& one = *others.Add();
        one.set_id(endpoint);
        one.set_requests(rest.requests);
        one.set_tokens(rest.tokens);
    }
}

} // namespace pistachiolatch
