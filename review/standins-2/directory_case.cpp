// Requests at entries after the leader was cut off for less than a second.
#include "harness.h"

using namespace review;

namespace {
constexpr int controls = 5;
constexpr int entries = 6;
/// The leader is cut off once in a round. The first round that shows the fault is the last one.
constexpr int maxRounds = 3;
constexpr int stormGapMs = 310;
constexpr int operators = 8;
/// From the begin of the cut: when the leader's links to the other control processes are cut, and when all are joined.
constexpr int peersCutMs = 200;
constexpr int cutMs = 960;
/// The storm lasts 4 s; the cut begins in it.
constexpr int beforeStormMs = 3000;
constexpr int stormBeforeCutMs = 2000;
constexpr int stormMs = 4000;
constexpr int beforeNewRunnerMs = 10000;
constexpr int probesPerRoute = 40;

/// The link between entries and a control process. While it is cut, what the control process sends is held.
class link_proxy {
public:
    link_proxy(const std::string& listen, std::string to)
        : m_to(std::move(to))
        , m_listening(listenOn(listen))
    {
        std::thread([this] {
            while (true) {
                int accepted = ::accept4(m_listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted >= 0)
                    std::thread([this, accepted] { serve(accepted); }).detach();
            }
        }).detach();
    }
    bool isOpen() const { return m_listening >= 0; }
    void setCut(bool isCut) { m_isCut = isCut; }

private:
    void serve(int entry)
    {
        int control = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto to = toSocketAddress(m_to);
        int on = 1;
        ::setsockopt(entry, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ::setsockopt(control, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (::connect(control, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) {
            std::thread back([this, entry, control] { pump(control, entry, true); });
            pump(entry, control, false);
            back.join();
        }
        ::close(entry);
        ::close(control);
    }
    void pump(int from, int to, bool isHeld)
    {
        char bytes[16384];
        while (true) {
            auto count = ::recv(from, bytes, sizeof bytes, 0);
            while (isHeld && m_isCut)
                sleepFor(2);
            if (count <= 0 || !sendAll(to, std::string(bytes, static_cast<std::size_t>(count))))
                break;
        }
        ::shutdown(from, SHUT_RD);
        ::shutdown(to, SHUT_WR);
    }

    std::string m_to;
    int m_listening;
    std::atomic<bool> m_isCut { false };
};

int runRunner(char** arguments)
{
    std::string id = arguments[2];
    std::vector<std::string> controls;
    for (auto** control = arguments + 6; *control; ++control)
        controls.emplace_back(*control);
    std::string log = arguments[5];
    runner* self = nullptr;
    runner stand(id, arguments[3], arguments[4], controls, [&](connection& to, const message& request) {
        auto requestId = request.header("Pistachiolatch-Request-Id");
        appendLine(log, "run " + requestId + " " + request.path + " at " + id);
        auto body = "answer to " + requestId;
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
    if (argc > 6 && std::string(argv[1]) == "runner")
        return runRunner(argv);
    record_file record(argc > 1 ? argv[1] : "record.txt");
    deployment fleet(controls, entries);
    auto startRunner = [&](int n, const std::string& service) {
        std::vector<std::string> arguments { "runner", "i-" + std::to_string(n), fleet.runnerAddress(n), service, fleet.file("runs") };
        for (const auto& control : fleet.controlAddresses())
            arguments.push_back(control);
        fleet.startSelf("runner-" + std::to_string(n), arguments);
    };
    for (int n = 1; n <= 4; ++n)
        startRunner(n, "desk");
    for (int n = 5; n <= 6; ++n)
        startRunner(n, "yard");
    // The route to "yard" is added by the second version.
    const std::vector<std::string> services { "desk", "yard" };
    auto first = routeJson("first", "/first/", "safe", 1500, 2);
    auto later = routeJson("later", "/later/", "safe", 1500, 2, false, "yard");
    fleet.startControls();
    if (!fleet.submit(configurationJson(1, { first }, "\"key-1\"", services)) || !fleet.submit(configurationJson(2, { first, later }, "\"key-1\"", services)))
        return notRunExit;
    std::atomic<int> version { 2 };
    std::atomic<int> number { 0 };
    int runnerNumber = 6;
    int broken = 0;
    int firstServed = 0;
    std::vector<std::unique_ptr<link_proxy>> links;
    for (int round = 1; round <= maxRounds && broken == 0; ++round) {
        int leader = fleet.findLeader();
        if (leader == 0)
            return notRunExit;
        // Sorts before the addresses of the control processes, so that entries ask there first.
        auto proxyIp = ".0." + std::to_string(round);
        links.push_back(std::make_unique<link_proxy>(fleet.address(proxyIp + ":7500"), fleet.address(".1." + std::to_string(leader) + ":7500")));
        auto& link = *links.back();
        if (!link.isOpen())
            return notRunExit;
        for (int n = 1; n <= entries; ++n) {
            if (round > 1)
                fleet.killProcess("entry-" + std::to_string(n));
            fleet.startEntry(n, leader, fleet.address(proxyIp + ":8367"));
        }
        if (!fleet.awaitReady())
            return notRunExit;
        record.line("round " + std::to_string(round) + ": control process " + std::to_string(leader) + " leads");

        std::atomic<bool> stopped { false };
        auto call = [&](connection& to, const std::string& path) {
            client_request request;
            request.path = path;
            request.id = "q" + std::to_string(++number);
            request.deadlineMs = 1500;
            to.send(request.encode());
            return to.readResponse("GET", 2000);
        };
        // Some usual traffic, without which entries hardly talk to control.
        std::vector<std::thread> threads;
        for (int n = 1; n <= entries; ++n) {
            threads.emplace_back([&, n] {
                std::unique_ptr<connection> to;
                for (int i = 0; !stopped; ++i) {
                    if (!to)
                        to = connection::open(fleet.entryAddress(n));
                    auto response = to ? call(*to, i % 2 == 0 ? "/first/x" : "/later/x") : message();
                    if (!response.complete || response.header("Connection") == "close")
                        to.reset();
                    sleepFor(20);
                }
            });
        }
        // A storm of changes: each version changes the time-out of a route.
        sleepFor(beforeStormMs);
        auto stormStart = clock_type::now();
        auto stormEnd = stormStart + milliseconds(stormMs);
        for (int client = 0; client < operators; ++client) {
            threads.emplace_back([&, client] {
                auto next = stormStart + milliseconds(client * stormGapMs);
                for (int i = client; next < stormEnd; i += operators) {
                    std::this_thread::sleep_until(next);
                    next += milliseconds(operators * stormGapMs);
                    auto mine = ++version;
                    auto body = configurationJson(mine, { routeJson("first", "/first/", "safe", 1500 + mine, 2), later }, "\"key-1\"", services);
                    int status = 0;
                    for (int attempt = 0; attempt < 40 && status != 200; ++attempt) {
                        status = callOnce(fleet.controlAddress(1 + (i + attempt) % controls), "PUT", "/-/config", body, 1000).status;
                        if (status != 200)
                            sleepFor(50);
                    }
                    record.line("change " + std::to_string(mine) + " answered " + std::to_string(status));
                }
            });
        }
        std::this_thread::sleep_until(stormStart + milliseconds(stormBeforeCutMs));
        if (hasTrouble()) {
            record.line("the leader is cut off");
            link.setCut(true);
            sleepFor(peersCutMs);
            fleet.signalProcess("control-" + std::to_string(leader), SIGSTOP);
            sleepFor(cutMs - peersCutMs);
            link.setCut(false);
            fleet.signalProcess("control-" + std::to_string(leader), SIGCONT);
            record.line("the cut heals; control process " + std::to_string(fleet.findLeader()) + " leads");
        }
        sleepFor(beforeNewRunnerMs);
        startRunner(++runnerNumber, "desk");
        record.line("a runner of desk is added");
        sleepFor(4000);
        stopped = true;
        for (auto& thread : threads)
            thread.join();

        record.line("steady state: " + std::to_string(probesPerRoute) + " requests on each route at each entry");
        std::mutex mutex;
        std::vector<std::thread> probes;
        for (int n = 1; n <= entries; ++n) {
            probes.emplace_back([&, n] {
                std::map<std::string, int> served;
                std::map<int, int> laterStatuses;
                auto to = connection::open(fleet.entryAddress(n));
                for (int i = 0; i < probesPerRoute; ++i) {
                    for (const std::string path : { "/first/x", "/later/x" }) {
                        if (!to)
                            to = connection::open(fleet.entryAddress(n));
                        auto response = to ? call(*to, path) : message();
                        served[path] += response.status == 200 ? 1 : 0;
                        if (path == "/later/x")
                            ++laterStatuses[response.status];
                        if (!response.complete || response.header("Connection") == "close")
                            to.reset();
                        sleepFor(100);
                    }
                }
                std::string statuses;
                for (const auto& [status, count] : laterStatuses)
                    statuses += " " + std::to_string(status) + " x " + std::to_string(count);
                record.line("entry " + std::to_string(n) + ": first route served " + std::to_string(served["/first/x"]) + ", later route served " + std::to_string(served["/later/x"]) + " (answers:" + statuses + ")");
                std::lock_guard lock(mutex);
                firstServed += served["/first/x"];
                broken += served["/later/x"] * 4 < served["/first/x"] ? 1 : 0;
            });
        }
        for (auto& probe : probes)
            probe.join();
    }
    record.line("entries that serve the later route less than a quarter as often as the first one: " + std::to_string(broken));
    if (firstServed < probesPerRoute)
        return notRunExit;
    return broken > 0 ? brokenExit : heldExit;
}
