#include "forwarding/stall_policy.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Callers disconnect after a pause longer than the maximum of two seconds, four times the latency target and eight
    /// times the gap target.
    constexpr milliseconds minToleratedPause { 2000 };
    constexpr int toleratedLatencyTargets = 4;
    constexpr int toleratedGapTargets = 8;
    /// An engine without any output is considered unresponsive after this many gap targets. A healthy engine sends an
    /// event on some stream every 50 to 100 ms, so it would have sent many events by then.
    constexpr int unresponsiveGapTargets = 3;
    constexpr milliseconds minUnresponsiveTime { 700 };
    /// A stream is migrated away from a live engine after this fraction of the tolerated pause. Migration takes about
    /// 300 ms without errors and must be complete before the caller disconnects.
    constexpr int aliveTimeoutDivisor = 2;
}

milliseconds maxToleratedPause(milliseconds latencyTarget, milliseconds gapTarget)
{
    return std::max({ minToleratedPause, latencyTarget * toleratedLatencyTargets, gapTarget * toleratedGapTargets });
}

bool isEndpointAlive(const idle_stream& stream)
{
    return stream.endpointIdleTime + stream.gapTarget < stream.idleTime;
}

milliseconds stallTimeout(const idle_stream& stream)
{
    auto timeout = std::max(stream.gapTarget * unresponsiveGapTargets, minUnresponsiveTime);
    if (!isEndpointAlive(stream))
        return timeout;
    return std::max(timeout, maxToleratedPause(stream.latencyTarget, stream.gapTarget) / aliveTimeoutDivisor);
}

} // namespace pistachiolatch
