#include "scheduling/poison_list.h"

#include "scheduling/crash_tracker.h"

namespace pistachiolatch {

poison_list::poison_list(const std::vector<wire::poison_mark>& marks)
{
    for (const auto& mark : marks) {
        if (static_cast<std::uint32_t>(mark.attempts_size()) >= crash_tracker::crashesToBlock)
            m_fingerprints.insert(mark.fingerprint());
    }
}

} // namespace pistachiolatch
