// The stand-in for model engines, plain services and the weight store: hosts many endpoints in one process.
#include "StandIn/stand_in_engine.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <toml++/toml.h>

namespace pistachiolatch::test {

namespace {
    engine_profile readProfile(const toml::table& table)
    {
        engine_profile profile;
        auto number = [&](const char* key, std::uint32_t& value) { value = static_cast<std::uint32_t>(table[key].value_or<std::int64_t>(value)); };
        auto millis = [&](const char* key, milliseconds& value) { value = milliseconds(table[key].value_or<std::int64_t>(value.count())); };
        auto text = [&](const char* key, std::string& value) { value = table[key].value_or(value); };
        text("id", profile.id);
        text("listen", profile.listen);
        text("advertise", profile.advertise);
        text("role", profile.role);
        text("model", profile.model);
        text("version", profile.version);
        text("data_centre", profile.dataCentre);
        number("slots", profile.slots);
        number("memory_pieces", profile.memoryPieces);
        number("prefill_tokens_per_s", profile.prefillTokensPerSecond);
        number("step_us", profile.stepMicros);
        number("step_us_per_request", profile.stepMicrosPerRequest);
        number("link_mbps", profile.linkMbps);
        number("kv_bytes_per_token", profile.kvBytesPerToken);
        millis("kv_expiry_ms", profile.kvExpiry);
        millis("report_lag_ms", profile.reportLag);
        millis("service_ms", profile.serviceTime);
        millis("load_ms", profile.loadTime);
        millis("restart_ms", profile.restartTime);
        profile.fencing = table["fencing"].value_or(profile.fencing);
        return profile;
    }
}

} // namespace pistachiolatch::test

int main(int argc, char** argv)
{
    using namespace pistachiolatch;
    using namespace pistachiolatch::test;
    CLI::App app("Stands in for model engines and plain services.", "stand-in");
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
    std::vector<std::string> announceTo;
    for (const auto& item : *table["announce"].as_array())
        announceTo.push_back(item.value_or(std::string()));
    traffic_threads threads(1);
    shared_world world;
    std::vector<std::unique_ptr<stand_in_engine>> engines;
    for (const auto& item : *table["endpoint"].as_array()) {
        engines.push_back(std::make_unique<stand_in_engine>(threads, readProfile(*item.as_table()), world, announceTo));
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
