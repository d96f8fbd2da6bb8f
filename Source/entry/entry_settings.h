#pragma once
#include "endpoints/endpoints.h"
#include "http/http.h"
#include "wire/wire.h"

namespace pistachiolatch {

struct entry_settings {
    wire_settings wire;
    std::string adminListen;
    std::string callersListen;
    http_limits callerLimits;
    unsigned threads = 2;
    std::string endpointsListen;
    endpoint_timeouts timeouts;
    /// How long a request waits for tokens of its organisation's rate limit before it is refused.
    milliseconds limitTimeout { 1500 };
    /// How long a shutdown waits for active requests.
    milliseconds drainTimeout { 600000 };
};

/// Reads all settings of an entry. Errors: every problem found, one per line.
result<void> readEntrySettings(settings_reader& reader, entry_settings& settings);

} // namespace pistachiolatch
