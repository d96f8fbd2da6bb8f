// Case: an endpoint of a service without engines crashes in the middle of an event of a resumable stream.
#include "harness.h"
#include <atomic>
#include <set>

using namespace review;

namespace {
constexpr int runners = 8;
constexpr int streams = 48;
constexpr int events = 30;
constexpr const char* key = "3d3zji9n73hh2b9wu3fe";

struct verdict {
    int whole = 0;
    int cut = 0;
    int refused = 0;
    int wrong = 0;
};

/// What the endpoints write for an event; see runner.cpp.
std::string expectedEvent(const std::string& path, int number)
{
    std::string text = "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " of " + path + " ";
    text.append(240, static_cast<char>('a' + number % 26));
    return text + "\n\n";
}

/// The example of PROTOCOL.md with another target of its resumable route.
std::string pageConfiguration(const std::string& version, const std::string& target)
{
    return R"({"version":)" + version + R"(,"routes":[{"name":"r-26tta82","host":"ficu95.example","pathPrefix":"/pufi791/","routeType":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"huvo11a","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":300},{"name":"r-imaj3nr","host":"ficu95.example","pathPrefix":"/lohu930/","routeType":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,)" + target
        + R"(,"maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":300}],"services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":620,"protocol":"h1","tls":false,"engine":{"slots":128,"kvCapacityTokens":107797,"kvTokenBytes":262144,"linkMbps":11000000.0,"moves":true,"backups":true,"stride":73,"most":12,"handleTtlS":0.5,"stageSwitchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}},{"name":"wuno96b","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"huka270","apiKeys":["3d3zji9n73hh2b9wu3fe","xd9dnn2ctnfzs989anu6"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":116707,"burst":116707}]})";
}

std::string printable(const std::string& text)
{
    std::string out;
    for (char letter : text)
        out += letter == '\n' ? std::string("\\n") : std::string(1, letter);
    return out;
}

void checkStream(const std::string& path, const std::string& requestId, const http_reply& reply, verdict& total, const record_file& record)
{
    if (reply.status != 200) {
        ++total.refused;
        record.line("client " + requestId + " got status " + std::to_string(reply.status));
        return;
    }
    std::string rest = reply.body;
    for (int number = 1; number <= events; ++number) {
        auto expected = expectedEvent(path, number);
        if (rest.compare(0, expected.size(), expected) == 0) {
            rest.erase(0, expected.size());
            continue;
        }
        auto end = rest.find("\n\n");
        // A stream that is cut off ends inside an event or behind one; its caller knows that it isn't complete.
        if (!reply.complete && end == std::string::npos && expected.compare(0, rest.size(), rest) == 0) {
            ++total.cut;
            record.line("client " + requestId + " got " + std::to_string(number - 1) + " whole events, then its connection ended");
            return;
        }
        ++total.wrong;
        record.line("client " + requestId + " got, as event " + std::to_string(number) + " of a stream that " + (reply.complete ? "ended as complete" : "was cut off") + ": \"" + printable(rest.substr(0, end)) + "\"");
        record.line("client " + requestId + " expected: \"" + printable(expected.substr(0, expected.size() - 2)) + "\"");
        return;
    }
    if (rest.empty() && reply.complete) {
        ++total.whole;
        record.line("client " + requestId + " got the whole stream");
    } else {
        ++(rest.empty() ? total.cut : total.wrong);
        record.line("client " + requestId + " got all events, but then \"" + printable(rest.substr(0, 80)) + "\"");
    }
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
    // The configuration of the page on the protocol, and one that moves the resumable route to its second service.
    if (system.putConfiguration(pageConfiguration("7", R"("trafficSplit":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}])")).status != 200)
        return cannotRun;
    if (system.putConfiguration(pageConfiguration("8", R"("service":"wuno96b")")).status != 200)
        return cannotRun;
    for (int n = 1; n <= runners; ++n) {
        // One of eight endpoints crashes, 0.125 of the service.
        std::vector<std::string> options;
        if (trouble && n == 1)
            options = { "--crash-at-event", "6" };
        system.startRunner(n, "i-7f3a91c" + std::to_string(n), "wuno96b", recordPath, options);
    }
    if (!system.awaitReady(20000))
        return cannotRun;
    sleepMs(3000);

    verdict total;
    std::mutex mutex;
    std::vector<std::thread> clients;
    for (int i = 0; i < streams; ++i) {
        clients.emplace_back([&, i] {
            auto requestId = "req-" + std::to_string(1000 + i);
            auto path = "/lohu930/stream-" + std::to_string(i);
            std::string more = "Pistachiolatch-Model: m\r\nPistachiolatch-Token-Usage: 1460,30\r\nPistachiolatch-Prompt-Prefix: " + std::to_string(500000 + i) + ":1460\r\n";
            auto until = nowMs() + 14000;
            record.line("client " + requestId + " sends POST " + path);
            connection link;
            http_reply reply;
            if (link.open(system.entryAddress(1 + i % system.entries())) && link.send(callerRequest("POST", path, requestId, key, 14000, "prompt " + std::to_string(i), more), until))
                reply = link.readReply(until);
            std::lock_guard lock(mutex);
            checkStream(path, requestId, reply, total, record);
        });
        sleepMs(30);
    }
    for (auto& client : clients)
        client.join();
    record.line("whole " + std::to_string(total.whole) + ", cut off " + std::to_string(total.cut) + ", refused " + std::to_string(total.refused) + ", with joined or wrong pieces " + std::to_string(total.wrong));
    std::printf("whole %d, cut off %d, refused %d, with joined or wrong pieces %d\n", total.whole, total.cut, total.refused, total.wrong);
    if (total.wrong > 0)
        return broken;
    return total.whole >= streams / 2 ? held : cannotRun;
}
