#pragma once
#include "wire/generated/pistachiolatch.pb.h"
#include <cstdint>

namespace pistachiolatch {

/// How the endpoints of an update relate to the directory that an entry holds.
enum class directory_step {
    /// The update contains no directory.
    None,
    /// They are the first part of another process's directory, which replaces the one that is held.
    Begins,
    /// They follow what is held.
    Continues,
    /// Changes before them are missing, so that they must not be taken up.
    Gap,
};

/// Decides which updates of leaders an entry takes up, by their terms and by what it holds. Load pattern: a leader that was cut off for
/// a moment answers late, when the entry follows another one already; or a change that a new leader pushes overtakes its answer with the
/// whole directory. An entry that takes either up believes that it holds what it was never sent. Leaders of earlier versions state no term,
/// and all their updates are taken up. Pure; not thread-safe.
class leader_updates {
public:
    /// Whether the update is none of an earlier term than any before. Remembers the term.
    bool admit(const wire::entry_update& update);
    /// Tells what to do with the update's endpoints, and remembers up to where the directory is held then. Precondition: the update was
    /// admitted.
    directory_step takeDirectory(const wire::entry_update& update);
    /// Remembers which blocks are held. Precondition: the update was admitted and contains blocks.
    void takeBlocks(const wire::entry_update& update);
    /// Tells a leader what is held.
    void fillHeld(wire::entry_sync& sync) const;
    /// Asks for what follows the directory that is held.
    wire::directory_ask nextRequest() const;
    std::uint64_t term() const { return m_term; }

private:
    std::uint64_t m_term = 0;
    std::uint64_t m_directorySource = 0;
    std::uint64_t m_directoryVersion = 0;
    std::uint64_t m_blocksSource = 0;
    std::uint64_t m_blocksVersion = 0;
};

} // namespace pistachiolatch
