// Guards against entries that refuse their callers while they alone reach no endpoint.
#include "Platform/platform_fleet.h"
#include "Platform/scripted_endpoint.h"
#include "platform_names.h"
#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <optional>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr int entryCount = 4;
/// An entry has to serve its callers from this long after it was cut off.
constexpr std::chrono::seconds contactTime { 3 };
/// Links that work again are used again within this time.
constexpr std::chrono::seconds healTime { 5 };

/// Four entries, three endpoints of the plain service, and three engines. Entries can be cut from all endpoints.
class partitioned_fleet {
public:
    platform_fleet platform { 3, entryCount };
    std::vector<std::unique_ptr<fake_endpoint>> endpoints;

    partitioned_fleet()
    {
        platform.makePartitionable();
        platform.start();
        REQUIRE(platform.submitConfiguration(exampleConfiguration(7, 100'000'000)) == 200);
        for (int n = 1; n <= 3; ++n)
            endpoints.push_back(std::make_unique<fake_endpoint>(fmt::format("app-{}", n), platform.endpointAddress(n), "app", ""));
        for (int n = 4; n <= 6; ++n)
            endpoints.push_back(std::make_unique<fake_endpoint>(fmt::format("engine-{}", n), platform.endpointAddress(n), "llm", n == 4 ? "prefill" : "decode"));
        std::vector<fake_endpoint*> reported;
        for (const auto& endpoint : endpoints)
            reported.push_back(endpoint.get());
        m_reporter.emplace(platform, reported);
        for (int n = 1; n <= entryCount; ++n)
            REQUIRE(eventually([&] { return platform.isEntryReady(n) && send(n, "/read/x").status == 200 && send(n, "/report/x").status == 200; }));
        // Entries hear of each other with their next syncs.
        std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    }

    simple_response send(int entry, const std::string& path, milliseconds deadline = milliseconds(5000))
    {
        auto id = fmt::format("id-{}", ++m_requestCount);
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, id },
            { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, std::to_string(deadline.count()) } };
        return platform.call(platform.entryAddress(entry), "POST", path, headers, id, deadline + milliseconds(1000));
    }

    /// Begins a stream at an entry and closes the connection after its first event.
    void leaveStream(int entry, const std::string& id)
    {
        boost::asio::io_context context;
        auto leave = [&]() -> task_of<void> {
            http_request call { "POST", "/once/x",
                { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, id }, { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, "8000" } },
                "prompt" };
            http_client client(context.get_executor());
            auto failed = co_await client.send(platform.entryAddress(entry), call, milliseconds(1000), milliseconds(1000));
            if (failed == call_failure::None)
                failed = co_await client.readHead(milliseconds(5000));
            std::string event;
            if (failed == call_failure::None)
                failed = co_await client.readPiece(event, milliseconds(5000));
            CHECK(failed == call_failure::None);
        };
        boost::asio::co_spawn(context, leave, boost::asio::detached);
        context.run();
    }

    /// Cuts the first entries from all endpoints: "hang", "reset" or "refuse" (partitioned_sockets.cpp).
    void cut(const std::string& mode, int entries)
    {
        for (int n = 1; n <= entries; ++n)
            platform.partitionEntry(n, mode);
    }

    void heal()
    {
        for (int n = 1; n <= entryCount; ++n)
            platform.partitionEntry(n, "");
    }

    /// Sends calls of all kinds to an entry in turn. Returns the share that was answered whole.
    double servedShare(int entry, int calls)
    {
        int served = 0;
        for (int i = 0; i < calls; ++i) {
            const std::array<std::string, 4> paths { "/read/x", "/book/x", "/report/x", "/once/x" };
            auto answer = send(entry, paths[i % paths.size()], milliseconds(2000));
            served += answer.status == 200 && !answer.broken ? 1 : 0;
        }
        return static_cast<double>(served) / calls;
    }

    /// Loads an entry until it counts as cut off: pooled connections may carry single calls on.
    bool becomesCutOff(int entry)
    {
        return eventually([&] {
            std::vector<std::thread> callers;
            for (int i = 0; i < 8; ++i)
                callers.emplace_back([&] { servedShare(entry, 4); });
            for (auto& caller : callers)
                caller.join();
            return entryLog(entry).find("event=endpoints_cut_off") != std::string::npos; }, contactTime);
    }

    /// No request that must run once has run more often.
    bool ranAtMostOnce() const
    {
        std::map<std::string, int> runs;
        for (const auto& endpoint : endpoints) {
            for (const auto& [id, count] : endpoint->runCounts())
                runs[id] += count;
        }
        return std::all_of(runs.begin(), runs.end(), [](const auto& item) { return item.second <= 1; });
    }

    std::string entryLog(int n) const { return readFile(fmt::format("{}/entry-{}.out", platform.folder(), n)); }

private:
    std::atomic<int> m_requestCount { 0 };
    std::optional<endpoint_reporter> m_reporter;
};
}

TEST_CASE("Entries that are cut from all endpoints serve their callers through others, and directly afterwards", "[promise]")
{
    std::string mode = GENERATE("hang", "reset", "refuse");
    int cutEntries = GENERATE(1, 2);
    INFO(mode << ", " << cutEntries << " of " << entryCount << " entries");
    partitioned_fleet fleet;
    fleet.cut(mode, cutEntries);
    auto cutAt = std::chrono::steady_clock::now();
    for (int n = 1; n <= cutEntries; ++n)
        CHECK(fleet.becomesCutOff(n));
    std::this_thread::sleep_until(cutAt + contactTime);
    for (int n = 1; n <= entryCount; ++n) {
        INFO("entry " << n);
        // Nothing is broken any more, so that every call can be served.
        CHECK(fleet.servedShare(n, 12) == 1);
    }
    CHECK(fleet.ranAtMostOnce());
    fleet.heal();
    CHECK(eventually([&] { return fleet.entryLog(1).find("event=endpoints_reached") != std::string::npos; }, healTime));
    CHECK(fleet.servedShare(1, 12) == 1);
}

// Guards against callers that wait until their deadlines at entries that nobody can help.
TEST_CASE("Calls are refused at once with a time to come back while no entry reaches an endpoint", "[promise]")
{
    partitioned_fleet fleet;
    fleet.cut("refuse", entryCount);
    std::this_thread::sleep_for(contactTime);
    for (int n = 1; n <= entryCount; ++n) {
        auto sentAt = std::chrono::steady_clock::now();
        auto answer = fleet.send(n, "/book/x");
        INFO("entry " << n << ": " << answer.status);
        CHECK(answer.status == 503);
        CHECK_FALSE(answer.header("Retry-After").empty());
        CHECK(std::chrono::steady_clock::now() - sentAt < std::chrono::seconds(1));
    }
    fleet.heal();
    CHECK(eventually([&] { return fleet.send(1, "/book/x").status == 200; }, healTime));
}

// Guards against runs that go on after their caller has left, because another entry carries their connection.
TEST_CASE("A relayed stream ends at its engine when its caller leaves", "[promise]")
{
    partitioned_fleet fleet;
    fleet.cut("refuse", 1);
    REQUIRE(fleet.becomesCutOff(1));
    for (const auto& endpoint : fleet.endpoints)
        endpoint->setDelay(milliseconds(300));
    fleet.leaveStream(1, "left");
    // Longer than the rest of the stream takes.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    int runs = 0;
    for (const auto& endpoint : fleet.endpoints) {
        auto counts = endpoint->runCounts();
        runs += counts.count("left") ? counts.at("left") : 0;
        CHECK(endpoint->completedStreams().count("left") == 0);
    }
    CHECK(runs == 1);
    CHECK(fleet.entryLog(1).find("request=left route=once organisation=org-1 version=7 outcome=caller_gone") != std::string::npos);
}

// Guards against streams that are taken for complete, or calls that run twice, because the entry that carried them ended.
TEST_CASE("A relayed call survives the SIGTERM of its relay and is broken off by its kill", "[promise]")
{
    partitioned_fleet fleet;
    fleet.cut("refuse", entryCount - 1);
    REQUIRE(fleet.becomesCutOff(1));
    for (const auto& endpoint : fleet.endpoints)
        endpoint->setDelay(milliseconds(400));
    int signal = GENERATE(SIGTERM, SIGKILL);
    simple_response answer;
    std::thread caller([&] { answer = fleet.send(1, "/once/x", milliseconds(6000)); });
    // Behind the prompt and the first events.
    std::this_thread::sleep_for(std::chrono::milliseconds(1800));
    fleet.platform.entry(entryCount).signal(signal);
    caller.join();
    INFO("signal " << signal << ": " << answer.status << " " << answer.body);
    CHECK(answer.status == 200);
    CHECK(answer.broken == (signal == SIGKILL));
    CHECK(fleet.ranAtMostOnce());
}

// Guards against outsiders that use an entry to reach endpoints.
TEST_CASE("Only those who know an entry's token are relayed", "[promise]")
{
    partitioned_fleet fleet;
    auto answer = fleet.platform.call(fleet.platform.entryIp(1) + ":7515", "POST", "/book/x", {}, "x", milliseconds(2000));
    CHECK(answer.broken);
    CHECK(answer.status == 0);
    CHECK(eventually([&] { return fleet.entryLog(1).find("event=relay_refused") != std::string::npos; }));
}
