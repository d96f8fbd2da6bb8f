// Bookings on kept connections after a HEAD request that the router refuses.
#include "harness.h"

using namespace review;

namespace {
constexpr int clients = 10;
constexpr int configApplyMs = 2000;

int runRunner(char** arguments)
{
    std::string id = arguments[2];
    std::string log = arguments[4];
    std::vector<std::string> controls;
    for (auto** control = arguments + 5; *control; ++control)
        controls.emplace_back(*control);
    runner* self = nullptr;
    runner stand(id, arguments[3], "desk", controls, [&](connection& to, const message& request) {
        auto requestId = request.header("Pistachiolatch-Request-Id");
        if (requestId.empty())
            return to.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        appendLine(log, "run " + requestId + " " + request.method + " " + request.path);
        auto body = "answer to " + requestId;
        auto head = self->responseHead(request, "200 OK", "Content-Length: " + std::to_string(body.size()) + "\r\n");
        return to.send(request.method == "HEAD" ? head : head + body);
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
    deployment fleet(3, 1);
    auto runs = fleet.file("runs");
    for (int n = 1; n <= 2; ++n) {
        std::vector<std::string> arguments { "runner", "i-" + std::to_string(n), fleet.runnerAddress(n), runs };
        for (const auto& control : fleet.controlAddresses())
            arguments.push_back(control);
        fleet.startSelf("runner-" + std::to_string(n), arguments);
    }
    auto book = routeJson("book", "/book/", "unsafe", 1500, 1);
    auto stock = routeJson("stock", "/stock/", "safe", 1500, 2);
    if (!fleet.start(configurationJson(1, { book, stock }, "\"key-1\"")) || !fleet.awaitReady())
        return notRunExit;
    sleepFor(2500);

    std::vector<std::unique_ptr<connection>> connections;
    int number = 0;
    int served = 0;
    int spoiled = 0;
    auto call = [&](connection& to, const std::string& method, const std::string& path) {
        client_request request;
        request.method = method;
        request.path = path;
        request.id = "q" + std::to_string(++number);
        request.deadlineMs = 1500;
        request.body = method == "POST" ? "one skip" : "";
        to.send(request.encode());
        auto response = to.readResponse(method, 2000);
        record.line(request.id + " " + method + " " + path + " answered " + std::to_string(response.status) + (response.status == 0 ? " (no HTTP answer): \"" + response.startLine.substr(0, 120) + "\"" : ""));
        return response;
    };
    for (int client = 0; client < clients; ++client) {
        connections.push_back(connection::open(fleet.entryAddress(1)));
        if (!connections.back())
            return notRunExit;
        bool isSound = call(*connections.back(), "HEAD", "/stock/item").status == 200 && call(*connections.back(), "POST", "/book/item").status == 200;
        served += isSound ? 1 : 0;
    }
    if (served < clients)
        return notRunExit;
    if (hasTrouble()) {
        if (!fleet.submit(configurationJson(2, { book }, "\"key-1\"")))
            return notRunExit;
        record.line("configuration 2 without the route /stock/ is acknowledged");
    }
    sleepFor(configApplyMs + 500);
    for (auto& to : connections) {
        auto head = call(*to, "HEAD", "/stock/item");
        // A client whose connection is closed would open another one.
        if (head.header("Connection") == "close")
            continue;
        auto booking = call(*to, "POST", "/book/item");
        bool isOwn = booking.status == 200 && booking.body == "answer to q" + std::to_string(number) && booking.header("Pistachiolatch-Request-Id") == "q" + std::to_string(number);
        spoiled += isOwn ? 0 : 1;
    }
    for (const auto& line : readLines(runs))
        record.line(line);
    record.line("bookings after the HEAD request " + std::to_string(connections.size()) + ", without their own answer " + std::to_string(spoiled));
    return spoiled > 0 ? brokenExit : heldExit;
}
