#pragma once
#include "routing/configuration.h"

namespace pistachiolatch {

/// Whether the configuration can be put in force. Errors: the first fault found, naming the route, service or
/// organisation and what to correct. Thread safety: any thread.
result<void> validateConfiguration(const configuration& candidate);

} // namespace pistachiolatch
