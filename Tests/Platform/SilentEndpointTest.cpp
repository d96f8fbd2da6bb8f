// Guards against answers that the entry ends because an endpoint is silent for a second, although the endpoint would have
// finished them.
#include "Platform/endpoint_process.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <regex>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr milliseconds eventInterval { 150 };
constexpr milliseconds pauseTime { 1200 };

/// An entry and endpoints whose processes the test stops.
class pausing_fleet {
public:
    platform_fleet platform;

    explicit pausing_fleet(const std::vector<endpoint_process::options>& endpoints, const std::string& configuration = exampleConfiguration(7))
    {
        platform.start();
        REQUIRE(platform.submitConfiguration(configuration) == 200);
        m_endpoints.emplace(platform, endpoints);
        REQUIRE(eventually([&] { return platform.isEntryReady(1) && m_endpoints->areKnownTo(entryLog()); }));
    }

    endpoint_process& endpoint(std::size_t n) { return m_endpoints->at(n); }
    void pauseAll() const { m_endpoints->pauseAll(); }
    void resumeAll() const { m_endpoints->resumeAll(); }

    /// Sends a request on its own thread. Precondition: the fleet outlives the thread.
    void send(const std::string& method, const std::string& target, milliseconds deadline)
    {
        auto id = fmt::format("call-{}", m_answers.size());
        m_answers.emplace_back();
        m_callers.emplace_back([this, id, method, target, deadline, &answer = m_answers.back()] {
            http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, id },
                { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, std::to_string(deadline.count()) } };
            answer = platform.call(platform.entryAddress(1), method, target, headers, method == "GET" ? "" : "prompt " + id, deadline);
        });
    }

    /// Waits for the answers to all requests.
    const std::deque<simple_response>& answers()
    {
        for (auto& caller : m_callers) {
            if (caller.joinable())
                caller.join();
        }
        return m_answers;
    }

    std::string entryLog() const { return readFile(platform.folder() + "/entry-1.out"); }

private:
    std::optional<endpoint_processes> m_endpoints;
    std::deque<simple_response> m_answers;
    std::deque<std::thread> m_callers;
};

/// The example configuration with another value of a field.
std::string configurationWith(const std::string& field, const std::string& value)
{
    return std::regex_replace(exampleConfiguration(7), std::regex("\"" + field + "\":[^,}]*"), "\"" + field + "\":" + value);
}

bool isWholeStream(const simple_response& answer)
{
    auto at = std::string::npos;
    for (int i = 0; i < fake_endpoint::eventsPerStream; ++i) {
        auto next = answer.body.find(fmt::format("data: piece {}\n", i));
        if (next == std::string::npos || (at != std::string::npos && next < at))
            return false;
        at = next;
    }
    return answer.status == 200 && !answer.broken;
}

const endpoint_process::options decode { "llm", "decode", eventInterval, false };
const endpoint_process::options refusingDecode { "llm", "decode", eventInterval, true };
}

TEST_CASE("A stream whose engine pauses stays there while the other engines pause for longer", "[promise]")
{
    pausing_fleet fleet({ decode, decode, decode });
    for (int i = 0; i < 6; ++i)
        fleet.send("POST", "/report/x", milliseconds(6000));
    std::this_thread::sleep_for(3 * eventInterval);
    fleet.pauseAll();
    std::this_thread::sleep_for(pauseTime);
    fleet.endpoint(1).resume();
    std::this_thread::sleep_for(milliseconds(800));
    fleet.resumeAll();
    for (const auto& answer : fleet.answers()) {
        INFO(answer.status << " " << answer.body << fleet.entryLog());
        CHECK(isWholeStream(answer));
    }
}

TEST_CASE("A stream whose engine pauses stays there while the other engine refuses it", "[promise]")
{
    pausing_fleet fleet({ decode });
    endpoint_process refusing(fleet.platform, 2, refusingDecode);
    for (int i = 0; i < 6; ++i)
        fleet.send("POST", "/report/x", milliseconds(6000));
    std::this_thread::sleep_for(2 * eventInterval);
    endpoint_reporter reporter(fleet.platform, { &refusing.reporter() });
    std::this_thread::sleep_for(eventInterval);
    fleet.pauseAll();
    std::this_thread::sleep_for(pauseTime + milliseconds(400));
    fleet.resumeAll();
    for (const auto& answer : fleet.answers()) {
        INFO(answer.status << " " << answer.body << fleet.entryLog());
        CHECK(isWholeStream(answer));
    }
}

TEST_CASE("A stream whose engine crashes goes on at an engine that pauses", "[promise]")
{
    pausing_fleet fleet({ decode });
    endpoint_process second(fleet.platform, 2, decode);
    for (int i = 0; i < 6; ++i)
        fleet.send("POST", "/report/x", milliseconds(6000));
    std::this_thread::sleep_for(2 * eventInterval);
    endpoint_reporter reporter(fleet.platform, { &second.reporter() });
    std::this_thread::sleep_for(eventInterval);
    second.pause();
    fleet.endpoint(1).kill();
    std::this_thread::sleep_for(pauseTime);
    second.resume();
    for (const auto& answer : fleet.answers()) {
        INFO(answer.status << " " << answer.body << fleet.entryLog());
        CHECK(isWholeStream(answer));
    }
}

TEST_CASE("A stream that falls silent together with all engines isn't sent to another one", "[promise]")
{
    pausing_fleet fleet({ decode, decode, decode });
    for (int i = 0; i < 9; ++i)
        fleet.send("POST", "/report/x", milliseconds(6000));
    fleet.answers();
    for (int i = 0; i < 6; ++i)
        fleet.send("POST", "/report/x", milliseconds(6000));
    std::this_thread::sleep_for(3 * eventInterval);
    fleet.pauseAll();
    std::this_thread::sleep_for(pauseTime);
    fleet.resumeAll();
    for (const auto& answer : fleet.answers())
        CHECK(isWholeStream(answer));
    auto log = fleet.entryLog();
    INFO(log);
    CHECK(log.find(" sends=1 ") != std::string::npos);
    CHECK(log.find(" sends=2 ") == std::string::npos);
}

TEST_CASE("A stalled stream that moves takes no prefill handle along that its engine has used", "[promise]")
{
    platform_fleet fleet;
    fleet.start();
    REQUIRE(fleet.submitConfiguration(configurationWith("handleTtlS", "10")) == 200);
    fake_endpoint prefill("prefill-1", fleet.endpointAddress(3), "llm", "prefill");
    fake_endpoint decode1("decode-1", fleet.endpointAddress(4), "llm", "decode");
    fake_endpoint decode2("decode-2", fleet.endpointAddress(5), "llm", "decode");
    decode1.setMode(fake_endpoint_mode::StallMidStream);
    decode2.setMode(fake_endpoint_mode::StallMidStream);
    for (auto* endpoint : { &prefill, &decode1, &decode2 })
        REQUIRE(fleet.sendReport(*endpoint).status == 200);
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "one" }, { platform_names::tokenUsage, "500,432" } };
    auto answer = fleet.call(fleet.entryAddress(1), "POST", "/report/x", headers, "the prompt");
    INFO(readFile(fleet.folder() + "/entry-1.out"));
    CHECK(isWholeStream(answer));
    auto prefills = prefill.arrivalRecords();
    auto handles = std::count_if(prefills.begin(), prefills.end(), [](const auto& arrival) { return arrival.isAcceptedPrefill; });
    int used = 0;
    for (auto* engine : { &decode1, &decode2 }) {
        for (const auto& line : engine->takeRequestLog())
            used += line.find(platform_names::kvSource) != std::string::npos ? 1 : 0;
    }
    CHECK(handles >= 1);
    CHECK(used <= handles);
    CHECK(decode1.runCounts().size() + decode2.runCounts().size() == 2);
}
