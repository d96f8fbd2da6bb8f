#include "scheduling/memory_projection.h"

#include <algorithm>

namespace pistachiolatch {

std::uint64_t peakMemory(std::vector<call_memory> calls)
{
    // Memory is freed only when a call ends, so a peak lies just before the end of a call.
    std::sort(calls.begin(), calls.end(), [](const call_memory& left, const call_memory& right) { return left.remaining < right.remaining; });
    std::uint64_t held = 0;
    for (const auto& call : calls)
        held += call.held;
    std::uint64_t peak = 0;
    auto active = calls.size();
    for (const auto& call : calls) {
        peak = std::max(peak, held + active * call.remaining);
        held -= call.held;
        --active;
    }
    return peak;
}

} // namespace pistachiolatch
