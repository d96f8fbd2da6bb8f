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
/// Sends a caller's call under a running number and writes down what came back and what the endpoints saw.
class caller_session {
public:
    caller_session(platform_fleet& where, std::vector<stand_in_runner*> runners)
        : m_where(where)
        , m_runners(std::move(runners))
    {
    }

    simple_response call(const std::string& title, const std::string& method, const std::string& target, http_headers headers = {}, const std::string& body = {}, bool withKey = true)
    {
        headers.emplace_back("Host", "h.example");
        headers.emplace_back(platform_names::requestId, fmt::format("id-{}", ++m_number));
        headers.emplace_back(platform_names::deadlineMs, "5000");
        if (withKey)
            headers.emplace_back(platform_names::authorization, "Token key-1");
        auto answer = m_where.call(m_where.entryAddress(1), method, target, headers, body);
        text += fmt::format("# {}\n{}{}\n{}", title, answer.status, answer.broken ? ", broken off" : "", answer.body.empty() || answer.body.back() == '\n' ? answer.body : answer.body + "\n");
        for (const auto* name : { platform_names::seal, platform_names::requestId }) {
            if (!answer.header(name).empty())
                text += fmt::format("{}: {}\n", name, answer.header(name));
        }
        // Which decode engine comes first is a matter of chance; what the endpoints see is not.
        std::vector<std::string> seen;
        for (auto* runner : m_runners) {
            for (const auto& line : runner->takeSeen())
                seen.push_back("  seen by " + normalise(line, { { "decode-[12]", "decode-N" } }) + "\n");
        }
        std::sort(seen.begin(), seen.end());
        for (const auto& line : seen)
            text += line;
        text += "\n";
        return answer;
    }

    std::string text;

private:
    platform_fleet& m_where;
    std::vector<stand_in_runner*> m_runners;
    int m_number = 0;
};

http_headers promptOf(int prompt, int output)
{
    return { { platform_names::tokenUsage, fmt::format("{},{}", prompt, output) } };
}
}

// A whole session of operators, endpoints and a caller: each refusal has its status and reason, endpoints never see the
// key, a booking runs once, a stream that breaks off goes on elsewhere without a gap.
TEST_CASE("A session on the users' platform reads as expected")
{
    platform_fleet where;
    where.start();
    stand_in_runner app1("app-1", where.runnerAddress(1), "app", "");
    stand_in_runner app2("app-2", where.runnerAddress(2), "app", "");
    stand_in_runner prefill("prefill-1", where.runnerAddress(3), "llm", "prefill");
    stand_in_runner decode1("decode-1", where.runnerAddress(4), "llm", "decode");
    stand_in_runner decode2("decode-2", where.runnerAddress(5), "llm", "decode");
    caller_session session(where, { &app1, &app2, &prefill, &decode1, &decode2 });

    REQUIRE(eventually([&] { return where.call(where.readyAddress(1), "GET", platform_names::readyPath).status == 503; }));
    session.call("before any configuration", "GET", "/read/x");

    REQUIRE(where.submit(exampleConfiguration(7)) == 200);
    CHECK(where.submit(exampleConfiguration(6)) == 200);
    CHECK(where.submit("{\"version\":8") == 400);
    auto held = where.call(where.controlAddress(2), "GET", platform_names::configurationPath);
    CHECK(held.status == 200);
    CHECK(held.body == exampleConfiguration(7));

    for (auto* runner : { &app1, &prefill, &decode1 })
        CHECK(where.report(*runner).status == 200);
    auto unreadable = where.call(where.controlAddress(1), "PUT", std::string(platform_names::endpointsPath) + "x", {}, R"({"service":"app","slots":"many"})");
    session.text += fmt::format("# a report that can't be read\n{}\n{}\n\n", unreadable.status, unreadable.body);
    REQUIRE(eventually([&] { return where.entryReady(1); }));

    session.call("a read", "GET", "/read/x?q=1", { { platform_names::organisation, "forged" }, { platform_names::kvSource, "forged" } });
    session.call("a booking", "POST", "/book/x", {}, "two kits");
    session.call("no key", "GET", "/read/x", {}, {}, false);
    session.call("no such route", "GET", "/nowhere/x");
    session.call("a body over the limit", "POST", "/book/x", {}, std::string(100001, 'x'));
    session.call("a report, prompt read apart", "POST", "/report/x", promptOf(500, 432), "the prompt");
    session.call("a stream that runs once", "POST", "/once/x", promptOf(500, 432), "the prompt");

    app1.setMode(runner_mode::ServerError);
    session.call("a read that fails at the only endpoint", "GET", "/read/x");
    app1.setMode(runner_mode::BreakUnanswered);
    session.call("a booking whose endpoint breaks off", "POST", "/book/x", {}, "two kits");
    app1.setMode(runner_mode::Unsealed);
    session.call("a booking answered without a seal", "POST", "/book/x", {}, "two kits");
    app1.setMode(runner_mode::RefuseUnrun);
    session.call("a booking refused by the only endpoint", "POST", "/book/x", {}, "two kits");
    CHECK(where.report(app2).status == 200);
    REQUIRE(eventually([&] { return where.call(where.entryAddress(1), "GET", "/read/wait", { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "wait" } }).status == 200; }));
    app2.takeSeen();
    session.call("a booking refused by one endpoint of two", "POST", "/book/x", {}, "two kits");

    CHECK(where.report(app1, "draining", 3).status == 200);
    app1.setMode(runner_mode::Good);
    session.call("a read after an endpoint said that it leaves", "GET", "/read/x");

    decode1.setMode(runner_mode::BreakMidway);
    CHECK(where.report(decode2).status == 200);
    decode2.setMode(runner_mode::BreakMidway);
    session.call("a stream that runs once breaks off", "POST", "/once/x", promptOf(500, 432), "the prompt");
    auto whole = session.call("a report goes on at another endpoint", "POST", "/report/x", promptOf(500, 432), "the prompt");
    CHECK_FALSE(whole.broken);

    auto plain = normalise(session.text, { { "127\\.[0-9]+\\.", "127.N." }, { "decode-[12]", "decode-N" } });
    CHECK(compareWithExpected("Platform/expected/platform_session.txt", plain) == "");
}

// Callers see: a key works on after its withdrawal was acknowledged, at an entry that hears nothing any more.
// Order: an entry loses its leader for good; a key is withdrawn elsewhere; a caller uses it at that entry.
// Why: an entry acts on what it knows only within a lease that is shorter than the time allowed for a withdrawal.
TEST_CASE("An entry that hears no leader stops serving before a withdrawn key must have stopped")
{
    platform_fleet where;
    where.start();
    stand_in_runner app("app-1", where.runnerAddress(1), "app", "");
    REQUIRE(where.submit(exampleConfiguration(7)) == 200);
    REQUIRE(where.report(app).status == 200);
    REQUIRE(eventually([&] { return where.entryReady(1); }));
    http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "one" } };
    CHECK(where.call(where.entryAddress(1), "GET", "/read/x", headers).status == 200);
    for (int n = 1; n <= 3; ++n)
        where.control(n).signal(SIGSTOP);
    auto stoppedAt = std::chrono::steady_clock::now();
    // Until the lease ends calls go on, on the entry's own allowance of tokens.
    CHECK(where.call(where.entryAddress(1), "GET", "/read/x", headers).status == 200);
    CHECK(std::chrono::steady_clock::now() - stoppedAt < std::chrono::milliseconds(1000));
    REQUIRE(eventually([&] { return where.call(where.entryAddress(1), "GET", "/read/x", headers).status == 503; }));
    CHECK(std::chrono::steady_clock::now() - stoppedAt < std::chrono::milliseconds(4600));
    CHECK_FALSE(where.entryReady(1));
    for (int n = 1; n <= 3; ++n)
        where.control(n).signal(SIGCONT);
    REQUIRE(eventually([&] { return where.entryReady(1); }));
    CHECK(where.call(where.entryAddress(1), "GET", "/read/x", headers).status == 200);
}

// Callers see: engines that serve are not used, and calls are refused.
// Order: a control process is cut off from the others; endpoints go on reporting to it; the leader hears nothing of them
// and counts them as silent.
// Why: a process that has known no leader for longer than an election does not confirm reports, so endpoints turn to another.
TEST_CASE("A control process that is cut off confirms no reports")
{
    platform_fleet where;
    where.start();
    stand_in_runner app("app-1", where.runnerAddress(1), "app", "");
    REQUIRE(where.submit(exampleConfiguration(7)) == 200);
    REQUIRE(where.report(app, "ready", 3).status == 200);
    where.control(1).signal(SIGSTOP);
    where.control(2).signal(SIGSTOP);
    CHECK(eventually([&] { return where.report(app, "ready", 3).status == 503; }, std::chrono::seconds(8)));
    where.control(1).signal(SIGCONT);
    where.control(2).signal(SIGCONT);
    CHECK(eventually([&] { return where.report(app, "ready", 3).status == 200; }, std::chrono::seconds(8)));
}

// Operators see: a change that was acknowledged is missing when they read it back.
// Order: a change is acknowledged; every process is killed at once; they start again and the change is read.
// Why: a change is acknowledged only once a majority has it synced.
TEST_CASE("What was acknowledged is there after all processes were killed")
{
    platform_fleet where;
    where.start();
    for (std::uint64_t version = 1; version <= 5; ++version)
        REQUIRE(where.submit(exampleConfiguration(version)) == 200);
    for (int n = 1; n <= 3; ++n)
        where.control(n).kill();
    for (int n = 1; n <= 3; ++n)
        where.startControl(n, false);
    simple_response held;
    REQUIRE(eventually([&] {
        held = where.call(where.controlAddress(2), "GET", platform_names::configurationPath);
        return held.status == 200;
    }));
    CHECK(held.body == exampleConfiguration(5));
}

// Callers see: an answer is cut off because an entry was shut down.
// Order: a stream runs at the entry; it gets SIGTERM; the stream must still end whole, and the process with code 0.
TEST_CASE("A shutdown lets running streams end and refuses nothing that it took")
{
    platform_fleet where;
    where.start();
    stand_in_runner decode("decode-1", where.runnerAddress(4), "llm", "decode");
    decode.setPace(milliseconds(250));
    REQUIRE(where.submit(exampleConfiguration(7)) == 200);
    REQUIRE(where.report(decode).status == 200);
    REQUIRE(eventually([&] { return where.entryReady(1); }));
    simple_response answer;
    std::thread caller([&] {
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "one" }, { platform_names::tokenUsage, "500,432" } };
        answer = where.call(where.entryAddress(1), "POST", "/once/x", headers, "the prompt");
    });
    REQUIRE(eventually([&] { return !decode.runs().empty(); }));
    where.entry(1).signal(SIGTERM);
    caller.join();
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
    CHECK(where.entry(1).wait() == 0);
}

// Callers see: a report stops halfway, though its engine would have finished it.
// Order: an engine puts a stream back for want of memory; nothing comes for longer than the entry waits; no other engine
// has room; the engine goes on.
// Why: the entry leaves a stream that stands still only for a place that it has found.
TEST_CASE("A stream that stands still stays where it is while no other engine has room")
{
    platform_fleet where;
    where.start();
    stand_in_runner decode("decode-1", where.runnerAddress(4), "llm", "decode");
    decode.setMode(runner_mode::StandStill);
    REQUIRE(where.submit(exampleConfiguration(7)) == 200);
    REQUIRE(where.report(decode).status == 200);
    REQUIRE(eventually([&] { return where.entryReady(1); }));
    simple_response answer;
    std::thread caller([&] {
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "one" }, { platform_names::tokenUsage, "500,432" } };
        answer = where.call(where.entryAddress(1), "POST", "/report/x", headers, "the prompt");
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    decode.setMode(runner_mode::Good);
    caller.join();
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
    CHECK(decode.runs() == std::map<std::string, int> { { "one", 1 } });
}

// Callers see: a report stops halfway and never goes on.
// Order: the engine that makes it goes dark without closing its connections; another has room.
// Why: a stream that stands still goes on at the other engine after its last whole event, and leaves the first.
TEST_CASE("A stream whose engine went dark goes on at another")
{
    platform_fleet where;
    where.start();
    stand_in_runner decode1("decode-1", where.runnerAddress(4), "llm", "decode");
    stand_in_runner decode2("decode-2", where.runnerAddress(5), "llm", "decode");
    REQUIRE(where.submit(exampleConfiguration(7)) == 200);
    for (auto* runner : { &decode1, &decode2 }) {
        runner->setMode(runner_mode::StandStill);
        REQUIRE(where.report(*runner).status == 200);
    }
    REQUIRE(eventually([&] { return where.entryReady(1); }));
    http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "one" }, { platform_names::tokenUsage, "500,432" } };
    auto answer = where.call(where.entryAddress(1), "POST", "/report/x", headers, "the prompt");
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
    for (int i = 0; i < stand_in_runner::eventsOfStream; ++i)
        CHECK(answer.body.find(fmt::format("data: piece {}\n", i)) != std::string::npos);
    CHECK(decode1.runs().size() + decode2.runs().size() == 2);
}

TEST_CASE("Settings that can't be used are refused with file, key and remedy")
{
    platform_fleet where;
    auto path = where.folder() + "/bad.toml";
    std::ofstream(path) << "[vm]\nname = \"x\"\naddress = \"nowhere\"\ndata_centre = \"a\"\n[entry]\nlisten = \"1.2.3.4:1\"\nready_listen = 5\nadmin_port = 70000\n[peers]\nport = 1\ncontrols = [\"1.2.3\"]\nextra = 1\n";
    auto output = runToEnd(PISTACHIOLATCH_BUILD_FOLDER "/pistachiolatch-platform-entry", { "--settings", path, "--check" }, where.folder() + "/check");
    CHECK(output.code == 2);
    for (const auto* part : { "vm.address: must be an IPv4 address", "entry.ready_listen", "entry.admin_port", "peers.controls: \"1.2.3\" is not an IPv4 address with a port", "peers.extra: unknown key" })
        CHECK(output.err.find(part) != std::string::npos);
}
