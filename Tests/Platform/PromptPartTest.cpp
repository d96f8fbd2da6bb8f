// Guards against requests that crash one endpoint after the other because of a part of their prompts, and against sound ones that
// are refused because of it.
#include "Platform/platform_fleet.h"
#include "platform_names.h"
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <random>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr int entryCount = 6;
constexpr int controlCount = 3;
constexpr int prefillEngines = 2;
constexpr int decodeEngines = 8;
constexpr milliseconds reportInterval { 400 };
/// How long a crashed engine takes to start again, under a new name at its address.
constexpr milliseconds restartTime { 1500 };
/// From this long after the fifth crash, three more requests with the part may reach engines.
constexpr std::chrono::seconds contactTime { 3 };
constexpr std::size_t allowedCrashes = 5;
constexpr std::size_t allowedLater = 3;

/// A caller's request and its answer.
struct sent_request {
    std::string id;
    time_point at;
    /// The part of its prompt that crashes engines; empty if it is sound.
    std::string poison;
    unsigned status = 0;
    bool whole = false;
    std::string body;
};

/// A prompt with a part that crashes engines, and a format for all its parts with a small and a large random number.
struct poisoned_prompt {
    std::string poison;
    std::string parts;
};

/// Six entries, two engines that process prompts, and eight that write streams and are started again after they crash.
class part_fleet {
public:
    platform_fleet platform { controlCount, entryCount };

    explicit part_fleet(std::set<std::string> crashingParts)
        : m_crashingParts(std::move(crashingParts))
    {
        platform.start();
        REQUIRE(platform.submitConfiguration(exampleConfiguration(7, 100'000'000)) == 200);
        for (int n = 1; n <= prefillEngines + decodeEngines; ++n)
            m_engines.push_back(startEngine(n, 0));
        m_supervisor = std::thread([this] { supervise(); });
        for (int n = 1; n <= entryCount; ++n)
            REQUIRE(eventually([&] { return platform.isEntryReady(n) && send(n, "a1:200,b1:400,1:10").whole; }, std::chrono::seconds(20)));
    }

    ~part_fleet()
    {
        m_stopped = true;
        m_supervisor.join();
    }

    /// Sends a request whose prompt has these parts.
    sent_request send(int entry, const std::string& parts, const std::string& poison = {})
    {
        sent_request request;
        request.id = fmt::format("id-{}", ++m_requestCount);
        request.at = std::chrono::steady_clock::now();
        request.poison = poison;
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, request.id },
            { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, "5000" }, { platform_names::promptParts, parts } };
        auto answer = platform.call(platform.entryAddress(entry), "POST", request.id.back() % 2 == 0 ? "/once/x" : "/report/x", headers, request.id, milliseconds(6000));
        request.status = answer.status;
        request.whole = answer.status == 200 && !answer.broken;
        request.body = answer.body;
        std::lock_guard lock(m_mutex);
        m_sent.push_back(request);
        return request;
    }

    /// Crashes some engines that write streams at once, whatever they run.
    void crashEngines(int count)
    {
        std::lock_guard lock(m_mutex);
        for (auto& engine : m_engines) {
            bool writes = engine->arrivals().empty() || engine->id().substr(0, 6) == "decode";
            if (count > 0 && writes && !engine->crashed()) {
                engine->crash();
                --count;
            }
        }
    }

    void setDecodeModes(fake_endpoint_mode mode)
    {
        std::lock_guard lock(m_mutex);
        m_decodeMode = mode;
        for (auto& engine : m_engines) {
            if (engine->id().substr(0, 6) == "decode")
                engine->setMode(mode);
        }
    }

    /// Sends requests to random entries until it is destroyed: poisoned ones, and sound ones with the same key and first part.
    class traffic {
    public:
        traffic(part_fleet& fleet, std::vector<poisoned_prompt> poisoned, milliseconds poisonPause, milliseconds soundPause = milliseconds(60))
        {
            constexpr int soundCallers = 6;
            for (int caller = 0; caller < soundCallers; ++caller) {
                m_callers.emplace_back([this, &fleet, soundPause, caller] {
                    std::mt19937 random(static_cast<unsigned>(caller));
                    while (!m_stopped) {
                        auto entry = 1 + static_cast<int>(random() % entryCount);
                        fleet.send(entry, fmt::format("a1:200,b{}:400,{:x}:10", random() % 8, random()));
                        std::this_thread::sleep_for(soundPause);
                    }
                });
            }
            for (std::size_t n = 0; n < poisoned.size(); ++n) {
                m_callers.emplace_back([this, &fleet, poisonPause, prompt = poisoned[n], n] {
                    std::mt19937 random(100 + static_cast<unsigned>(n));
                    while (!m_stopped) {
                        auto entry = 1 + static_cast<int>(random() % entryCount);
                        fleet.send(entry, fmt::format(fmt::runtime(prompt.parts), random() % 8, random()), prompt.poison);
                        std::this_thread::sleep_for(poisonPause);
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

    private:
        std::atomic<bool> m_stopped { false };
        std::vector<std::thread> m_callers;
    };

    std::vector<sent_request> sent()
    {
        std::lock_guard lock(m_mutex);
        return m_sent;
    }

    /// When engines crashed because of the part, in order.
    std::vector<time_point> crashTimes(const std::string& poison)
    {
        std::lock_guard lock(m_mutex);
        auto times = m_crashTimes[poison];
        for (const auto& engine : m_engines) {
            if (engine->crashed() && engine->crashCause() == poison)
                times.push_back(engine->crashedAt());
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    /// The requests with the part that reached engines after a time.
    std::size_t poisonedArrivalsAfter(const std::string& poison, time_point from)
    {
        std::set<std::string> poisoned;
        for (const auto& request : sent()) {
            if (request.poison == poison)
                poisoned.insert(request.id);
        }
        std::lock_guard lock(m_mutex);
        auto arrivals = m_arrivals;
        for (const auto& engine : m_engines) {
            auto own = engine->arrivalRecords();
            arrivals.insert(arrivals.end(), own.begin(), own.end());
        }
        std::set<std::string> arrived;
        for (const auto& arrival : arrivals) {
            if (arrival.at > from && poisoned.count(arrival.requestId))
                arrived.insert(arrival.requestId);
        }
        return arrived.size();
    }

    /// The share of sound requests sent within a span that were answered whole at the first attempt.
    double soundShare(time_point from, time_point until)
    {
        double count = 0;
        double whole = 0;
        for (const auto& request : sent()) {
            if (!request.poison.empty() || request.at < from || request.at > until)
                continue;
            ++count;
            whole += request.whole ? 1 : 0;
        }
        return whole / std::max(1.0, count);
    }

    /// Sound requests that were refused because endpoints crash.
    std::size_t soundBlocked()
    {
        auto all = sent();
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto& request) {
            return request.poison.empty() && (request.status == 422 || request.body.find("poison") != std::string::npos);
        }));
    }

private:
    std::unique_ptr<fake_endpoint> startEngine(int n, int run)
    {
        auto stage = n <= prefillEngines ? "prefill" : "decode";
        auto engine = std::make_unique<fake_endpoint>(fmt::format("{}-{}-{}", stage, n, run), platform.endpointAddress(n), "llm", stage);
        engine->setStartTime(fake_endpoint::firstStartTime + static_cast<std::uint64_t>(run));
        engine->setCrashingParts(m_crashingParts);
        if (n > prefillEngines)
            engine->setMode(m_decodeMode);
        return engine;
    }

    void supervise()
    {
        auto reportAt = std::chrono::steady_clock::now();
        for (int control = 1; !m_stopped; std::this_thread::sleep_for(std::chrono::milliseconds(20))) {
            restartCrashed();
            if (std::chrono::steady_clock::now() < reportAt)
                continue;
            reportAt += reportInterval;
            control = control % controlCount + 1;
            std::vector<fake_endpoint*> alive;
            for (auto& engine : m_engines) {
                if (!engine->crashed())
                    alive.push_back(engine.get());
            }
            for (auto* engine : alive) {
                for (int i = 0; i < controlCount; ++i) {
                    if (platform.sendReport(*engine, "ready", (control + i) % controlCount + 1).status == 200)
                        break;
                }
            }
        }
    }

    void restartCrashed()
    {
        std::lock_guard lock(m_mutex);
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            auto& engine = m_engines[i];
            if (!engine->crashed() || std::chrono::steady_clock::now() - engine->crashedAt() < restartTime)
                continue;
            m_crashTimes[engine->crashCause()].push_back(engine->crashedAt());
            auto arrivals = engine->arrivalRecords();
            m_arrivals.insert(m_arrivals.end(), arrivals.begin(), arrivals.end());
            engine.reset();
            engine = startEngine(static_cast<int>(i) + 1, ++m_restarts);
            platform.sendReport(*engine, "ready", 1);
        }
    }

    std::set<std::string> m_crashingParts;
    std::mutex m_mutex;
    fake_endpoint_mode m_decodeMode = fake_endpoint_mode::Normal;
    std::vector<std::unique_ptr<fake_endpoint>> m_engines;
    std::vector<sent_request> m_sent;
    /// Of engines that were replaced, by the part that crashed them.
    std::map<std::string, std::vector<time_point>> m_crashTimes;
    /// Of engines that were replaced.
    std::vector<endpoint_arrival> m_arrivals;
    int m_restarts = 0;
    std::atomic<int> m_requestCount { 0 };
    std::atomic<bool> m_stopped { false };
    std::thread m_supervisor;
};

/// Runs traffic beside what happens meanwhile, and checks the bounds on it.
template <typename Function>
void checkPoisonedTraffic(const std::vector<poisoned_prompt>& poisoned, Function meanwhile)
{
    std::set<std::string> crashingParts;
    for (const auto& prompt : poisoned)
        crashingParts.insert(prompt.poison);
    part_fleet fleet(crashingParts);
    auto startedAt = std::chrono::steady_clock::now();
    {
        part_fleet::traffic calm(fleet, {}, milliseconds(0));
        std::this_thread::sleep_for(std::chrono::seconds(3));
    }
    auto calmShare = fleet.soundShare(startedAt, std::chrono::steady_clock::now());
    {
        part_fleet::traffic traffic(fleet, poisoned, milliseconds(250));
        meanwhile(fleet);
    }
    time_point lastDecisive {};
    for (const auto& poison : crashingParts) {
        auto crashes = fleet.crashTimes(poison);
        CAPTURE(poison, crashes.size());
        REQUIRE(!crashes.empty());
        auto decisive = crashes[std::min(crashes.size(), allowedCrashes) - 1];
        lastDecisive = std::max(lastDecisive, decisive);
        CHECK(fleet.poisonedArrivalsAfter(poison, decisive + contactTime) <= allowedLater);
    }
    auto laterShare = fleet.soundShare(lastDecisive + 2 * contactTime, std::chrono::steady_clock::now());
    CAPTURE(calmShare, laterShare);
    CHECK(laterShare >= calmShare / 2);
    CHECK(fleet.soundBlocked() == 0);
}
}

// Guards against requests that no two are alike, so that nothing connects the crashes but a part of their prompts.
TEST_CASE("A part of prompts that crashes engines is stopped after a few crashes, and sound requests go on", "[promise]")
{
    auto poisoned = GENERATE(as<std::string> {}, "a1:200,dead:400,{0:x}{1:x}:10", "dead:200,b{0}:400,{1:x}:10", "a1:200,b{0}:400,0DEAD:50,{1:x}:10");
    CAPTURE(poisoned);
    checkPoisonedTraffic({ { "dead", poisoned } }, [](auto&) { std::this_thread::sleep_for(std::chrono::seconds(14)); });
}

// Guards against parts that hide behind one another.
TEST_CASE("Two parts that crash engines at the same time are both stopped", "[promise]")
{
    checkPoisonedTraffic({ { "dead", "a1:200,dead:400,{0:x}{1:x}:10" }, { "beef", "a1:200,b{0}:400,beef:50,{1:x}:10" } }, [](auto&) { std::this_thread::sleep_for(std::chrono::seconds(14)); });
}

// Guards against evidence that is lost with the leader or with the entries that saw the crashes.
TEST_CASE("A part that crashes engines is stopped although the leader and entries are killed", "[promise]")
{
    checkPoisonedTraffic({ { "dead", "a1:200,dead:400,{0:x}{1:x}:10" } }, [](part_fleet& fleet) {
        REQUIRE(eventually([&] { return fleet.crashTimes("dead").size() >= 2; }, std::chrono::seconds(10)));
        REQUIRE(fleet.platform.replaceLeader());
        for (int entry = 1; entry <= entryCount; ++entry) {
            fleet.platform.restartEntry(entry);
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
        }
        std::this_thread::sleep_for(std::chrono::seconds(4));
        REQUIRE(fleet.platform.replaceLeader());
        std::this_thread::sleep_for(std::chrono::seconds(8));
    });
}

// Guards against putting crashes by another cause down to a part that many requests have.
TEST_CASE("Waves of crashes by another cause block no part of prompts", "[promise]")
{
    part_fleet fleet({});
    {
        part_fleet::traffic traffic(fleet, {}, milliseconds(0), milliseconds(10));
        std::this_thread::sleep_for(std::chrono::seconds(1));
        for (int wave = 0; wave < 8; ++wave) {
            fleet.crashEngines(wave % 3 == 2 ? decodeEngines : 3);
            std::this_thread::sleep_for(std::chrono::milliseconds(wave % 2 == 0 ? 300 : 1700));
        }
        std::this_thread::sleep_for(std::chrono::seconds(3));
    }
    CHECK(fleet.soundBlocked() == 0);
    CHECK(eventually([&] { return fleet.send(1, "a1:200,b1:400,2:10").whole; }));
}

// Guards against taking connections that break at running engines for crashes.
TEST_CASE("Engines that cut their answers and run on block no part of prompts", "[promise]")
{
    auto mode = GENERATE(fake_endpoint_mode::AbortBeforeResponse, fake_endpoint_mode::AbortMidStream);
    part_fleet fleet({});
    {
        part_fleet::traffic traffic(fleet, {}, milliseconds(0), milliseconds(20));
        std::this_thread::sleep_for(std::chrono::seconds(1));
        fleet.setDecodeModes(mode);
        std::this_thread::sleep_for(std::chrono::seconds(5));
        fleet.setDecodeModes(fake_endpoint_mode::Normal);
        std::this_thread::sleep_for(std::chrono::seconds(2));
    }
    CHECK(fleet.soundBlocked() == 0);
    CHECK(eventually([&] { return fleet.send(1, "a1:200,b1:400,2:10").whole; }));
}
