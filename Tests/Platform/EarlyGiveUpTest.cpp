// Guards against requests that the entry takes from a silent endpoint before another one has them, and against streams that two
// endpoints work on.
#include "Platform/endpoint_process.h"
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

/// Sends a request to an endpoint that pauses before it answers, while another one refuses it.
void checkIsAnswered(const std::string& service, const std::string& stage, const std::string& method, const std::string& target)
{
    platform_fleet fleet;
    fleet.start();
    auto configuration = std::regex_replace(exampleConfiguration(7), std::regex("\"targetLatencyMs\":[0-9]*"), "\"targetLatencyMs\":100");
    REQUIRE(fleet.submitConfiguration(configuration) == 200);
    endpoint_process pausing(fleet, 1, { service, stage, milliseconds(300), false });
    endpoint_process refusing(fleet, 2, { service, stage, milliseconds(300), true });
    REQUIRE(fleet.sendReport(pausing.reporter()).status == 200);
    REQUIRE(eventually([&] { return fleet.isEntryReady(1) && entryLog(fleet).find("event=endpoint_known ") != std::string::npos; }));
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
