// Simulates model engines, plain services and the weight store; hosts many endpoints in one process.
#include "StandIn/stand_in_engine.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <toml++/toml.h>

namespace pistachiolatch::test {

namespace {
    endpoint_settings readSettings(const toml::table& table)
    {
        endpoint_settings settings;
        auto number = [&](const char* key, std::uint32_t& value) { value = static_cast<std::uint32_t>(table[key].value_or<std::int64_t>(value)); };
        auto readMilliseconds = [&](const char* key, milliseconds& value) { value = milliseconds(table[key].value_or<std::int64_t>(value.count())); };
        auto text = [&](const char* key, std::string& value) { value = table[key].value_or(value); };
        text("id", settings.id);
        text("listen", settings.listen);
        text("advertise", settings.advertise);
        text("role", settings.role);
        text("model", settings.model);
        text("version", settings.version);
        text("data_centre", settings.dataCentre);
        number("slots", settings.slots);
        number("memory_pieces", settings.memoryPieces);
        number("prefill_tokens_per_s", settings.prefillTokensPerSecond);
        number("step_us", settings.stepMicros);
        number("step_us_per_request", settings.stepMicrosPerRequest);
        number("link_mbps", settings.linkMbps);
        number("kv_bytes_per_token", settings.kvBytesPerToken);
        readMilliseconds("kv_expiry_ms", settings.kvExpiry);
        readMilliseconds("report_lag_ms", settings.reportLag);
        readMilliseconds("service_ms", settings.serviceTime);
        readMilliseconds("load_ms", settings.loadTime);
        readMilliseconds("restart_ms", settings.restartTime);
        settings.fencing = table["fencing"].value_or(settings.fencing);
        return settings;
    }
}

} // namespace pistachiolatch::test

int main(int argc, char** argv)
{
    using namespace pistachiolatch;
    using namespace pistachiolatch::test;
    CLI::App app("Simulates model engines and plain services.", "stand-in");
    std::string path;
    app.add_option("--settings", path, "TOML file")->required();
    CLI11_PARSE(app, argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    auto table = toml::parse_file(path);
    std::vector<std::string> entryAddresses;
    for (const auto& item : *table["announce"].as_array())
        entryAddresses.push_back(item.value_or(std::string()));
    traffic_threads threads(1);
    shared_state shared;
    std::vector<std::unique_ptr<stand_in_engine>> engines;
    for (const auto& item : *table["endpoint"].as_array()) {
        engines.push_back(std::make_unique<stand_in_engine>(threads, readSettings(*item.as_table()), shared, entryAddresses));
        auto started = engines.back()->start();
        if (!started) {
            fmt::print(stderr, "{}\n", started.error().message);
            return 2;
        }
    }
    threads.start();
    int signal = 0;
    sigwait(&signals, &signal);
    threads.stop();
    return 0;
}
