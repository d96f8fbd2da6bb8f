// Guards against requests that the entry takes from a silent endpoint before another one has them, or leaves with one that isn't going
// to answer, and against streams that two endpoints work on.
#include "Platform/endpoint_process.h"
#include "Platform/scripted_endpoint.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <regex>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
http_headers makeHeaders()
{
    return { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "one" }, { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, "6000" } };
}

std::string entryLog(const platform_fleet& fleet)
{
    return readFile(fleet.folder() + "/entry-1.out");
}

/// Waits until the entry knows the first endpoint.
void awaitEndpoint(const platform_fleet& fleet)
{
    REQUIRE(eventually([&] { return fleet.isEntryReady(1) && entryLog(fleet).find("event=endpoint_known ") != std::string::npos; }));
}

std::string makeConfiguration()
{
    return std::regex_replace(exampleConfiguration(7), std::regex("\"targetLatencyMs\":[0-9]*"), "\"targetLatencyMs\":100");
}

struct timed_answer {
    simple_response response;
    milliseconds time;
};

/// Looks something up, while more endpoints begin to report shortly after.
timed_answer lookUp(platform_fleet& fleet, const std::vector<fake_endpoint*>& endpoints)
{
    timed_answer answer;
    std::thread caller([&] {
        auto startedAt = std::chrono::steady_clock::now();
        answer.response = fleet.call(fleet.entryAddress(1), "GET", "/read/x", makeHeaders(), "", milliseconds(8000));
        answer.time = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - startedAt);
    });
    std::this_thread::sleep_for(milliseconds(100));
    endpoint_reporter reporter(fleet, endpoints);
    caller.join();
    return answer;
}

/// Sends a request to an endpoint that pauses before it answers, while another one refuses it.
void checkIsAnswered(const std::string& service, const std::string& stage, const std::string& method, const std::string& target)
{
    platform_fleet fleet;
    fleet.start();
    REQUIRE(fleet.submitConfiguration(makeConfiguration()) == 200);
    endpoint_process pausing(fleet, 1, { service, stage, milliseconds(300), false });
    endpoint_process refusing(fleet, 2, { service, stage, milliseconds(300), true });
    REQUIRE(fleet.sendReport(pausing.reporter()).status == 200);
    awaitEndpoint(fleet);
    simple_response answer;
    std::thread caller([&] { answer = fleet.call(fleet.entryAddress(1), method, target, makeHeaders(), method == "GET" ? "" : "the prompt", milliseconds(6000)); });
    std::this_thread::sleep_for(milliseconds(150));
    pausing.pause();
    endpoint_reporter reporter(fleet, { &pausing.reporter(), &refusing.reporter() });
    std::this_thread::sleep_for(milliseconds(1200));
    pausing.resume();
    caller.join();
    INFO(answer.status << " " << answer.body << entryLog(fleet));
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
}
}

TEST_CASE("A repeatable request whose endpoint pauses stays there while the other endpoint refuses it", "[promise]")
{
    checkIsAnswered("app", "", "GET", "/read/x");
}

TEST_CASE("A stream that has not begun stays at its pausing engine while the other engine refuses it", "[promise]")
{
    checkIsAnswered("llm", "decode", "POST", "/report/x");
}

TEST_CASE("A refusal whose body doesn't end doesn't keep a request from the other endpoint", "[promise]")
{
    platform_fleet fleet;
    fleet.start();
    REQUIRE(fleet.submitConfiguration(makeConfiguration()) == 200);
    scripted_endpoint refusing(fleet.endpointAddress(1), [](const http_exchange::request&) {
        scripted_response response;
        response.status = 503;
        response.framing = body_framing::Length;
        response.end = connection_end::KeepOpen;
        response.truncated = true;
        response.headers = { { platform_names::notExecuted, "1" } };
        return response;
    });
    fake_endpoint refusingReport("app-1", fleet.endpointAddress(101), "app", "");
    refusingReport.setReportedAddress(fleet.endpointAddress(1));
    REQUIRE(fleet.sendReport(refusingReport).status == 200);
    awaitEndpoint(fleet);
    fake_endpoint sound("app-2", fleet.endpointAddress(2), "app", "");
    auto answer = lookUp(fleet, { &refusingReport, &sound });
    INFO(answer.time.count() << " ms" << entryLog(fleet));
    CHECK(answer.response.status == 200);
    CHECK(answer.time < milliseconds(1000));
}

TEST_CASE("An error of the other endpoint is sent before the deadline if the silent one doesn't answer", "[promise]")
{
    platform_fleet fleet;
    fleet.start();
    REQUIRE(fleet.submitConfiguration(makeConfiguration()) == 200);
    endpoint_process silent(fleet, 1, { "app", "", milliseconds(5), false });
    REQUIRE(fleet.sendReport(silent.reporter()).status == 200);
    awaitEndpoint(fleet);
    silent.pause();
    fake_endpoint failing("app-2", fleet.endpointAddress(2), "app", "");
    failing.setMode(fake_endpoint_mode::ServerError);
    auto answer = lookUp(fleet, { &silent.reporter(), &failing });
    silent.resume();
    INFO(answer.time.count() << " ms" << entryLog(fleet));
    CHECK(answer.response.status == 500);
    CHECK(answer.time < milliseconds(5900));
}

TEST_CASE("A stream isn't at two engines for longer than they may both work on it", "[promise]")
{
    constexpr milliseconds maxOverlap { 400 };
    platform_fleet fleet;
    fleet.start();
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    fake_endpoint stalling("decode-1", fleet.endpointAddress(4), "llm", "decode");
    stalling.setMode(fake_endpoint_mode::StallMidStream);
    REQUIRE(fleet.sendReport(stalling).status == 200);
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    simple_response answer;
    std::thread caller([&] { answer = fleet.call(fleet.entryAddress(1), "POST", "/report/x", makeHeaders(), "the prompt"); });
    fake_endpoint slow("decode-2", fleet.endpointAddress(5), "llm", "decode");
    slow.setDelay(milliseconds(1500));
    endpoint_reporter reporter(fleet, { &stalling, &slow });
    CHECK(eventually([&] { return !slow.runCounts().empty(); }));
    std::this_thread::sleep_for(maxOverlap);
    auto log = entryLog(fleet);
    CHECK((log.find("event=stream_moves ") != std::string::npos || log.find("event=stream_stays ") != std::string::npos));
    stalling.setMode(fake_endpoint_mode::Normal);
    slow.setDelay(milliseconds(5));
    caller.join();
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
}

namespace {
/// How long the engine that is asked takes to refuse: longer than it may hold a stream beside the stream's own engine.
constexpr milliseconds refusalDelay { 600 };
/// First attempts that earn one retry.
constexpr int callsForOneRetry = 8;

/// An engine that refuses late, in front of a fleet whose entry has one retry left.
class late_refusal_fleet {
public:
    platform_fleet fleet { 1 };

    late_refusal_fleet()
        : m_refusing(fleet.endpointAddress(5), refuseLate)
        , m_refusingReport("decode-2", fleet.endpointAddress(105), "llm", "decode")
    {
        m_refusingReport.setReportedAddress(fleet.endpointAddress(5));
        fleet.start();
        REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    }

    /// Spends all retries but one, has a stream begin, and tells the entry of the engine that refuses.
    void beginStream(fake_endpoint& report)
    {
        // A leader that was started again grants no retries at first.
        fleet.control(1).kill();
        fleet.startControl(1, false);
        REQUIRE(eventually([&] { return fleet.sendReport(report).status == 200; }));
        m_reporter = std::make_unique<endpoint_reporter>(fleet, std::vector<fake_endpoint*> { &report });
        REQUIRE(eventually([&] { return call("ready", "/once/x").status == 200; }));
        for (int i = 1; i < callsForOneRetry; ++i)
            REQUIRE(call(fmt::format("before-{}", i), "/once/x").status == 200);
        onBeforeStream();
        m_caller = std::thread([this] { m_answer = call("one", "/report/x"); });
        m_reporter = std::make_unique<endpoint_reporter>(fleet, std::vector<fake_endpoint*> { &report, &m_refusingReport });
    }
    std::function<void()> onBeforeStream = [] {};

    bool isAskedToGoOn() const
    {
        return eventually([&] { return m_refusing.requestCounts().count("one") > 0; });
    }

    const simple_response& answer()
    {
        m_caller.join();
        return m_answer;
    }

private:
    static scripted_response refuseLate(const http_exchange::request&)
    {
        std::this_thread::sleep_for(refusalDelay);
        scripted_response refusal;
        refusal.status = 503;
        refusal.framing = body_framing::Length;
        refusal.end = connection_end::KeepOpen;
        refusal.headers = { { platform_names::notExecuted, "1" } };
        return refusal;
    }

    simple_response call(const std::string& id, const std::string& path) const
    {
        auto headers = makeHeaders();
        for (auto& [name, value] : headers)
            value = name == platform_names::requestId ? id : value;
        return fleet.call(fleet.entryAddress(1), "POST", path, headers, "the prompt");
    }

    scripted_endpoint m_refusing;
    fake_endpoint m_refusingReport;
    std::thread m_caller;
    simple_response m_answer;
    std::unique_ptr<endpoint_reporter> m_reporter;
};
}

TEST_CASE("A begun stream stays at its quiet engine while another one refuses it late and no retry is left", "[promise]")
{
    late_refusal_fleet late;
    fake_endpoint quiet("decode-1", late.fleet.endpointAddress(4), "llm", "decode");
    REQUIRE(late.fleet.sendReport(quiet).status == 200);
    late.onBeforeStream = [&] { quiet.setMode(fake_endpoint_mode::StallMidStream); };
    late.beginStream(quiet);
    REQUIRE(late.isAskedToGoOn());
    std::this_thread::sleep_for(refusalDelay + milliseconds(400));
    quiet.setMode(fake_endpoint_mode::Normal);
    const auto& answer = late.answer();
    INFO(answer.body << entryLog(late.fleet));
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
    CHECK(quiet.runCounts()["one"] == 1);
}

TEST_CASE("A begun stream stays at its paused engine while another one refuses it late and no retry is left", "[promise]")
{
    late_refusal_fleet late;
    endpoint_process paused(late.fleet, 4, { "llm", "decode", milliseconds(100), false });
    REQUIRE(late.fleet.sendReport(paused.reporter()).status == 200);
    late.beginStream(paused.reporter());
    std::this_thread::sleep_for(milliseconds(250));
    paused.pause();
    CHECK(late.isAskedToGoOn());
    std::this_thread::sleep_for(refusalDelay + milliseconds(200));
    paused.resume();
    const auto& answer = late.answer();
    INFO(answer.body << entryLog(late.fleet));
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
}
