#include "entry/entry_settings.h"

namespace pistachiolatch {

result<void> readEntrySettings(settings_reader& reader, entry_settings& settings)
{
    settings.wire = readWireSettings(reader);
    settings.adminListen = reader.address("admin.listen");
    settings.callersListen = reader.address("callers.listen");
    auto& limits = settings.callerLimits;
    constexpr std::int64_t minHeaderBytes = 1024;
    constexpr std::int64_t maxHeaderBytes = 1024 * 1024;
    constexpr std::int64_t maxBodyBytes = 256LL * 1024 * 1024;
    constexpr std::int64_t maxConnections = 100000;
    constexpr std::int64_t maxThreads = 64;
    limits.headerBytes = static_cast<std::uint32_t>(reader.integer("callers.max_header_bytes", limits.headerBytes, minHeaderBytes, maxHeaderBytes));
    limits.bodyBytes = static_cast<std::uint64_t>(reader.integer("callers.max_body_bytes", static_cast<std::int64_t>(limits.bodyBytes), 1, maxBodyBytes));
    limits.connections = static_cast<unsigned>(reader.integer("callers.max_connections", limits.connections, 1, maxConnections));
    limits.idleTimeout = reader.millis("callers.idle_timeout_ms", limits.idleTimeout);
    limits.readTimeout = reader.millis("callers.read_timeout_ms", limits.readTimeout);
    limits.writeTimeout = reader.millis("callers.write_timeout_ms", limits.writeTimeout);
    settings.threads = static_cast<unsigned>(reader.integer("callers.threads", settings.threads, 1, maxThreads));
    settings.limitTimeout = reader.millis("callers.limit_patience_ms", settings.limitTimeout);
    settings.drainTimeout = reader.millis("callers.drain_timeout_ms", settings.drainTimeout);
    settings.endpointsListen = reader.address("endpoints.listen");
    auto& timeouts = settings.timeouts;
    timeouts.connect = reader.millis("endpoints.connect_timeout_ms", timeouts.connect);
    timeouts.prefill = reader.millis("endpoints.prefill_timeout_ms", timeouts.prefill);
    timeouts.transferProgress = reader.millis("endpoints.transfer_progress_timeout_ms", timeouts.transferProgress);
    timeouts.tokenProgress = reader.millis("endpoints.token_timeout_ms", timeouts.tokenProgress);
    timeouts.cancel = reader.millis("endpoints.cancel_timeout_ms", timeouts.cancel);
    return reader.finish();
}

} // namespace pistachiolatch
