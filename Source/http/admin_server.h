#pragma once
#include "http/http_server.h"
#include <functional>

namespace pistachiolatch {

/// Functions that supply the state reported by the admin server.
struct admin_hooks {
    /// Returns why the process is not ready to receive traffic, or an empty string if it is ready.
    std::function<std::string()> notReadyReason;
    /// Updates gauges before /metrics is rendered. May be empty.
    std::function<void()> refreshGauges;
};

/// Serves /metrics, /healthz and /readyz.
class admin_server {
public:
    admin_server(traffic_threads& threads, metrics& counters, admin_hooks hooks);
    /// Errors: the address can't be bound.
    result<void> listen(const std::string& address) { return m_server.listen(address); }
    std::uint16_t port() const { return m_server.port(); }
    void stopAccepting() { m_server.stopAccepting(); }

private:
    task_of<void> handle(http_exchange& exchange);

    metrics& m_metrics;
    admin_hooks m_hooks;
    http_server m_server;
};

} // namespace pistachiolatch
