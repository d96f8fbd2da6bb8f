// The answer to the router's own status request on a kept connection, after a late second answer of the runner.
#include "harness.h"

using namespace review;

namespace {
constexpr int runMs = 60000;
/// One of the two runners sends a second copy of one in 36 of its answers, for 5 s out of 7.
constexpr int answersPerCopy = 36;
constexpr int spoilMs = 5000;
constexpr int spoilPeriodMs = 7000;
constexpr int eventsPerStream = 3;
constexpr int eventMs = 10;
/// What the runner takes to find that it has no such path.
constexpr int handlingMs = 5;

int runRunner(char** arguments)
{
    std::string id = arguments[2];
    std::string log = arguments[4];
    bool spoils = std::string(arguments[5]) == "spoils";
    std::vector<std::string> controls;
    for (auto** control = arguments + 6; *control; ++control)
        controls.emplace_back(*control);
    std::mutex mutex;
    std::map<connection*, std::string> lateCopies;
    std::atomic<int> answers { 0 };
    auto startedAt = unixMs();
    runner* self = nullptr;
    runner stand(id, arguments[3], "desk", controls, [&](connection& to, const message& request) {
        std::string late;
        {
            std::lock_guard lock(mutex);
            late = std::exchange(lateCopies[&to], {});
        }
        auto requestId = request.header("Pistachiolatch-Request-Id");
        if (!late.empty()) {
            appendLine(log, "copy at " + id + " where the answer to " + (requestId.empty() ? request.path : requestId) + " is expected");
            to.send(late);
            sleepFor(handlingMs);
        }
        if (request.path.rfind("/read/", 0) == 0) {
            appendLine(log, "run " + requestId + " " + request.path + " at " + id);
            std::string body = "answer to " + requestId;
            auto answer = self->responseHead(request, "200 OK", "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
            bool isSpoiling = spoils && (unixMs() - startedAt) % spoilPeriodMs < spoilMs;
            std::lock_guard lock(mutex);
            if (++answers >= answersPerCopy && isSpoiling && answers.exchange(0) > 0)
                lateCopies[&to] = answer;
            return to.send(answer);
        }
        if (request.path.rfind("/feed/", 0) == 0) {
            appendLine(log, "run " + requestId + " " + request.path + " at " + id);
            ++answers;
            to.send(self->responseHead(request, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            for (int event = 1; event <= eventsPerStream; ++event) {
                char chunk[64];
                auto text = "id: " + std::to_string(event) + "\ndata: x\n\n";
                std::snprintf(chunk, sizeof chunk, "%zx\r\n", text.size());
                if (!to.send(chunk + text + "\r\n"))
                    return false;
                sleepFor(eventMs);
            }
            return to.send("0\r\n\r\n");
        }
        std::string body = "no such path";
        return to.send("HTTP/1.1 404 Not Found\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    self = &stand;
    stand.run();
    return 0;
}
}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc > 5 && std::string(argv[1]) == "runner")
        return runRunner(argv);
    record_file record(argc > 1 ? argv[1] : "record.txt");
    deployment fleet(3, 1);
    auto runs = fleet.file("runs");
    for (int n = 1; n <= 2; ++n) {
        std::vector<std::string> arguments { "runner", "i-" + std::to_string(n), fleet.runnerAddress(n), runs, n == 1 && hasTrouble() ? "spoils" : "sound" };
        for (const auto& control : fleet.controlAddresses())
            arguments.push_back(control);
        fleet.startSelf("runner-" + std::to_string(n), arguments);
    }
    if (!fleet.start(configurationJson(1, { routeJson("read", "/read/", "safe", 3000, 2), routeJson("feed", "/feed/", "streaming", 14000, 2, true) }, "\"key-1\"")) || !fleet.awaitReady())
        return notRunExit;
    sleepFor(2500);

    auto to = connection::open(fleet.entryAddress(1));
    std::map<std::string, int> foreign;
    int answered = 0;
    int number = 0;
    auto call = [&](const std::string& path) {
        client_request request;
        request.path = path;
        request.id = "q" + std::to_string(++number);
        if (!to)
            to = connection::open(fleet.entryAddress(1));
        message response;
        if (to && to->send(request.encode()))
            response = to->readResponse("GET", 5000);
        record.line(request.id + " GET " + path + " answered " + std::to_string(response.status) + ", seal \"" + response.header("Pistachiolatch-Response-Seal") + "\"" + (response.status == 200 ? "" : ", body \"" + response.body.substr(0, 80) + "\""));
        answered += response.status == 200 ? 1 : 0;
        // Neither runner answers a read or a stream with this status.
        if (response.status == 404)
            foreign[request.id] = response.status;
        if (!response.complete || response.header("Connection") == "close")
            to.reset();
    };
    for (auto end = clock_type::now() + milliseconds(runMs); clock_type::now() < end;) {
        for (int i = 0; i < 4; ++i)
            call("/read/page-" + std::to_string(i));
        for (int i = 0; i < 2; ++i)
            call("/feed/board-" + std::to_string(i));
    }
    auto lines = readLines(runs);
    for (const auto& line : lines) {
        if (line.rfind("copy", 0) == 0)
            record.line(line);
    }
    for (const auto& [id, status] : foreign) {
        for (const auto& line : lines) {
            if (line.rfind("run " + id + " ", 0) == 0)
                record.line(id + ": the client got " + std::to_string(status) + ", which answers the router's status request; " + line);
        }
    }
    record.line("requests " + std::to_string(number) + ", served " + std::to_string(answered) + ", answers that belong to another request " + std::to_string(foreign.size()));
    if (answered < number / 2)
        return notRunExit;
    return foreign.empty() ? heldExit : brokenExit;
}
