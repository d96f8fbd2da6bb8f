#pragma once
#include <cstdint>
#include <string>

namespace pistachiolatch {

/// Identity of a process. A restarted process keeps its name and gets a new incarnation, so that delayed messages
/// from before the restart can be recognised.
struct process_identity {
    std::string name;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
};

/// Generates a unique, non-zero incarnation. Thread safety: any thread.
std::uint64_t generateIncarnation();

} // namespace pistachiolatch
