#pragma once
#include <cstddef>

namespace pistachiolatch {

/// What a process may use.
struct process_limits {
    std::size_t memoryMb = 0;
    std::size_t descriptors = 0;
};

/// Completes limits that the settings don't state, which are 0, by those of the VM and the operating system.
/// Thread safety: any thread.
process_limits completeLimits(process_limits stated);

/// Has the allocator return large blocks to the system as soon as they are freed. By default it keeps more and more of them, and a
/// process goes on using the memory of its busiest moment. Precondition: called before other threads start.
void limitRetainedMemory();

} // namespace pistachiolatch
