#pragma once
#include "endpoints/endpoints.h"
#include "http/http.h"
#include "wire/wire.h"

namespace pistachiolatch {

/// The settings of an entry.
struct entry_settings {
    wire_settings wire;
    std::string adminListen;
    std::string callersListen;
    http_limits callerLimits;
    unsigned threads = 2;
    std::string endpointsListen;
    endpoint_timeouts timeouts;
    /// How long a request waits for its organisation's tokens before it is refused.
    milliseconds limitPatience { 1500 };
    /// How long requests in hand may take to end at a shutdown.
    milliseconds drainTimeout { 600000 };
};

/// Reads all settings of an entry. Errors: every problem found, one a line.
result<void> readEntrySettings(settings_reader& reader, entry_settings& settings);

} // namespace pistachiolatch
