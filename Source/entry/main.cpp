#include "entry/caller_api.h"
#include "program/program.h"

#include <thread>

namespace pistachiolatch {

namespace {
    class entry_process : public server_process {
    public:
        entry_settings settings;

        result<void> start()
        {
            addCore("pistachiolatch-entry", settings.wire, settings.threads);
            auto& loop = registry.find<control_loop>(loopService);
            m_node = std::make_unique<entry_node>(loop, settings.wire, clock, counters, settings.limitTimeout);
            loop.onMessage([this](const wire::envelope& message) { m_node->handleMessage(message); });
            loop.onTick([this] { m_node->tick(); });
            m_context = std::make_unique<entry_context>(loop, *m_node, counters, clock, settings);
            m_api = std::make_unique<caller_api>(*m_context);
            addServers();
            return registry.startAll();
        }

        void stop()
        {
            // Becomes unready first, so that the load balancer sends no more requests. Active requests then complete, and the
            // lease is released last.
            m_context->draining = true;
            m_callers->stopAccepting();
            waitUntilIdle();
            runFinalTask([this] { m_node->leave(); });
            registry.stopAll();
        }

    private:
        void addServers()
        {
            auto& threads = registry.find<traffic_threads>(trafficService);
            auto refuse = [this](reason cause) { return m_api->makeRefusal(cause); };
            m_callers = std::make_unique<http_server>(
                threads, settings.callerLimits, [this](http_exchange& exchange) { return m_api->handleCallerRequest(exchange); }, refuse, &buffers);
            m_endpoints = std::make_unique<http_server>(
                threads, http_limits {}, [this](http_exchange& exchange) { return m_api->handleEndpointRequest(exchange); }, refuse, &buffers);
            m_callers->setMetrics(counters);
            m_endpoints->setMetrics(counters);
            addListener("callers", *m_callers, settings.callersListen, false);
            addListener("endpoints", *m_endpoints, settings.endpointsListen, true);
            addAdmin(settings.adminListen, { [this] { return notReadyReason(); }, [this] { updateGauges(); } });
        }

        std::string notReadyReason() const
        {
            if (m_context->draining)
                return "shutting down";
            return m_node->ready() ? "" : "no lease from control";
        }

        void updateGauges()
        {
            counters.gauge("active_requests", m_callers->activeRequests());
            counters.gauge("connections", m_callers->connections());
            counters.gauge("background_work", m_context->backgroundTasks);
            counters.gauge("revision", static_cast<double>(m_node->config()->revision()));
        }

        void waitUntilIdle()
        {
            constexpr milliseconds pollInterval { 20 };
            auto deadline = clock.now() + settings.drainTimeout;
            // Idle connections close by themselves while draining; a request already in transit on one is answered first.
            while (clock.now() < deadline && (m_callers->connections() > 0 || m_context->backgroundTasks > 0))
                std::this_thread::sleep_for(pollInterval);
            logEvent("drained", { { "left", m_callers->activeRequests() } });
        }

        std::unique_ptr<entry_node> m_node;
        std::unique_ptr<entry_context> m_context;
        std::unique_ptr<caller_api> m_api;
        std::unique_ptr<http_server> m_callers;
        std::unique_ptr<http_server> m_endpoints;
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
