#pragma once
#include "kernel/kernel.h"

namespace pistachiolatch {

/// How many connections of callers a process may have, so that enough descriptors are left for endpoints, peers and files, and
/// enough memory for what the connections carry. Thread safety: any thread.
std::size_t maxCallerConnections(const process_limits& limits);

/// How many connections may wait to be accepted at one address, because of what each may have received. Thread safety: any thread.
int maxWaitingConnections(const process_limits& limits);

/// How many connections a process may relay for others, each with two descriptors. Thread safety: any thread.
std::size_t maxRelaySessions(const process_limits& limits);

} // namespace pistachiolatch
