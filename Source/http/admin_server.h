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

/// Limits of servers whose callers ask short questions: no bodies, and few connections.
http_limits questionLimits();
/// What such servers of a process may hold, in bytes. They have a budget of their own, so that they answer while others fill theirs.
constexpr std::size_t questionBufferBytes = 4UL * 1024 * 1024;

/// Serves /metrics, /healthz and /readyz.
class admin_server {
public:
    /// Precondition: the references, and the budget if there is one, outlive the server and the threads.
    admin_server(traffic_threads& threads, metrics& counters, admin_hooks hooks, buffer_budget* budget = nullptr);
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
