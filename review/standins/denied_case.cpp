// Case: two endpoints of a service crash, one some seconds after the other, while callers look up one item again and again.
#include "harness.h"
#include <atomic>

using namespace review;

namespace {
constexpr const char* key = "3d3zji9n73hh2b9wu3fe";
constexpr int runners = 7;
constexpr int callers = 3;
constexpr int downMs = 4500;

struct totals {
    int all = 0;
    int served = 0;
    int denied = 0;
};

/// Kills an endpoint while it runs a request; it is back after some seconds as another run.
void crash(fleet& system, int n, const record_file& record)
{
    auto until = nowMs() + 5000;
    while (nowMs() < until) {
        auto report = call(system.runnerAddress(n), "GET /-/report HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 500);
        if (report.status == 200 && report.body.find("\"running\":0,") == std::string::npos)
            break;
    }
    endProcess(system.runner(n));
    record.line("endpoint " + std::to_string(n) + " crashed");
}
}

int main(int argc, char** argv)
{
    if (argc < 3)
        return cannotRun;
    std::string recordPath = argv[2];
    const char* setting = std::getenv("TROUBLE");
    bool trouble = !setting || std::string(setting) != "0";
    ::unlink(recordPath.c_str());
    record_file record(recordPath);
    fleet system(argv[1], 5, 3);
    system.start();
    route status { "kit", "safe", "wuno96b", 2, false, 1000, 100 };
    if (system.putConfiguration(configuration("7", { status }, { "wuno96b" }, { key })).status != 200)
        return cannotRun;
    auto startRunner = [&](int n, const std::string& id) { system.startRunner(n, id, "wuno96b", recordPath, { "--work-ms", "110" }); };
    for (int n = 1; n <= runners; ++n)
        startRunner(n, "i-7f3a91c" + std::to_string(n));
    if (!system.awaitReady(20000))
        return cannotRun;
    sleepMs(3000);

    std::atomic<bool> stop { false };
    std::mutex mutex;
    totals counts;
    std::vector<std::thread> polling;
    for (int i = 0; i < callers; ++i) {
        polling.emplace_back([&, i] {
            for (int k = 0; !stop; ++k) {
                auto id = "req-" + std::to_string(i) + "-" + std::to_string(k);
                auto reply = call(system.entryAddress(1 + (i + k) % system.entries()), callerRequest("GET", "/kit/rover-12", id, key, 1000), 1500);
                {
                    std::lock_guard lock(mutex);
                    ++counts.all;
                    counts.served += reply.status == 200 ? 1 : 0;
                    // Only answers of the system's own: those of an endpoint bear its seal.
                    bool isDenied = reply.status >= 300 && reply.status < 500 && reply.status != 408 && reply.status != 421 && reply.status != 429 && reply.header("pistachiolatch-response-seal").empty();
                    counts.denied += isDenied ? 1 : 0;
                }
                record.line("client sent GET /kit/rover-12 as " + id + " and got " + std::to_string(reply.status) + " " + (reply.status == 200 ? "" : reply.body.substr(0, reply.body.find(','))));
                sleepMs(40);
            }
        });
    }
    sleepMs(4000);
    for (int n : { 1, 2 }) {
        if (trouble)
            crash(system, n, record);
        sleepMs(downMs);
        if (trouble)
            startRunner(n, "i-80b2e4d" + std::to_string(n));
        sleepMs(5000);
    }
    sleepMs(20000);
    stop = true;
    for (auto& one : polling)
        one.join();
    double allowed = 5 + counts.all / 500.0;
    char summary[200];
    std::snprintf(summary, sizeof summary, "%d requests, %d served, %d ended with a 3xx or 4xx of the system's own where %.1f are allowed", counts.all, counts.served, counts.denied, allowed);
    record.line(summary);
    std::printf("%s\n", summary);
    if (counts.denied > allowed)
        return broken;
    return counts.served > counts.all / 2 ? held : cannotRun;
}
