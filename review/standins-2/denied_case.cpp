// Proper reads during and after waves in which runners crash.
#include "harness.h"
#include <random>
#include <set>

using namespace review;

namespace {
constexpr int runners = 8;
constexpr int items = 100;
constexpr int clients = 40;
constexpr int workMs = 250;
constexpr int pauseMs = 150;
/// Two of eight runners are down at a time.
constexpr int waves = 14;
constexpr int waveMs = 4000;
constexpr int secondCrashMs = 200;
constexpr int downMs = 2000;
constexpr int afterMs = 25000;

int runRunner(char** arguments)
{
    std::string id = arguments[2];
    std::vector<std::string> controls;
    for (auto** control = arguments + 5; *control; ++control)
        controls.emplace_back(*control);
    std::string log = arguments[4];
    runner* self = nullptr;
    runner stand(id, arguments[3], "desk", controls, [&](connection& to, const message& request) {
        if (request.path.rfind("/check/", 0) != 0)
            return to.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        appendLine(log, "run " + request.header("Pistachiolatch-Request-Id") + " " + request.path + " at " + id);
        sleepFor(workMs);
        auto body = "stock of " + request.path;
        return to.send(self->responseHead(request, "200 OK", "Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
    });
    self = &stand;
    stand.run();
    return 0;
}
}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc > 4 && std::string(argv[1]) == "runner")
        return runRunner(argv);
    record_file record(argc > 1 ? argv[1] : "record.txt");
    deployment fleet(3, 2);
    auto runs = fleet.file("runs");
    int starts = 0;
    auto startRunner = [&](int n) {
        // Each start of a runner has a new id.
        std::vector<std::string> arguments { "runner", "i-" + std::to_string(n) + "-" + std::to_string(++starts), fleet.runnerAddress(n), runs };
        for (const auto& control : fleet.controlAddresses())
            arguments.push_back(control);
        fleet.startSelf("runner-" + std::to_string(n), arguments);
    };
    for (int n = 1; n <= runners; ++n)
        startRunner(n);
    if (!fleet.start(configurationJson(1, { routeJson("check", "/check/", "safe", 3000, 2) }, "\"key-1\"")) || !fleet.awaitReady())
        return notRunExit;
    sleepFor(2500);

    std::atomic<bool> stopped { false };
    std::atomic<long> requests { 0 };
    std::mutex mutex;
    std::map<int, long> statuses;
    std::map<std::string, std::map<int, long>> refusedItems;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            std::mt19937 random(static_cast<unsigned>(client));
            std::unique_ptr<connection> to;
            while (!stopped) {
                if (!to)
                    to = connection::open(fleet.entryAddress(1 + client % 2));
                auto number = ++requests;
                client_request request;
                request.path = "/check/item-" + std::to_string(random() % items);
                request.id = "q" + std::to_string(number);
                message response;
                if (to && to->send(request.encode()))
                    response = to->readResponse("GET", 4500);
                bool sealed = !response.header("Pistachiolatch-Response-Seal").empty();
                {
                    std::lock_guard lock(mutex);
                    ++statuses[response.status];
                    if (response.status >= 400 && response.status < 500 && response.status != 408 && response.status != 421 && response.status != 429 && !sealed)
                        ++refusedItems[request.path][response.status];
                }
                if (response.status != 200)
                    record.line(request.id + " GET " + request.path + " answered " + std::to_string(response.status) + " " + response.body.substr(0, 60));
                if (!response.complete || response.header("Connection") == "close")
                    to.reset();
                sleepFor(pauseMs);
            }
        });
    }
    sleepFor(3000);
    std::mt19937 random(static_cast<unsigned>(unixMs()));
    for (int wave = 0; wave < waves; ++wave) {
        auto first = 1 + static_cast<int>(random() % runners);
        auto second = 1 + (first - 1 + 1 + static_cast<int>(random() % (runners - 1))) % runners;
        auto waveEnd = clock_type::now() + milliseconds(waveMs);
        if (hasTrouble()) {
            fleet.killProcess("runner-" + std::to_string(first));
            record.line("runner " + std::to_string(first) + " crashes");
            sleepFor(secondCrashMs);
            fleet.killProcess("runner-" + std::to_string(second));
            record.line("runner " + std::to_string(second) + " crashes");
            sleepFor(downMs);
            startRunner(first);
            startRunner(second);
            record.line("runners " + std::to_string(first) + " and " + std::to_string(second) + " are back");
        }
        std::this_thread::sleep_until(waveEnd);
    }
    sleepFor(afterMs);
    stopped = true;
    for (auto& thread : threads)
        thread.join();

    long denied = 0;
    for (const auto& [path, counts] : refusedItems) {
        for (const auto& [status, count] : counts) {
            denied += count;
            record.line(path + ": " + std::to_string(count) + " proper reads ended with the router's own " + std::to_string(status));
        }
    }
    for (const auto& [status, count] : statuses)
        record.line("status " + std::to_string(status) + ": " + std::to_string(count) + " requests");
    long allowed = 5 + requests / 500;
    record.line("requests " + std::to_string(requests) + ", denied " + std::to_string(denied) + ", allowed " + std::to_string(allowed) + ", runs " + std::to_string(readLines(runs).size()));
    if (statuses[200] < requests / 2)
        return notRunExit;
    return denied > allowed ? brokenExit : heldExit;
}
