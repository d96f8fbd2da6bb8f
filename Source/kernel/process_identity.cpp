#include "kernel/process_identity.h"

#include <chrono>
#include <random>

namespace pistachiolatch {

std::uint64_t generateIncarnation()
{
    // Wall-clock milliseconds order the incarnations of a VM; random low bits distinguish two within one millisecond.
    constexpr unsigned randomBits = 20;
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    std::random_device entropy;
    auto low = entropy() & ((1U << randomBits) - 1);
    return (static_cast<std::uint64_t>(millis) << randomBits) | low;
}

} // namespace pistachiolatch
