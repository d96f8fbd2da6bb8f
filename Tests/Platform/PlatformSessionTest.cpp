#include "Platform/platform_fleet.h"
#include "platform_names.h"
#include "Support/golden.h"
#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// Sends requests with consecutive IDs and records each response and the requests that the endpoints received.
class caller_session {
public:
    caller_session(platform_fleet& fleet, std::vector<fake_endpoint*> endpoints)
        : m_fleet(fleet)
        , m_endpoints(std::move(endpoints))
    {
    }

    simple_response call(const std::string& title, const std::string& method, const std::string& target, http_headers headers = {}, const std::string& body = {}, bool withKey = true)
    {
        headers.emplace_back("Host", "h.example");
        headers.emplace_back(platform_names::requestId, fmt::format("id-{}", ++m_requestCount));
        headers.emplace_back(platform_names::deadlineMs, "5000");
        if (withKey)
            headers.emplace_back(platform_names::authorization, "Token key-1");
        auto answer = m_fleet.call(m_fleet.entryAddress(1), method, target, headers, body);
        text += fmt::format("# {}\n{}{}\n{}", title, answer.status, answer.broken ? ", cut off" : "", answer.body.empty() || answer.body.back() == '\n' ? answer.body : answer.body + "\n");
        for (const auto* name : { platform_names::responseSeal, platform_names::requestId }) {
            if (!answer.header(name).empty())
                text += fmt::format("{}: {}\n", name, answer.header(name));
        }
        // The choice of the decode engine is random; the requests that the endpoints receive are not.
        std::vector<std::string> received;
        for (auto* endpoint : m_endpoints) {
            for (const auto& line : endpoint->takeRequestLog())
                received.push_back("  received by " + normalise(line, { { "decode-[12]", "decode-N" } }) + "\n");
        }
        std::sort(received.begin(), received.end());
        for (const auto& line : received)
            text += line;
        text += "\n";
        return answer;
    }

    std::string text;

private:
    platform_fleet& m_fleet;
    std::vector<fake_endpoint*> m_endpoints;
    int m_requestCount = 0;
};

http_headers makeUsageHeaders(int prompt, int output)
{
    return { { platform_names::tokenUsage, fmt::format("{},{}", prompt, output) } };
}
}

// Checks that refusals have the right status and reason, that endpoints never receive the key, that a booking runs once,
// and that an interrupted stream resumes at another endpoint without a gap.
TEST_CASE("A session on the users' platform matches the expected output")
{
    platform_fleet fleet;
    fleet.start();
    fake_endpoint app1("app-1", fleet.endpointAddress(1), "app", "");
    fake_endpoint app2("app-2", fleet.endpointAddress(2), "app", "");
    fake_endpoint prefill("prefill-1", fleet.endpointAddress(3), "llm", "prefill");
    fake_endpoint decode1("decode-1", fleet.endpointAddress(4), "llm", "decode");
    fake_endpoint decode2("decode-2", fleet.endpointAddress(5), "llm", "decode");
    caller_session session(fleet, { &app1, &app2, &prefill, &decode1, &decode2 });

    REQUIRE(eventually([&] { return fleet.call(fleet.readyAddress(1), "GET", platform_names::readyPath).status == 503; }));
    session.call("before any configuration", "GET", "/read/x");

    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    CHECK(fleet.submitConfiguration(exampleConfiguration(6)) == 200);
    CHECK(fleet.submitConfiguration("{\"version\":8") == 400);
    auto current = fleet.call(fleet.controlAddress(2), "GET", platform_names::configurationPath);
    CHECK(current.status == 200);
    CHECK(current.body == exampleConfiguration(7));

    for (auto* endpoint : { &app1, &prefill, &decode1 })
        CHECK(fleet.sendReport(*endpoint).status == 200);
    auto invalid = fleet.call(fleet.controlAddress(1), "PUT", std::string(platform_names::endpointsPath) + "x", {}, R"({"service":"app","slots":"many"})");
    session.text += fmt::format("# an invalid report\n{}\n{}\n\n", invalid.status, invalid.body);
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));

    session.call("a read", "GET", "/read/x?q=1", { { platform_names::organisation, "forged" }, { platform_names::kvSource, "forged" } });
    session.call("a booking", "POST", "/book/x", {}, "two kits");
    session.call("no key", "GET", "/read/x", {}, {}, false);
    session.call("no such route", "GET", "/nowhere/x");
    session.call("a body over the limit", "POST", "/book/x", {}, std::string(100001, 'x'));
    session.call("a report stream with a separate prefill", "POST", "/report/x", makeUsageHeaders(500, 432), "the prompt");
    session.call("a stream that must not run twice", "POST", "/once/x", makeUsageHeaders(500, 432), "the prompt");

    app1.setMode(fake_endpoint_mode::ServerError);
    session.call("a read that fails at the only endpoint", "GET", "/read/x");
    app1.setMode(fake_endpoint_mode::AbortBeforeResponse);
    session.call("a booking whose endpoint closes the connection", "POST", "/book/x", {}, "two kits");
    app1.setMode(fake_endpoint_mode::OmitSeal);
    session.call("a booking answered without a seal", "POST", "/book/x", {}, "two kits");
    app1.setMode(fake_endpoint_mode::RejectNotExecuted);
    session.call("a booking refused by the only endpoint", "POST", "/book/x", {}, "two kits");
    CHECK(fleet.sendReport(app2).status == 200);
    REQUIRE(eventually([&] { return fleet.call(fleet.entryAddress(1), "GET", "/read/wait", { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "wait" } }).status == 200; }));
    app2.takeRequestLog();
    session.call("a booking refused by one of two endpoints", "POST", "/book/x", {}, "two kits");

    CHECK(fleet.sendReport(app1, "draining", 3).status == 200);
    app1.setMode(fake_endpoint_mode::Normal);
    session.call("a read after an endpoint reported draining", "GET", "/read/x");

    decode1.setMode(fake_endpoint_mode::AbortMidStream);
    CHECK(fleet.sendReport(decode2).status == 200);
    decode2.setMode(fake_endpoint_mode::AbortMidStream);
    session.call("a stream that must not run twice is cut off", "POST", "/once/x", makeUsageHeaders(500, 432), "the prompt");
    auto resumed = session.call("a report stream resumes at another endpoint", "POST", "/report/x", makeUsageHeaders(500, 432), "the prompt");
    CHECK_FALSE(resumed.broken);

    auto normalised = normalise(session.text, { { "127\\.[0-9]+\\.", "127.N." }, { "decode-[12]", "decode-N" } });
    CHECK(compareWithExpected("Platform/expected/platform_session.txt", normalised) == "");
}

// Guards against an entry that loses its leader and still accepts a key whose withdrawal was acknowledged elsewhere. An
// entry's lease must therefore be shorter than the time allowed for a withdrawal.
TEST_CASE("An entry without contact to a leader stops serving within the time allowed for a key withdrawal")
{
    platform_fleet fleet;
    fleet.start();
    fake_endpoint app("app-1", fleet.endpointAddress(1), "app", "");
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    REQUIRE(fleet.sendReport(app).status == 200);
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "one" } };
    CHECK(fleet.call(fleet.entryAddress(1), "GET", "/read/x", headers).status == 200);
    for (int n = 1; n <= 3; ++n)
        fleet.control(n).signal(SIGSTOP);
    auto stoppedAt = std::chrono::steady_clock::now();
    // Until the lease expires, requests are served from the entry's fallback tokens.
    CHECK(fleet.call(fleet.entryAddress(1), "GET", "/read/x", headers).status == 200);
    CHECK(std::chrono::steady_clock::now() - stoppedAt < std::chrono::milliseconds(1000));
    REQUIRE(eventually([&] { return fleet.call(fleet.entryAddress(1), "GET", "/read/x", headers).status == 503; }));
    CHECK(std::chrono::steady_clock::now() - stoppedAt < std::chrono::milliseconds(4600));
    CHECK_FALSE(fleet.isEntryReady(1));
    for (int n = 1; n <= 3; ++n)
        fleet.control(n).signal(SIGCONT);
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    CHECK(fleet.call(fleet.entryAddress(1), "GET", "/read/x", headers).status == 200);
}

// Guards against refused requests while endpoints are healthy: endpoints keep reporting to an isolated control process, and
// the leader, which receives none of these reports, treats them as silent. A process that has known no leader for longer
// than an election must not confirm reports, so that endpoints try another one.
TEST_CASE("An isolated control process confirms no reports")
{
    platform_fleet fleet;
    fleet.start();
    fake_endpoint app("app-1", fleet.endpointAddress(1), "app", "");
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    REQUIRE(fleet.sendReport(app, "ready", 3).status == 200);
    fleet.control(1).signal(SIGSTOP);
    fleet.control(2).signal(SIGSTOP);
    CHECK(eventually([&] { return fleet.sendReport(app, "ready", 3).status == 503; }, std::chrono::seconds(8)));
    fleet.control(1).signal(SIGCONT);
    fleet.control(2).signal(SIGCONT);
    CHECK(eventually([&] { return fleet.sendReport(app, "ready", 3).status == 200; }, std::chrono::seconds(8)));
}

// Guards against losing an acknowledged change when all control processes are killed and restarted. A change may be
// acknowledged only after a majority has synced it to disk.
TEST_CASE("Acknowledged changes survive a kill of all control processes")
{
    platform_fleet fleet;
    fleet.start();
    for (std::uint64_t version = 1; version <= 5; ++version)
        REQUIRE(fleet.submitConfiguration(exampleConfiguration(version)) == 200);
    for (int n = 1; n <= 3; ++n)
        fleet.control(n).kill();
    for (int n = 1; n <= 3; ++n)
        fleet.startControl(n, false);
    simple_response current;
    REQUIRE(eventually([&] {
        current = fleet.call(fleet.controlAddress(2), "GET", platform_names::configurationPath);
        return current.status == 200;
    }));
    CHECK(current.body == exampleConfiguration(5));
}

// Guards against a stream that is cut off when its entry receives SIGTERM. The stream must complete and the process must
// exit with code 0.
TEST_CASE("A shutdown lets running streams complete and refuses no accepted request")
{
    platform_fleet fleet;
    fleet.start();
    fake_endpoint decode("decode-1", fleet.endpointAddress(4), "llm", "decode");
    decode.setDelay(milliseconds(250));
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    REQUIRE(fleet.sendReport(decode).status == 200);
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    simple_response answer;
    std::thread caller([&] {
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "one" }, { platform_names::tokenUsage, "500,432" } };
        answer = fleet.call(fleet.entryAddress(1), "POST", "/once/x", headers, "the prompt");
    });
    REQUIRE(eventually([&] { return !decode.runCounts().empty(); }));
    fleet.entry(1).signal(SIGTERM);
    caller.join();
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
    CHECK(fleet.entry(1).wait() == 0);
}

// Guards against cutting off a stream that its engine would have finished: the engine preempts the stream for lack of memory
// for longer than the entry waits between events, and no other engine has capacity. The entry may leave a stalled stream only after
// it has found another placement.
TEST_CASE("A stalled stream stays at its engine while no other engine has capacity")
{
    platform_fleet fleet;
    fleet.start();
    fake_endpoint decode("decode-1", fleet.endpointAddress(4), "llm", "decode");
    decode.setMode(fake_endpoint_mode::StallMidStream);
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    REQUIRE(fleet.sendReport(decode).status == 200);
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    simple_response answer;
    std::thread caller([&] {
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "one" }, { platform_names::tokenUsage, "500,432" } };
        answer = fleet.call(fleet.entryAddress(1), "POST", "/report/x", headers, "the prompt");
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    decode.setMode(fake_endpoint_mode::Normal);
    caller.join();
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
    CHECK(decode.runCounts() == std::map<std::string, int> { { "one", 1 } });
}

// Guards against a stream that never continues after its engine stops responding without closing connections. The entry
// must resume it at another engine after the last complete event.
TEST_CASE("A stream resumes at another engine when its engine stops responding")
{
    platform_fleet fleet;
    fleet.start();
    fake_endpoint decode1("decode-1", fleet.endpointAddress(4), "llm", "decode");
    fake_endpoint decode2("decode-2", fleet.endpointAddress(5), "llm", "decode");
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    for (auto* endpoint : { &decode1, &decode2 }) {
        endpoint->setMode(fake_endpoint_mode::StallMidStream);
        REQUIRE(fleet.sendReport(*endpoint).status == 200);
    }
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "one" }, { platform_names::tokenUsage, "500,432" } };
    auto answer = fleet.call(fleet.entryAddress(1), "POST", "/report/x", headers, "the prompt");
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
    for (int i = 0; i < fake_endpoint::eventsPerStream; ++i)
        CHECK(answer.body.find(fmt::format("data: piece {}\n", i)) != std::string::npos);
    CHECK(decode1.runCounts().size() + decode2.runCounts().size() == 2);
}

TEST_CASE("Invalid settings are rejected with file, key and remedy")
{
    platform_fleet fleet;
    auto path = fleet.folder() + "/bad.toml";
    std::ofstream(path) << "[vm]\nname = \"x\"\naddress = \"nowhere\"\ndata_centre = \"a\"\n[entry]\nlisten = \"1.2.3.4:1\"\nready_listen = 5\nadmin_port = 70000\n[peers]\nport = 1\ncontrols = [\"1.2.3\"]\nextra = 1\n";
    auto output = runToEnd(PISTACHIOLATCH_BUILD_FOLDER "/pistachiolatch-platform-entry", { "--settings", path, "--check" }, fleet.folder() + "/check");
    CHECK(output.code == 2);
    for (const auto* part : { "vm.address: must be an IPv4 address", "entry.ready_listen", "entry.admin_port", "peers.controls: \"1.2.3\" is not an IPv4 address with a port", "peers.extra: unknown key" })
        CHECK(output.err.find(part) != std::string::npos);
}
