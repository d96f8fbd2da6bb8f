#include "scheduling/memory_projection.h"

#include <algorithm>

namespace pistachiolatch {

std::uint64_t peakMemory(std::vector<call_memory> users)
{
    // Memory only falls when a call ends, so it is highest just before one does.
    std::sort(users.begin(), users.end(), [](const call_memory& left, const call_memory& right) { return left.remaining < right.remaining; });
    std::uint64_t held = 0;
    for (const auto& user : users)
        held += user.held;
    std::uint64_t peak = 0;
    auto alive = users.size();
    for (const auto& user : users) {
        peak = std::max(peak, held + alive * user.remaining);
        held -= user.held;
        --alive;
    }
    return peak;
}

} // namespace pistachiolatch
