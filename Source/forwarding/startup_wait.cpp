#include "forwarding/startup_wait.h"

#include <algorithm>

namespace pistachiolatch {

milliseconds startup_wait::timeFor(std::optional<milliseconds> deadline, time_point now) const
{
    auto startupLeft = std::chrono::duration_cast<milliseconds>(m_startedAt + startupTime - now);
    if (startupLeft <= milliseconds(0) || m_waiting >= maxWaiting)
        return milliseconds(0);
    auto wait = std::min(startupLeft, maxWait);
    if (deadline)
        wait = std::min(wait, *deadline / deadlineDivisor);
    return std::max(wait, milliseconds(0));
}

} // namespace pistachiolatch
