#include "Platform/platform_fleet.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <csignal>
#include <regex>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// A fleet with a single decode engine.
class single_engine_fleet {
public:
    platform_fleet platform;
    fake_endpoint decode;

    single_engine_fleet()
        : decode("decode-1", platform.endpointAddress(4), "llm", "decode")
    {
        platform.start();
        REQUIRE(platform.submitConfiguration(exampleConfiguration(7)) == 200);
        REQUIRE(platform.sendReport(decode).status == 200);
        REQUIRE(eventually([&] { return platform.isEntryReady(1); }));
    }

    simple_response sendStreamRequest(const std::string& path, const std::string& id, milliseconds deadline = milliseconds(6000)) const
    {
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, id },
            { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, std::to_string(deadline.count()) } };
        return platform.call(platform.entryAddress(1), "POST", path, headers, "the prompt");
    }

    /// The entry's log lines with this event name and request ID.
    std::string logLines(const std::string& event, const std::string& id) const
    {
        std::istringstream log(readFile(platform.folder() + "/entry-1.out"));
        std::string matches;
        for (std::string line; std::getline(log, line);) {
            if (line.find("event=" + event + " ") != std::string::npos && line.find("request=" + id + " ") != std::string::npos)
                matches += line + "\n";
        }
        return matches;
    }

    /// Waits for an answer_cut line with this reason.
    bool logsCutReason(const std::string& id, const std::string& cutReason) const
    {
        return eventually([&] { return logLines("answer_cut", id).find(" why=" + cutReason + " ") != std::string::npos; }, std::chrono::seconds(5));
    }
};
}

// Guards against the entry cutting a preempted stream during configuration changes when no other engine has capacity.
TEST_CASE("A preempted stream completes across configuration changes when no other engine has capacity", "[promise]")
{
    single_engine_fleet fleet;
    std::string path = GENERATE("/report/x", "/once/x");
    fleet.decode.setMode(fake_endpoint_mode::StallMidStream);
    simple_response answer;
    std::thread caller([&] { answer = fleet.sendStreamRequest(path, "one"); });
    CHECK(eventually([&] { return !fleet.decode.runCounts().empty(); }));
    for (std::uint64_t version = 8; version <= 11; ++version) {
        std::this_thread::sleep_for(milliseconds(450));
        CHECK(fleet.platform.submitConfiguration(exampleConfiguration(version)) == 200);
    }
    fleet.decode.setMode(fake_endpoint_mode::Normal);
    caller.join();
    INFO(path << " " << answer.body);
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
    CHECK(answer.body.find(fmt::format("data: piece {}\n", fake_endpoint::eventsPerStream - 1)) != std::string::npos);
    CHECK(fleet.decode.runCounts() == std::map<std::string, int> { { "one", 1 } });
    CHECK(fleet.logLines("answer_cut", "one").empty());
}

// Guards against a stream being cut without a logged reason.
TEST_CASE("The log states why a stream was cut after it had begun", "[promise]")
{
    single_engine_fleet fleet;
    SECTION("its engine fails and the call must not run twice")
    {
        fleet.decode.setMode(fake_endpoint_mode::AbortMidStream);
        CHECK(fleet.sendStreamRequest("/once/x", "one").broken);
        CHECK(fleet.logsCutReason("one", "not_idempotent"));
    }
    SECTION("its engine fails and no other has capacity")
    {
        fleet.decode.setMode(fake_endpoint_mode::AbortMidStream);
        fleet.decode.setDelay(milliseconds(300));
        simple_response answer;
        std::thread caller([&] { answer = fleet.sendStreamRequest("/report/x", "one"); });
        CHECK(eventually([&] { return !fleet.decode.runCounts().empty(); }));
        CHECK(fleet.platform.sendReport(fleet.decode, "draining").status == 200);
        caller.join();
        CHECK(answer.broken);
        CHECK(fleet.logsCutReason("one", "no_endpoint"));
    }
    SECTION("the caller's deadline passes")
    {
        fleet.decode.setMode(fake_endpoint_mode::StallMidStream);
        CHECK(fleet.sendStreamRequest("/report/x", "one", milliseconds(1200)).broken);
        CHECK(fleet.logsCutReason("one", "deadline"));
        CHECK(fleet.logLines("answer_cut", "one").find(" deadline_ms=1200 ") != std::string::npos);
    }
    SECTION("its entry shuts down")
    {
        // The route timeout must exceed the shutdown grace period.
        auto longTimeoutConfiguration = std::regex_replace(exampleConfiguration(8), std::regex(R"("timeoutMs":6000)"), R"("timeoutMs":60000)");
        REQUIRE(fleet.platform.submitConfiguration(longTimeoutConfiguration) == 200);
        REQUIRE(eventually([&] { return readFile(fleet.platform.folder() + "/entry-1.out").find("event=configuration_applied version=8 ") != std::string::npos; }));
        fleet.decode.setDelay(milliseconds(2500));
        simple_response answer;
        std::thread caller([&] { answer = fleet.sendStreamRequest("/once/x", "one", milliseconds(60000)); });
        CHECK(eventually([&] { return !fleet.decode.runCounts().empty(); }));
        fleet.platform.entry(1).signal(SIGTERM);
        caller.join();
        CHECK(answer.broken);
        CHECK(fleet.logsCutReason("one", "shutdown"));
    }
}
