#include "consensus/memory_log.h"

#include <cstdlib>

namespace pistachiolatch {

memory_log::memory_log(std::uint64_t snapshotIndex, std::uint64_t snapshotTerm, std::vector<wire::log_entry> entries)
    : m_baseIndex(snapshotIndex)
    , m_baseTerm(snapshotTerm)
    , m_entries(std::move(entries))
{
}

std::uint64_t memory_log::lastTerm() const
{
    return m_entries.empty() ? m_baseTerm : m_entries.back().term();
}

std::uint64_t memory_log::termAt(std::uint64_t index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < firstIndex() || index > lastIndex())
        return 0;
    return at(index).term();
}

const wire::log_entry& memory_log::at(std::uint64_t index) const
{
    return m_entries[index - firstIndex()];
}

void memory_log::append(wire::log_entry entry)
{
    // A gap would shift the index of every later entry, so a broken precondition ends the process.
    if (entry.index() != lastIndex() + 1)
        std::abort();
    m_entries.push_back(std::move(entry));
}

void memory_log::truncateFrom(std::uint64_t index)
{
    if (index <= lastIndex() && index >= firstIndex())
        m_entries.resize(index - firstIndex());
}

void memory_log::compactTo(std::uint64_t index)
{
    if (index <= m_baseIndex || index > lastIndex())
        return;
    auto term = termAt(index);
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_baseIndex));
    m_baseIndex = index;
    m_baseTerm = term;
}

void memory_log::reset(std::uint64_t index, std::uint64_t term)
{
    m_entries.clear();
    m_baseIndex = index;
    m_baseTerm = term;
}

} // namespace pistachiolatch
