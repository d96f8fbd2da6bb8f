// Guards against answers that the entry ends because an endpoint is silent for a second, although the endpoint would have
// finished them.
#include "Platform/endpoint_process.h"
#include "platform_names.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
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

    explicit pausing_fleet(const std::vector<endpoint_process::options>& endpoints)
    {
        platform.start();
        REQUIRE(platform.submitConfiguration(exampleConfiguration(m_version)) == 200);
        std::vector<fake_endpoint*> reporters;
        for (const auto& options : endpoints) {
            m_endpoints.push_back(std::make_unique<endpoint_process>(platform, static_cast<int>(m_endpoints.size()) + 1, options));
            reporters.push_back(&m_endpoints.back()->reporter());
        }
        m_reporter = std::make_unique<endpoint_reporter>(platform, reporters);
        REQUIRE(eventually([&] { return platform.isEntryReady(1) && knowsEndpoints(); }));
    }

    endpoint_process& endpoint(std::size_t n) { return *m_endpoints.at(n - 1); }

    /// Stops all endpoints.
    void pauseAll()
    {
        for (const auto& endpoint : m_endpoints)
            endpoint->pause();
    }

    void resumeAll()
    {
        for (const auto& endpoint : m_endpoints)
            endpoint->resume();
    }

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
    bool knowsEndpoints() const
    {
        auto log = entryLog();
        return std::all_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& endpoint) { return log.find("event=endpoint_known endpoint=" + endpoint->reporter().id() + " ") != std::string::npos; });
    }

    std::uint64_t m_version = 7;
    std::vector<std::unique_ptr<endpoint_process>> m_endpoints;
    std::unique_ptr<endpoint_reporter> m_reporter;
    std::deque<simple_response> m_answers;
    std::deque<std::thread> m_callers;
};

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
