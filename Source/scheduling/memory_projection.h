#pragma once
#include <cstdint>
#include <vector>

namespace pistachiolatch {

/// The memory of its engine that a running call uses, in tokens.
struct call_memory {
    /// Tokens held now: the prompt and the output so far.
    std::uint64_t held = 0;
    /// Tokens that the call is expected to generate yet.
    std::uint64_t remaining = 0;
};

/// Peak number of tokens that the calls hold together until all have completed, if all generate at the same speed. This
/// is far less than the sum of what each holds at its end, since some complete while others still grow; that sum would
/// refuse calls while engines are half empty. Pure. Thread safety: any thread.
std::uint64_t peakMemory(std::vector<call_memory> calls);

} // namespace pistachiolatch
