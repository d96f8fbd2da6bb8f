#include "Platform/platform_fleet.h"
#include "platform_names.h"
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr int entryCount = 7;
constexpr int engineCount = 6;
constexpr milliseconds reportInterval { 300 };

/// Seven entries and six decode engines. Each engine is reported periodically until it crashes.
class crashing_fleet {
public:
    platform_fleet platform { 3, entryCount };

    crashing_fleet()
    {
        platform.start();
        REQUIRE(platform.submitConfiguration(exampleConfiguration(7)) == 200);
        for (int n = 1; n <= engineCount; ++n)
            m_engines.push_back(std::make_unique<fake_endpoint>(fmt::format("decode-{}", n), platform.endpointAddress(n), "llm", "decode"));
        m_reporter = std::thread([this] {
            while (!m_stopped) {
                reportAll();
                std::this_thread::sleep_for(reportInterval);
            }
        });
        for (int n = 1; n <= entryCount; ++n)
            REQUIRE(eventually([&] { return platform.isEntryReady(n) && sendRequest(n, "/report/x", "warm up").status == 200; }));
    }

    ~crashing_fleet()
    {
        m_stopped = true;
        m_reporter.join();
    }

    simple_response sendRequest(int entry, const std::string& path, const std::string& body)
    {
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, fmt::format("id-{}", ++m_requestCount) },
            { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, "5000" } };
        return platform.call(platform.entryAddress(entry), "POST", path, headers, body);
    }

    int crashCount()
    {
        std::lock_guard lock(m_mutex);
        return m_crashesBefore + static_cast<int>(std::count_if(m_engines.begin(), m_engines.end(), [](const auto& engine) { return engine->crashed(); }));
    }

    /// Restarts crashed engines, each under a new name at its old address.
    void restartCrashed()
    {
        std::lock_guard lock(m_mutex);
        for (auto& engine : m_engines) {
            if (!engine->crashed())
                continue;
            ++m_crashesBefore;
            auto id = engine->id() + "-again";
            auto address = engine->address();
            engine.reset();
            engine = std::make_unique<fake_endpoint>(id, address, "llm", "decode");
            engine->setStartTime(fake_endpoint::firstStartTime + m_crashesBefore);
        }
    }

    void setDelays(milliseconds delay)
    {
        std::lock_guard lock(m_mutex);
        for (auto& engine : m_engines)
            engine->setDelay(delay);
    }

    /// Sends a request, and crashes the engine that runs it by a cause of its own.
    void crashUnder(int entry, const std::string& path, const std::string& body)
    {
        setDelays(std::chrono::milliseconds(500));
        auto id = fmt::format("id-{}", m_requestCount + 1);
        auto call = std::async(std::launch::async, [&] { return sendRequest(entry, path, body); });
        CHECK(eventually([&] { return crashRunning(id); }));
        call.get();
        setDelays(milliseconds(5));
    }

    void setModes(fake_endpoint_mode mode)
    {
        std::lock_guard lock(m_mutex);
        for (auto& engine : m_engines)
            engine->setMode(mode);
    }

    /// Whether the entry knows no leader according to its log.
    bool hasLostLeader(int entry) const
    {
        auto log = readFile(fmt::format("{}/entry-{}.out", platform.folder(), entry));
        auto lost = log.rfind("event=control_lost");
        auto found = log.rfind("event=control_found");
        return lost != std::string::npos && (found == std::string::npos || found < lost);
    }

private:
    /// Crashes the engine that a request reached. Returns false if there is none.
    bool crashRunning(const std::string& requestId)
    {
        std::lock_guard lock(m_mutex);
        for (auto& engine : m_engines) {
            if (engine->runCounts().count(requestId) == 0)
                continue;
            engine->crash();
            return true;
        }
        return false;
    }

    void reportAll()
    {
        std::lock_guard lock(m_mutex);
        for (auto& engine : m_engines) {
            for (int control = 1; control <= platform.controls() && !engine->crashed(); ++control) {
                if (platform.sendReport(*engine, "ready", control).status == 200)
                    break;
            }
        }
    }

    std::mutex m_mutex;
    std::vector<std::unique_ptr<fake_endpoint>> m_engines;
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_requestCount { 0 };
    int m_crashesBefore = 0;
    std::thread m_reporter;
};

const std::string poisonBody = "please CRASH-ENDPOINT now";
}

// Guards against entries that do not share crash reports, so that one request crashes further endpoints through each entry.
TEST_CASE("A poison request sent through seven entries in turn crashes at most two endpoints", "[promise]")
{
    crashing_fleet fleet;
    std::string path = GENERATE("/report/x", "/once/x");
    for (int entry = 1; entry <= entryCount; ++entry) {
        auto answer = fleet.sendRequest(entry, path, poisonBody);
        INFO("entry " << entry << ": " << answer.status << " " << answer.body);
        bool refused = answer.status == 503 || answer.status == 422;
        CHECK((refused || fleet.crashCount() <= 2));
        if (answer.status == 503)
            CHECK_FALSE(answer.header("Retry-After").empty());
    }
    CHECK(fleet.crashCount() == 2);
    // A reused connection that was opened before a crash may still break once.
    CHECK(eventually([&] { return fleet.sendRequest(1, path, "a good request").status == 200; }, std::chrono::seconds(5)));

    // Endpoints that restart under new names make the crashes certain, which turns 503 into 422.
    fleet.restartCrashed();
    for (int entry = 1; entry <= entryCount; ++entry)
        CHECK(eventually([&] { return fleet.sendRequest(entry, path, poisonBody).status == 422; }, std::chrono::seconds(10)));
    CHECK(fleet.crashCount() == 2);

    // Guards against losing the blocks when the leader changes.
    auto leader = fleet.platform.findLeader();
    REQUIRE(leader > 0);
    fleet.platform.control(leader).kill();
    for (int entry = 1; entry <= entryCount; ++entry)
        CHECK(fleet.sendRequest(entry, path, poisonBody).status == 422);
    CHECK(eventually([&] { return fleet.platform.findLeader(leader) != 0; }));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (int entry = 1; entry <= entryCount; ++entry)
        CHECK(fleet.sendRequest(entry, path, poisonBody).status == 422);
    CHECK(fleet.crashCount() == 2);
    CHECK(eventually([&] { return fleet.sendRequest(1, path, "a good request").status == 200; }));
}

// Guards against refusing a request permanently when only connections broke while endpoints ran it.
TEST_CASE("A request whose streams broke at running endpoints is served again", "[promise]")
{
    crashing_fleet fleet;
    fleet.setModes(fake_endpoint_mode::AbortMidStream);
    for (int entry = 1; entry <= 3; ++entry)
        fleet.sendRequest(entry, "/once/x", "the prompt");
    fleet.setModes(fake_endpoint_mode::Normal);
    CHECK(eventually([&] { return fleet.sendRequest(4, "/once/x", "the prompt").status == 200; }, std::chrono::seconds(10)));
}

// Guards against a new leader that has forgotten the crashes that its predecessor suspected.
TEST_CASE("A poison request stays blocked when the leader is killed before its crashes are certain", "[promise]")
{
    crashing_fleet fleet;
    auto leader = fleet.platform.findLeader();
    REQUIRE(leader > 0);
    for (int entry = 1; entry <= 3; ++entry)
        fleet.sendRequest(entry, "/once/x", poisonBody);
    REQUIRE(fleet.crashCount() == 2);
    fleet.platform.control(leader).kill();
    REQUIRE(eventually([&] { return fleet.platform.findLeader(leader) != 0; }, std::chrono::seconds(10)));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    for (int entry = 1; entry <= entryCount; ++entry)
        fleet.sendRequest(entry, "/once/x", poisonBody);
    CHECK(fleet.crashCount() == 2);
}

// Guards against an entry that forgets the crashes that it saw while no leader was known.
TEST_CASE("A poison request that crashed two endpoints without a leader crashes no third one", "[promise]")
{
    crashing_fleet fleet;
    for (int n = 1; n <= fleet.platform.controls(); ++n)
        fleet.platform.control(n).kill();
    REQUIRE(eventually([&] { return fleet.hasLostLeader(1); }));
    for (int attempt = 1; attempt <= 4; ++attempt)
        fleet.sendRequest(1, "/once/x", poisonBody);
    CHECK(fleet.crashCount() == 2);
    for (int n = 1; n <= fleet.platform.controls(); ++n)
        fleet.platform.startControl(n, false);
    for (int entry = 1; entry <= entryCount; ++entry)
        REQUIRE(eventually([&] { return !fleet.hasLostLeader(entry) && fleet.platform.isEntryReady(entry); }, std::chrono::seconds(20)));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    for (int entry = 1; entry <= entryCount; ++entry)
        fleet.sendRequest(entry, "/once/x", poisonBody);
    CHECK(fleet.crashCount() == 2);
}

// Guards against refusing a popular request because engines crashed by another cause while they ran it.
TEST_CASE("A request that succeeds between the crashes of its engines stays served at all entries, also after the leader was killed", "[promise]")
{
    const std::string popularBody = "a popular request";
    crashing_fleet fleet;
    auto isServed = [&](int entry) { return fleet.sendRequest(entry, "/once/x", popularBody).status == 200; };
    for (int crash = 1; crash <= 3; ++crash) {
        fleet.crashUnder(crash, "/once/x", popularBody);
        // At another entry than the crash.
        REQUIRE(eventually([&] { return isServed(crash + 1); }, std::chrono::seconds(5)));
        fleet.restartCrashed();
        std::this_thread::sleep_for(std::chrono::seconds(1));
        if (crash != 2)
            continue;
        auto leader = fleet.platform.findLeader();
        REQUIRE(leader > 0);
        fleet.platform.control(leader).kill();
        REQUIRE(eventually([&] { return fleet.platform.findLeader(leader) != 0; }, std::chrono::seconds(10)));
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    // The crashes are certain by then.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    for (int entry = 1; entry <= entryCount; ++entry) {
        auto response = fleet.sendRequest(entry, "/once/x", popularBody);
        INFO("entry " << entry << ": " << response.status << " " << response.body);
        CHECK(response.status == 200);
    }
    // Successes of others don't save a request that crashes engines.
    auto crashesBefore = fleet.crashCount();
    for (int entry = 1; entry <= entryCount; ++entry) {
        fleet.sendRequest(entry, "/once/x", poisonBody);
        // A reused connection that was opened before a crash may still break once.
        CHECK(eventually([&] { return isServed(entry); }, std::chrono::seconds(5)));
    }
    CHECK(fleet.crashCount() == crashesBefore + 2);
}
