#pragma once
#include "wire/generated/pistachiolatch.pb.h"
#include <cstdint>
#include <vector>

namespace pistachiolatch {

/// Holds the replicated log after the last snapshot in memory. Not thread-safe.
class memory_log {
public:
    /// Precondition: the entries follow the snapshot without a gap.
    memory_log(std::uint64_t snapshotIndex, std::uint64_t snapshotTerm, std::vector<wire::log_entry> entries);

    std::uint64_t firstIndex() const { return m_baseIndex + 1; }
    std::uint64_t lastIndex() const { return m_baseIndex + m_entries.size(); }
    std::uint64_t lastTerm() const;
    std::uint64_t baseIndex() const { return m_baseIndex; }
    std::uint64_t baseTerm() const { return m_baseTerm; }
    /// The term of the entry at the index, or 0 if the log does not contain it.
    std::uint64_t termAt(std::uint64_t index) const;
    /// Precondition: firstIndex() <= index <= lastIndex().
    const wire::log_entry& at(std::uint64_t index) const;
    /// Precondition: the entry's index is lastIndex() + 1.
    void append(wire::log_entry entry);
    /// Removes the entry at the index and all entries after it.
    void truncateFrom(std::uint64_t index);
    /// Removes the entries up to and including the index, which a snapshot covers.
    void compactTo(std::uint64_t index);
    /// Removes all entries; the log then starts after a snapshot at the index.
    void reset(std::uint64_t index, std::uint64_t term);

private:
    std::uint64_t m_baseIndex;
    std::uint64_t m_baseTerm;
    std::vector<wire::log_entry> m_entries;
};

} // namespace pistachiolatch
