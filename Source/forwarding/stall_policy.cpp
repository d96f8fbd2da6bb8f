#include "forwarding/stall_policy.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Callers leave a stream after a pause of the longest of these: two seconds, four times the time to the first event
    /// that they are content with, eight times such a pause between events.
    constexpr milliseconds leastPauseBorne { 2000 };
    constexpr int pauseInTargets = 4;
    constexpr int pauseInGaps = 8;
    /// Pauses after which an engine that says nothing at all counts as dark. Sound ones send an event each 50 to 100 ms
    /// on some stream, so this is many events of each.
    constexpr int gapsUntilDark = 3;
    constexpr milliseconds leastUntilDark { 700 };
    /// The part of the pause that callers bear after which a stream leaves a live engine: going on elsewhere takes some
    /// 300 ms when all goes well, and must be done before they leave.
    constexpr int liveShare = 2;
}

milliseconds pauseCallersBear(milliseconds latencyTarget, milliseconds gapTarget)
{
    return std::max({ leastPauseBorne, latencyTarget * pauseInTargets, gapTarget * pauseInGaps });
}

bool endpointLives(const quiet_stream& stream)
{
    return stream.endpointQuiet + stream.gapTarget < stream.quiet;
}

milliseconds quietAllowed(const quiet_stream& stream)
{
    auto dark = std::max(stream.gapTarget * gapsUntilDark, leastUntilDark);
    if (!endpointLives(stream))
        return dark;
    return std::max(dark, pauseCallersBear(stream.latencyTarget, stream.gapTarget) / liveShare);
}

} // namespace pistachiolatch
