#include "Platform/platform_fleet.h"
#include "Platform/scripted_endpoint.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <regex>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// The example configuration without engines, so that its streams come from a plain service.
std::string plainConfiguration()
{
    return std::regex_replace(exampleConfiguration(7), std::regex(R"(,"engine":\{[^}]*\})"), "");
}

simple_response sendStreamRequest(const platform_fleet& fleet, const std::string& id)
{
    http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, id }, { platform_names::deadlineMs, "6000" } };
    return fleet.call(fleet.entryAddress(1), "POST", "/report/" + id, headers, "the prompt");
}

constexpr int events = 3;

std::string makeEvent(int number, const std::string& lineEnd)
{
    return fmt::format("id: {}{}data: piece {}{}{}", number, lineEnd, number, lineEnd, lineEnd);
}

std::string makeStream(int first, const std::string& lineEnd)
{
    std::string stream;
    for (int number = first; number <= events; ++number)
        stream += makeEvent(number, lineEnd);
    return stream;
}

/// Endpoints of a plain service that break off the first run of each stream.
class breaking_endpoints {
public:
    breaking_endpoints(platform_fleet& fleet, std::string lineEnd)
        : m_lineEnd(std::move(lineEnd))
    {
        for (int n = 1; n <= count; ++n) {
            m_reporters.push_back(std::make_unique<fake_endpoint>(fmt::format("llm-{}", n), fleet.endpointAddress(100 + n), "llm", ""));
            m_reporters.back()->setReportedAddress(fleet.endpointAddress(n));
            m_endpoints.push_back(std::make_unique<scripted_endpoint>(fleet.endpointAddress(n), [this](const http_exchange::request& request) { return respond(request); }));
        }
    }

    /// Sets the number of bytes that first runs send.
    void cutAt(std::size_t bytes) { m_cutAt = bytes; }
    std::vector<fake_endpoint*> reporters() const
    {
        std::vector<fake_endpoint*> all;
        for (const auto& reporter : m_reporters)
            all.push_back(reporter.get());
        return all;
    }

private:
    static constexpr int count = 6;

    scripted_response respond(const http_exchange::request& request)
    {
        scripted_response response;
        std::string id(request[platform_names::requestId]);
        std::lock_guard lock(m_mutex);
        response.framing = body_framing::Chunked;
        response.headers = { { platform_names::responseSeal, "s" }, { "Content-Type", "text/event-stream" } };
        std::string last(request[platform_names::lastEventId]);
        response.body = makeStream(last.empty() ? 1 : std::stoi(last) + 1, m_lineEnd);
        if (m_begun.insert(id).second) {
            response.body.resize(m_cutAt);
            response.truncated = true;
        }
        return response;
    }

    std::string m_lineEnd;
    std::atomic<std::size_t> m_cutAt { 0 };
    std::mutex m_mutex;
    std::set<std::string> m_begun;
    std::vector<std::unique_ptr<fake_endpoint>> m_reporters;
    std::vector<std::unique_ptr<scripted_endpoint>> m_endpoints;
};
}

// Guards against a stream in which half an event of a run that broke off is joined to the next run's first event.
TEST_CASE("A resumable stream of a service without engines arrives whole wherever its first run breaks off", "[promise]")
{
    std::string lineEnd = GENERATE("\n", "\r\n", "\r");
    platform_fleet fleet;
    fleet.start();
    breaking_endpoints endpoints(fleet, lineEnd);
    REQUIRE(fleet.submitConfiguration(plainConfiguration()) == 200);
    endpoint_reporter reporter(fleet, endpoints.reporters());
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    auto whole = makeStream(1, lineEnd);
    auto firstEvent = makeEvent(1, lineEnd).size();
    int resumed = 0;
    // All places in the second event, and two in the first.
    for (std::size_t cut = 1; cut <= 2 * firstEvent; cut = cut < firstEvent - 2 ? firstEvent - 2 : cut + 1) {
        endpoints.cutAt(cut);
        simple_response answer;
        // Endpoints that broke a connection are left alone for a moment.
        for (int attempt = 0; attempt < 20 && answer.status != 200; ++attempt) {
            std::this_thread::sleep_for(milliseconds(attempt == 0 ? 0 : 300));
            answer = sendStreamRequest(fleet, fmt::format("cut-{}-{}", cut, attempt));
        }
        INFO("cut behind " << cut << " bytes: " << answer.body);
        CHECK(answer.status == 200);
        // A stream that is cut off ends behind a whole event, and its caller knows that it isn't complete.
        CHECK((answer.body == whole || (answer.broken && whole.starts_with(answer.body))));
        resumed += !answer.broken && answer.body == whole ? 1 : 0;
    }
    INFO(readFile(fleet.folder() + "/entry-1.out"));
    CHECK(resumed > static_cast<int>(firstEvent) / 2);
}

// Guards against a stalled stream whose move to another endpoint goes by the settings of engines, which its service doesn't have.
TEST_CASE("A stalled resumable stream of a service without engines moves to another endpoint", "[promise]")
{
    platform_fleet fleet;
    fleet.start();
    fake_endpoint first("llm-1", fleet.endpointAddress(1), "llm", "");
    fake_endpoint second("llm-2", fleet.endpointAddress(2), "llm", "");
    first.setStreaming();
    second.setStreaming();
    first.setMode(fake_endpoint_mode::StallMidStream);
    second.setMode(fake_endpoint_mode::StallMidStream);
    REQUIRE(fleet.submitConfiguration(plainConfiguration()) == 200);
    endpoint_reporter reporter(fleet, { &first, &second });
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    simple_response answer;
    REQUIRE(eventually([&] {
        answer = sendStreamRequest(fleet, "one");
        return answer.status == 200;
    }));
    CHECK_FALSE(answer.broken);
    CHECK(first.runCounts().size() + second.runCounts().size() == 2);
    CHECK(answer.body.find(fmt::format("data: piece {}\n", fake_endpoint::eventsPerStream - 1)) != std::string::npos);
    auto log = readFile(fleet.folder() + "/entry-1.out");
    CHECK(log.find("event=stream_moves") != std::string::npos);
    first.setMode(fake_endpoint_mode::Normal);
    second.setMode(fake_endpoint_mode::Normal);
}
