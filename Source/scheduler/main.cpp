#include "program/program.h"
#include "scheduler/scheduler_node.h"

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
        settings.pools.deferLate = reader.flag("scheduling.late_yields", settings.pools.deferLate);
        constexpr std::int64_t maxPercent = 100;
        settings.pools.lateSharePercent = static_cast<std::uint32_t>(reader.integer("scheduling.late_share_percent", settings.pools.lateSharePercent, 0, maxPercent));
        if (!makePolicy(settings.pools.policy))
            reader.reject("scheduling.policy", fmt::format("is \"{}\"; use reserve, round_robin or least_reported", settings.pools.policy));
        return reader.finish();
    }

    class scheduler_process : public server_process {
    public:
        scheduler_settings settings;

        result<void> start()
        {
            addCore("pistachiolatch-scheduler", settings.wire, 1);
            auto& loop = registry.find<control_loop>(loopService);
            m_node = std::make_unique<scheduler_node>(scheduler_node::dependencies { loop, clock, counters, registry.find<traffic_threads>(trafficService), settings.wire, settings.pools });
            loop.onMessage([this](const wire::envelope& message) { m_node->onMessage(message); });
            loop.onTick([this] { m_node->tick(); });
            addAdmin(settings.adminListen, { [this] { return std::string(m_node->ready() ? "" : "no lease from control"); }, {} });
            return registry.startAll();
        }

        void stop()
        {
            runFinalTask([this] { m_node->leave(); });
            registry.stopAll();
        }

    private:
        std::unique_ptr<scheduler_node> m_node;
    };
}

} // namespace pistachiolatch

int main(int argc, char** argv)
{
    using namespace pistachiolatch;
    scheduler_process process;
    return runProgram(argc, argv, PISTACHIOLATCH_VERSION,
        { "pistachiolatch-scheduler", "Places requests on endpoints and enforces rate limits for a pistachiolatch fleet.",
            [&](settings_reader& reader) { return readSettings(reader, process.settings); },
            [&] { return process.start(); }, [&] { process.stop(); }, {} });
}
