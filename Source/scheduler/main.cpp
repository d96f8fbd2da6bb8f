#include "program/program.h"
#include "scheduler/scheduler_node.h"

#include <boost/asio/co_spawn.hpp>
#include <thread>

namespace pistachiolatch {

namespace {
    struct scheduler_settings {
        wire_settings wire;
        std::string adminListen;
        pool_settings pools;
    };

    result<void> readSettings(settings_reader& reader, scheduler_settings& settings)
    {
        settings.wire = readWireSettings(reader);
        settings.adminListen = reader.address("admin.listen");
        settings.pools.policy = reader.text("scheduling.policy", settings.pools.policy);
        settings.pools.breaker = reader.flag("scheduling.breaker", settings.pools.breaker);
        settings.pools.fair = reader.flag("scheduling.fair", settings.pools.fair);
        settings.pools.admission = reader.flag("scheduling.admission", settings.pools.admission);
        settings.pools.lateYields = reader.flag("scheduling.late_yields", settings.pools.lateYields);
        constexpr std::int64_t wholeShare = 100;
        settings.pools.lateShare = static_cast<std::uint32_t>(reader.integer("scheduling.late_share_percent", settings.pools.lateShare, 0, wholeShare));
        if (!policyByName(settings.pools.policy))
            reader.reject("scheduling.policy", fmt::format("is \"{}\"; use reserve, round_robin or least_reported", settings.pools.policy));
        return reader.finish();
    }

    class scheduler_process {
    public:
        scheduler_settings settings;

        result<void> start()
        {
            setLogProcess("pistachiolatch-scheduler", settings.wire.vm);
            m_wire.emplace(settings.wire, freshIncarnation(), m_metrics);
            m_loop.emplace(*m_wire, m_clock);
            m_node = std::make_unique<scheduler_node>(scheduler_node::parts { *m_loop, m_clock, m_metrics, m_threads, settings.wire, settings.pools });
            m_loop->onMessage([this](const wire::envelope& message) { m_node->onMessage(message); });
            m_loop->onTick([this] { m_node->tick(); });
            m_admin = std::make_unique<admin_server>(m_threads, m_metrics, admin_hooks { [this] { return std::string(m_node->ready() ? "" : "no lease from control"); }, {} });
            m_registry.add("wire", *m_wire, { {}, [this] { return m_wire->open(); }, {} });
            m_registry.add("control_loop", *m_loop, { { "wire" }, [this] { m_loop->start(); return ok(); }, [this] { m_loop->stop(); } });
            m_registry.add("traffic", m_threads, { { "control_loop" }, [this] { m_threads.start(); return ok(); }, [this] { m_threads.stop(); } });
            m_registry.add("admin", *m_admin, { { "traffic" }, [this] { return m_admin->listen(settings.adminListen); }, [this] { m_admin->stop(); } });
            return m_registry.startAll();
        }

        void stop()
        {
            m_loop->post([this] { m_node->leave(); });
            // ZeroMQ sends in the background; the message that releases the shards gets a moment to leave.
            std::this_thread::sleep_for(milliseconds(100));
            m_registry.stopAll();
        }

    private:
        steady_clock_source m_clock;
        metrics m_metrics;
        service_registry m_registry;
        std::optional<transport> m_wire;
        std::optional<control_loop> m_loop;
        traffic_threads m_threads { 1 };
        std::unique_ptr<scheduler_node> m_node;
        std::unique_ptr<admin_server> m_admin;
    };
}

} // namespace pistachiolatch

int main(int argc, char** argv)
{
    using namespace pistachiolatch;
    scheduler_process process;
    return runProgram(argc, argv, PISTACHIOLATCH_VERSION,
        { "pistachiolatch-scheduler", "Decides for pools and limits of a pistachiolatch fleet.",
            [&](settings_reader& reader) { return readSettings(reader, process.settings); },
            [&] { return process.start(); }, [&] { process.stop(); }, {} });
}
