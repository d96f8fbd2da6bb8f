#pragma once
#include "http/http_server.h"
#include <functional>

namespace pistachiolatch {

/// What the admin port tells of its process.
struct admin_hooks {
    /// Whether the process wants traffic now, and if not why.
    std::function<std::string()> notReadyBecause;
    /// Called before /metrics is rendered, to refresh gauges. May be empty.
    std::function<void()> refresh;
};

/// The admin port: /metrics, /healthz and /readyz.
class admin_server {
public:
    admin_server(traffic_threads& threads, metrics& counters, admin_hooks hooks);
    /// Errors: address in use, in words.
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
