#pragma once
#include <cstdint>
#include <vector>

namespace pistachiolatch {

/// A running call as its engine's memory sees it.
struct call_memory {
    /// Tokens held now: the prompt and what was generated.
    std::uint64_t held = 0;
    /// Tokens that are still expected.
    std::uint64_t remaining = 0;
};

/// The most tokens that these calls will hold together at any time until all have ended, if each goes on at the same
/// speed. Far less than the sum of what each holds at its end, since some end while others still grow: counted by that
/// sum, engines stood half empty while calls were refused. Pure. Thread safety: any thread.
std::uint64_t peakMemory(std::vector<call_memory> users);

} // namespace pistachiolatch
