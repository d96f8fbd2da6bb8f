#include "entry/caller_api.h"
#include "program/program.h"

#include <thread>

namespace pistachiolatch {

namespace {
    class entry_process {
    public:
        entry_settings settings;

        result<void> start()
        {
            setLogProcess("pistachiolatch-entry", settings.wire.vm);
            m_wire.emplace(settings.wire, freshIncarnation(), m_metrics);
            m_loop.emplace(*m_wire, m_clock);
            m_node = std::make_unique<entry_node>(*m_loop, settings.wire, m_clock, m_metrics, settings.limitPatience);
            m_loop->onMessage([this](const wire::envelope& message) { m_node->onMessage(message); });
            m_loop->onTick([this] { m_node->tick(); });
            m_threads.emplace(settings.threads);
            m_context = std::make_unique<entry_context>(*m_loop, *m_node, m_metrics, m_clock, settings);
            m_api = std::make_unique<caller_api>(*m_context);
            makeServers();
            addServices();
            return m_registry.startAll();
        }

        void stop()
        {
            // Unready first, so that the balancer sends no more; then what is in hand is finished, then leases go back.
            m_context->draining = true;
            m_callers->stopAccepting();
            waitUntilIdle();
            m_loop->post([this] { m_node->leave(); });
            std::this_thread::sleep_for(milliseconds(100));
            m_registry.stopAll();
        }

    private:
        void makeServers()
        {
            m_callers = std::make_unique<http_server>(
                *m_threads, settings.callerLimits, [this](http_exchange& exchange) { return m_api->handle(exchange); }, [this](reason why) { return m_api->refuse(why); });
            m_endpoints = std::make_unique<http_server>(
                *m_threads, http_limits {}, [this](http_exchange& exchange) { return m_api->handleEndpoint(exchange); }, [this](reason why) { return m_api->refuse(why); });
            m_admin = std::make_unique<admin_server>(*m_threads, m_metrics, admin_hooks { [this] { return notReadyBecause(); }, [this] { refreshGauges(); } });
        }

        void addServices()
        {
            m_registry.add("wire", *m_wire, { {}, [this] { return m_wire->open(); }, {} });
            m_registry.add("control_loop", *m_loop, { { "wire" }, [this] { m_loop->start(); return ok(); }, [this] { m_loop->stop(); } });
            m_registry.add("traffic", *m_threads, { { "control_loop" }, [this] { m_threads->start(); return ok(); }, [this] { m_threads->stop(); } });
            m_registry.add("callers", *m_callers, { { "traffic" }, [this] { return m_callers->listen(settings.callersListen); }, {} });
            m_registry.add("endpoints", *m_endpoints, { { "traffic" }, [this] { return m_endpoints->listen(settings.endpointsListen); }, [this] { m_endpoints->stopAccepting(); } });
            m_registry.add("admin", *m_admin, { { "traffic" }, [this] { return m_admin->listen(settings.adminListen); }, [this] { m_admin->stop(); } });
        }

        std::string notReadyBecause() const
        {
            if (m_context->draining)
                return "shutting down";
            return m_node->ready() ? "" : "no lease from control";
        }

        void refreshGauges()
        {
            m_metrics.gauge("active_requests", m_callers->activeRequests());
            m_metrics.gauge("connections", m_callers->connections());
            m_metrics.gauge("background_work", m_context->background);
            m_metrics.gauge("revision", static_cast<double>(m_node->config()->revision()));
        }

        void waitUntilIdle()
        {
            constexpr milliseconds pollInterval { 20 };
            auto deadline = m_clock.now() + settings.drainTimeout;
            // Idle connections end by themselves once draining; a request already on its way on one is answered first.
            while (m_clock.now() < deadline && (m_callers->connections() > 0 || m_context->background > 0))
                std::this_thread::sleep_for(pollInterval);
            logEvent("drained", { { "left", m_callers->activeRequests() } });
        }

        steady_clock_source m_clock;
        metrics m_metrics;
        service_registry m_registry;
        std::optional<transport> m_wire;
        std::optional<control_loop> m_loop;
        std::optional<traffic_threads> m_threads;
        std::unique_ptr<entry_node> m_node;
        std::unique_ptr<entry_context> m_context;
        std::unique_ptr<caller_api> m_api;
        std::unique_ptr<http_server> m_callers;
        std::unique_ptr<http_server> m_endpoints;
        std::unique_ptr<admin_server> m_admin;
    };
}

} // namespace pistachiolatch

int main(int argc, char** argv)
{
    using namespace pistachiolatch;
    entry_process process;
    return runProgram(argc, argv, PISTACHIOLATCH_VERSION,
        { "pistachiolatch-entry", "Takes callers' requests and runs them on endpoints.",
            [&](settings_reader& reader) { return readEntrySettings(reader, process.settings); },
            [&] { return process.start(); }, [&] { process.stop(); }, {} });
}
