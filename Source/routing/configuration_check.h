#pragma once
#include "routing/configuration.h"

namespace pistachiolatch {

/// Validates a configuration before it is applied. Returns the first error found, which names the route, service or
/// organisation and the correction. Thread safety: any thread.
result<void> validateConfiguration(const configuration& candidate);

} // namespace pistachiolatch
