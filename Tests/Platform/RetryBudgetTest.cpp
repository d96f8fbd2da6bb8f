// Guards against entries that together send more retries to a service than the budget of the fleet allows.
#include "Platform/platform_fleet.h"
#include "Platform/retry_accounting.h"
#include "platform_names.h"
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <optional>
#include <random>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr int entryCount = 6;
constexpr int controlCount = 3;
constexpr int serviceEndpoints = 5;
constexpr int engines = 6;

/// Six entries, five endpoints of a plain service, and two engines that process prompts beside four that write streams.
class budget_fleet {
public:
    platform_fleet platform { controlCount, entryCount };
    std::vector<std::unique_ptr<fake_endpoint>> endpoints;

    budget_fleet()
    {
        platform.makePartitionable();
        platform.start();
        REQUIRE(platform.submitConfiguration(exampleConfiguration(7, 100'000'000)) == 200);
        for (int n = 1; n <= serviceEndpoints; ++n)
            endpoints.push_back(std::make_unique<fake_endpoint>(fmt::format("app-{}", n), platform.endpointAddress(n), "app", ""));
        for (int n = 1; n <= engines; ++n)
            endpoints.push_back(std::make_unique<fake_endpoint>(fmt::format("engine-{}", n), platform.endpointAddress(serviceEndpoints + n), "llm", n <= 2 ? "prefill" : "decode"));
        std::vector<fake_endpoint*> reported;
        for (const auto& endpoint : endpoints)
            reported.push_back(endpoint.get());
        m_reporter.emplace(platform, reported);
        for (int n = 1; n <= entryCount; ++n)
            waitUntilServing(n);
        // Entries hear of their number with their next syncs.
        std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    }

    void waitUntilServing(int entry)
    {
        REQUIRE(eventually([&] { return platform.isEntryReady(entry); }, std::chrono::seconds(20)));
    }

    simple_response send(int entry, const std::string& path)
    {
        auto id = fmt::format("id-{}", ++m_requestCount);
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, id },
            { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, "3000" } };
        (path.substr(0, 6) == "/read/" ? m_service : m_model).recordSent(std::chrono::steady_clock::now());
        return platform.call(platform.entryAddress(entry), "POST", path, headers, id, milliseconds(4000));
    }

    void setServiceModes(fake_endpoint_mode mode) { setModes(0, serviceEndpoints, mode); }
    void setPrefillModes(fake_endpoint_mode mode) { setModes(serviceEndpoints, serviceEndpoints + 2, mode); }
    void setDecodeModes(fake_endpoint_mode mode) { setModes(serviceEndpoints + 2, serviceEndpoints + engines, mode); }

    /// Sends requests to all entries, as several callers that each wait for their answers, until it is destroyed.
    class traffic {
    public:
        traffic(budget_fleet& fleet, std::vector<std::string> paths, milliseconds pause, int callersPerEntry = 1)
        {
            for (int caller = 0; caller < entryCount * callersPerEntry; ++caller) {
                m_callers.emplace_back([this, &fleet, paths, pause, entry = 1 + caller % entryCount] {
                    for (std::size_t i = 0; !m_stopped; ++i) {
                        served += fleet.send(entry, paths[i % paths.size()]).status == 200 ? 1 : 0;
                        ++sent;
                        std::this_thread::sleep_for(pause);
                    }
                });
            }
        }
        ~traffic()
        {
            m_stopped = true;
            for (auto& caller : m_callers)
                caller.join();
        }
        std::atomic<int> sent { 0 };
        std::atomic<int> served { 0 };

    private:
        std::atomic<bool> m_stopped { false };
        std::vector<std::thread> m_callers;
    };

    window_retries worstServiceWindow() { return worstWindow(m_service, 0, serviceEndpoints); }
    window_retries worstModelWindow() { return worstWindow(m_model, serviceEndpoints, serviceEndpoints + engines); }

private:
    void setModes(int first, int end, fake_endpoint_mode mode)
    {
        for (int n = first; n < end; ++n)
            endpoints[static_cast<std::size_t>(n)]->setMode(mode);
    }

    window_retries worstWindow(retry_accounting& accounting, int first, int end)
    {
        for (int n = first; n < end; ++n)
            accounting.addArrivals(*endpoints[static_cast<std::size_t>(n)]);
        return accounting.worstWindow({});
    }

    retry_accounting m_service;
    retry_accounting m_model;
    std::atomic<int> m_requestCount { 0 };
    std::optional<endpoint_reporter> m_reporter;
};

void checkBudget(const window_retries& worst)
{
    CAPTURE(worst.retries, worst.allowed);
    CHECK(worst.retries <= worst.allowed);
}
}

// Guards against entries that forget at each restart which retries of the window they have made.
TEST_CASE("Entries that are killed in series don't exceed the retry budget", "[promise]")
{
    budget_fleet fleet;
    fleet.setServiceModes(fake_endpoint_mode::RejectNotExecuted);
    for (int round = 0; round < 5; ++round) {
        std::vector<std::thread> callers;
        for (int entry = 1; entry <= entryCount; ++entry)
            callers.emplace_back([&fleet, entry] { fleet.send(entry, "/read/x"); });
        for (auto& caller : callers)
            caller.join();
        for (int entry = 1; entry <= entryCount; ++entry)
            fleet.platform.restartEntry(entry);
        for (int entry = 1; entry <= entryCount; ++entry)
            fleet.waitUntilServing(entry);
    }
    checkBudget(fleet.worstServiceWindow());
}

// Guards against shares of the budget that grow because a new leader has heard of few entries.
TEST_CASE("Changes of the leader don't multiply the retry budget", "[promise]")
{
    budget_fleet fleet;
    fleet.setServiceModes(fake_endpoint_mode::RejectNotExecuted);
    {
        budget_fleet::traffic traffic(fleet, { "/read/x" }, milliseconds(30));
        for (int change = 0; change < 3; ++change) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1500));
            REQUIRE(fleet.platform.replaceLeader());
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    }
    checkBudget(fleet.worstServiceWindow());
}

// Guards against prefill requests that are sent without regard to the budget, and against refusing calls that need none.
TEST_CASE("Endpoints that refuse or fail all prefills neither exceed the retry budget nor stop the service", "[promise]")
{
    auto mode = GENERATE(fake_endpoint_mode::RejectNotExecuted, fake_endpoint_mode::AbortBeforeResponse);
    budget_fleet fleet;
    fleet.setPrefillModes(mode);
    double servedShare = 0;
    {
        budget_fleet::traffic traffic(fleet, { "/report/x", "/once/x" }, milliseconds(100), 4);
        std::this_thread::sleep_for(std::chrono::seconds(8));
        servedShare = traffic.served / std::max(1.0, static_cast<double>(traffic.sent));
    }
    checkBudget(fleet.worstModelWindow());
    CHECK(servedShare >= 0.9);
}

// Guards against retries that are lost because one entry needs more of the budget than others.
TEST_CASE("One entry may use what the other entries leave of the retry budget", "[promise]")
{
    budget_fleet fleet;
    // Each stream breaks off once and is then continued by another engine.
    fleet.setDecodeModes(fake_endpoint_mode::AbortMidStream);
    std::atomic<int> whole { 0 };
    constexpr int streams = 16;
    std::vector<std::thread> callers;
    for (int i = 0; i < streams; ++i) {
        callers.emplace_back([&] {
            auto answer = fleet.send(1, "/report/x");
            whole += answer.status == 200 && !answer.broken ? 1 : 0;
        });
    }
    for (auto& caller : callers)
        caller.join();
    CHECK(whole == streams);
    checkBudget(fleet.worstModelWindow());
}

// Guards against faults that keep to the budget one by one but not together.
TEST_CASE("Entries killed and cut off, a lost leader and failing endpoints together don't exceed the retry budget", "[promise]")
{
    auto seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto pick = [&](int count) { return static_cast<int>(random() % static_cast<unsigned>(count)); };
    const std::vector<fake_endpoint_mode> failures { fake_endpoint_mode::RejectNotExecuted, fake_endpoint_mode::AbortBeforeResponse, fake_endpoint_mode::AbortMidStream,
        fake_endpoint_mode::ServerError, fake_endpoint_mode::OmitSeal };
    const std::vector<std::string> cuts { "hang", "reset", "refuse" };
    budget_fleet fleet;
    {
        budget_fleet::traffic traffic(fleet, { "/read/x", "/report/x", "/once/x" }, milliseconds(40));
        for (int step = 0; step < 16; ++step) {
            for (const auto& endpoint : fleet.endpoints)
                endpoint->setMode(pick(4) == 0 ? fake_endpoint_mode::Normal : failures[static_cast<std::size_t>(pick(static_cast<int>(failures.size())))]);
            fleet.platform.restartEntry(1 + pick(entryCount));
            fleet.platform.restartEntry(1 + pick(entryCount));
            fleet.platform.partitionEntry(1 + pick(entryCount), pick(2) == 0 ? "" : cuts[static_cast<std::size_t>(pick(3))]);
            if (step % 5 == 2)
                REQUIRE(fleet.platform.replaceLeader());
            std::this_thread::sleep_for(milliseconds(300 + pick(400)));
        }
    }
    checkBudget(fleet.worstServiceWindow());
    checkBudget(fleet.worstModelWindow());
}
