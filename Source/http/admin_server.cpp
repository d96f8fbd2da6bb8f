#include "http/admin_server.h"

namespace pistachiolatch {

namespace {
    constexpr const char* plainText = "text/plain; charset=utf-8";

    http_error_response plainRefusal(reason why)
    {
        return { httpStatus(why), plainText, std::string(reasonAdvice(why)) + "\n", {} };
    }
}

admin_server::admin_server(traffic_threads& threads, metrics& counters, admin_hooks hooks)
    : m_metrics(counters)
    , m_hooks(std::move(hooks))
    , m_server(
          threads, {}, [this](http_exchange& exchange) { return handle(exchange); }, plainRefusal)
{
}

task_of<void> admin_server::handle(http_exchange& exchange)
{
    auto path = exchange.path();
    if (exchange.method() != "GET") {
        co_await exchange.respond(405, plainText, "Use GET.\n");
    } else if (path == "/metrics") {
        if (m_hooks.refresh)
            m_hooks.refresh();
        co_await exchange.respond(200, "text/plain; version=0.0.4", m_metrics.text());
    } else if (path == "/healthz") {
        co_await exchange.respond(200, plainText, "ok\n");
    } else if (path == "/readyz") {
        auto why = m_hooks.notReadyBecause();
        unsigned status = why.empty() ? 200 : 503;
        std::string body = why.empty() ? "ready\n" : why + "\n";
        co_await exchange.respond(status, plainText, body);
    } else {
        co_await exchange.respond(404, plainText, "Use /metrics, /healthz or /readyz.\n");
    }
}

} // namespace pistachiolatch
