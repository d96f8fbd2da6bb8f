#include "kernel/process_limits.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace pistachiolatch {

namespace {
    constexpr std::size_t bytesPerMegabyte = 1024UL * 1024;
    constexpr std::size_t defaultDescriptors = 1024;
    constexpr int maxHeapBlockBytes = 128 * 1024;
}

process_limits completeLimits(process_limits stated)
{
    if (stated.memoryMb == 0)
        stated.memoryMb = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / bytesPerMegabyte;
    rlimit limit {};
    auto allowed = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur) : defaultDescriptors;
    stated.descriptors = stated.descriptors == 0 ? allowed : std::min(stated.descriptors, allowed);
    return stated;
}

void limitRetainedMemory()
{
    ::mallopt(M_MMAP_THRESHOLD, maxHeapBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, maxHeapBlockBytes);
}

} // namespace pistachiolatch
