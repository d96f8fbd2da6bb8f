#include "http/connection_capacity.h"

#include "http/request_reader.h"
#include <algorithm>

namespace pistachiolatch {

namespace {
    constexpr std::size_t bytesPerMegabyte = 1024UL * 1024;
    /// Each call needs a connection to an endpoint too.
    constexpr double callerDescriptorShare = 0.42;
    /// What the platform keeps for files.
    constexpr std::size_t fileDescriptors = 200;
    constexpr double relaySessionShare = 0.05;
    /// What connections may have received without being read, which the buffer budget doesn't account for.
    constexpr double unreadMemoryShare = 0.25;
    /// The same on connections that wait to be accepted, at each address.
    constexpr double waitingMemoryShare = 0.125;
    /// What the operating system receives by default on a connection that is not read.
    constexpr std::size_t waitingConnectionBytes = 128UL * 1024;
    constexpr std::size_t fewestWaitingConnections = 16;
    /// The operating system allows no more by default.
    constexpr std::size_t mostWaitingConnections = 4096;
    /// An entry carries far fewer calls of its own.
    constexpr std::size_t mostRelaySessions = 512;

    std::size_t shareOf(std::size_t whole, double share)
    {
        return static_cast<std::size_t>(static_cast<double>(whole) * share);
    }

    /// The descriptors for connections: all but those for files, or half of very few.
    std::size_t connectionDescriptors(const process_limits& limits)
    {
        return std::max(limits.descriptors - std::min(limits.descriptors, fileDescriptors), limits.descriptors / 2);
    }
}

std::size_t maxCallerConnections(const process_limits& limits)
{
    auto byMemory = shareOf(limits.memoryMb * bytesPerMegabyte, unreadMemoryShare) / request_reader::maxUnreadBytes;
    return std::max<std::size_t>(1, std::min(byMemory, shareOf(connectionDescriptors(limits), callerDescriptorShare)));
}

int maxWaitingConnections(const process_limits& limits)
{
    auto byMemory = shareOf(limits.memoryMb * bytesPerMegabyte, waitingMemoryShare) / waitingConnectionBytes;
    return static_cast<int>(std::clamp(byMemory, fewestWaitingConnections, mostWaitingConnections));
}

std::size_t maxRelaySessions(const process_limits& limits)
{
    return std::max<std::size_t>(1, std::min(mostRelaySessions, shareOf(connectionDescriptors(limits), relaySessionShare)));
}

} // namespace pistachiolatch
