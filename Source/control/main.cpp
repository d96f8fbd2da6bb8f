#include "control/operator_api.h"
#include "program/program.h"

namespace pistachiolatch {

namespace {
    struct control_settings {
        wire_settings wire;
        std::string dataFolder;
        std::string operatorListen;
        std::string adminListen;
        std::vector<operator_credential> operators;
    };

    result<void> readSettings(settings_reader& reader, control_settings& settings)
    {
        settings.wire = readWireSettings(reader);
        settings.dataFolder = reader.text("control.data_folder", "");
        settings.operatorListen = reader.address("control.operator_listen");
        settings.adminListen = reader.address("admin.listen");
        for (auto& row : reader.tables("operator", { "name", "token_sha256" }))
            settings.operators.push_back({ row["name"], row["token_sha256"] });
        if (settings.operators.empty())
            reader.reject("operator", "no [[operator]] is given; add one with name and token_sha256 (make it with pistachiolatch operator-token)");
        return reader.finish();
    }

    /// A control process: a replica of the log and the operator API.
    class control_process : public server_process {
    public:
        control_settings settings;
        /// Creates a new log. A command-line flag and not a setting: left in a settings file, it would make a VM whose
        /// disk was replaced create a second log beside the first.
        bool bootstrap = false;

        result<void> start()
        {
            auto opened = openStorage(false);
            if (bootstrap && !opened)
                return opened.error();
            if (bootstrap && !isEmpty(opened.value().restored))
                return failure { fmt::format("{}: already holds a log; start without --bootstrap", settings.dataFolder) };
            addCore("pistachiolatch-control", settings.wire, 1);
            auto& loop = registry.find<control_loop>(loopService);
            m_node = std::make_unique<control_node>(control_node::dependencies { loop, clock, counters, settings.wire, std::move(opened), [this](bool afterFailure) { return openStorage(afterFailure); }, bootstrap });
            loop.onMessage([this](const wire::envelope& message) { m_node->onMessage(message); });
            loop.onTick([this] { m_node->tick(); });
            m_operators = std::make_unique<operator_api>(registry.find<traffic_threads>(trafficService), loop, *m_node, counters, settings.operators, buffers);
            addListener("operators", *m_operators, settings.operatorListen, true);
            addAdmin(settings.adminListen, { [this] { return std::string(m_stopping ? "shutting down" : ""); }, {} });
            return registry.startAll();
        }

        void stop()
        {
            m_stopping = true;
            registry.stopAll();
        }

    private:
        static bool isEmpty(const raft_persistent_state& restored) { return restored.entries.empty() && restored.snapshot.index() == 0; }

        result<opened_replica> openStorage(bool afterFailure) const
        {
            if (settings.dataFolder.empty()) {
                if (bootstrap)
                    return failure { "--bootstrap requires control.data_folder: the first replica of a log must be stored on disk" };
                // Without a disk nothing is left of an earlier run, so this is a new replica.
                return makeMemoryReplica(settings.wire);
            }
            file_log_store files;
            BOOST_OUTCOME_TRY(auto stored, afterFailure ? files.openAfterFailure(settings.dataFolder) : files.open(settings.dataFolder));
            wire::replica_id self;
            self.set_vm(settings.wire.vm);
            self.set_address(settings.wire.advertise);
            self.set_incarnation(stored.incarnation);
            if (stored.tornBytes > 0)
                logEvent("log_end_repaired", { { "bytes", stored.tornBytes } });
            return opened_replica { self, replica_store(std::move(files)), std::move(stored.restored) };
        }

        std::atomic<bool> m_stopping { false };
        std::unique_ptr<control_node> m_node;
        std::unique_ptr<operator_api> m_operators;
    };
}

} // namespace pistachiolatch

int main(int argc, char** argv)
{
    using namespace pistachiolatch;
    control_process process;
    return runProgram(argc, argv, PISTACHIOLATCH_VERSION,
        { "pistachiolatch-control", "Stores the records, keys, leases and at-most-once ledger of a pistachiolatch fleet.",
            [&](settings_reader& reader) { return readSettings(reader, process.settings); },
            [&] { return process.start(); }, [&] { process.stop(); },
            { { "--bootstrap", "create a new log on this VM; only once per fleet", &process.bootstrap } } });
}
