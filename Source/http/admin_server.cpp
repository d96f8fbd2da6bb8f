#include "http/admin_server.h"

namespace pistachiolatch {

namespace {
    constexpr const char* plainText = "text/plain; charset=utf-8";

    http_error_response plainErrorResponse(reason cause)
    {
        return { httpStatus(cause), plainText, std::string(reasonAdvice(cause)) + "\n", {} };
    }
}

http_limits questionLimits()
{
    constexpr unsigned maxConnections = 64;
    constexpr milliseconds readTimeout { 5000 };
    constexpr milliseconds writeTimeout { 10000 };
    constexpr milliseconds longestService { 1000 };
    /// Questions have no body.
    constexpr int receiveBufferBytes = 8 * 1024;
    http_limits limits;
    limits.bodyBytes = 0;
    limits.listening.receiveBufferBytes = receiveBufferBytes;
    limits.connections = maxConnections;
    limits.readTimeout = readTimeout;
    limits.writeTimeout = writeTimeout;
    limits.longestService = longestService;
    return limits;
}

admin_server::admin_server(traffic_threads& threads, metrics& counters, admin_hooks hooks, buffer_budget* budget)
    : m_metrics(counters)
    , m_hooks(std::move(hooks))
    , m_server(
          threads, questionLimits(), [this](http_exchange& exchange) { return handle(exchange); }, plainErrorResponse, budget)
{
    m_server.setMetrics(counters);
}

task_of<void> admin_server::handle(http_exchange& exchange)
{
    auto path = exchange.path();
    if (exchange.method() != "GET") {
        co_await exchange.respond(405, plainText, "Use GET.\n");
    } else if (path == "/metrics") {
        if (m_hooks.refreshGauges)
            m_hooks.refreshGauges();
        co_await exchange.respond(200, "text/plain; version=0.0.4", m_metrics.text());
    } else if (path == "/healthz") {
        co_await exchange.respond(200, plainText, "ok\n");
    } else if (path == "/readyz") {
        auto problem = m_hooks.notReadyReason();
        unsigned status = problem.empty() ? 200 : 503;
        std::string body = problem.empty() ? "ready\n" : problem + "\n";
        co_await exchange.respond(status, plainText, body);
    } else {
        co_await exchange.respond(404, plainText, "Use /metrics, /healthz or /readyz.\n");
    }
}

} // namespace pistachiolatch
