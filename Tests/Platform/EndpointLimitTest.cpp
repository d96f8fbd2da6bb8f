// Guards against endpoints that get more requests than the limit that their responses name allows, from all entries together.
#include "Platform/platform_fleet.h"
#include "platform_call_codec.h"
#include "platform_names.h"
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr int entryCount = 4;
constexpr int callerCount = 24;
constexpr milliseconds callTimeout { 6000 };
constexpr milliseconds callerPause { 20 };
/// A refusal after this long would have kept its caller waiting in vain.
constexpr milliseconds refusalBound { 500 };
/// The limit binds from this long after it was named.
constexpr milliseconds contactTime { 3000 };
constexpr std::chrono::seconds window { 4 };

/// What an endpoint may get in a window.
double allowedInWindow(double limit)
{
    return 1.5 * limit * std::chrono::duration<double>(window).count() + 5;
}

/// Four entries, three endpoints of the plain service, and three engines; callers load either service through all entries.
class limited_fleet {
public:
    platform_fleet platform { 3, entryCount };
    std::vector<std::unique_ptr<fake_endpoint>> apps;
    std::vector<std::unique_ptr<fake_endpoint>> engines;

    limited_fleet()
    {
        platform.start();
        REQUIRE(platform.submitConfiguration(exampleConfiguration(7, 100'000'000)) == 200);
        for (int n = 1; n <= 3; ++n)
            apps.push_back(std::make_unique<fake_endpoint>(fmt::format("app-{}", n), platform.endpointAddress(n), "app", ""));
        for (int n = 1; n <= 3; ++n)
            engines.push_back(std::make_unique<fake_endpoint>(fmt::format("engine-{}", n), platform.endpointAddress(3 + n), "llm", n == 1 ? "prefill" : "decode"));
        std::vector<fake_endpoint*> endpoints;
        for (const auto* group : { &apps, &engines }) {
            for (const auto& endpoint : *group)
                endpoints.push_back(endpoint.get());
        }
        m_reporter.emplace(platform, std::move(endpoints));
        for (int n = 1; n <= entryCount; ++n)
            REQUIRE(eventually([&] { return platform.isEntryReady(n) && send(n, "/read/x").status == 200 && send(n, "/report/x").status == 200; }));
    }

    ~limited_fleet() { stopLoad(); }
    limited_fleet(const limited_fleet&) = delete;
    limited_fleet& operator=(const limited_fleet&) = delete;

    void startLoad(const std::vector<std::string>& paths)
    {
        m_loading = true;
        for (int i = 0; i < callerCount; ++i)
            m_callers.emplace_back([this, i, path = paths[i % paths.size()]] { load(i, path); });
    }

    void stopLoad()
    {
        m_loading = false;
        for (auto& caller : m_callers)
            caller.join();
        m_callers.clear();
    }

    void killControl()
    {
        for (int n = 1; n <= platform.controls(); ++n)
            platform.control(n).kill();
    }

    /// Lets the endpoints name the limit until it binds. Returns the time from which on it does.
    static time_point bindLimit(const std::vector<std::unique_ptr<fake_endpoint>>& endpoints, double limit)
    {
        setLimits(endpoints, limit);
        std::this_thread::sleep_for(contactTime);
        return std::chrono::steady_clock::now();
    }

    static void setLimits(const std::vector<std::unique_ptr<fake_endpoint>>& endpoints, double limit)
    {
        for (const auto& endpoint : endpoints)
            endpoint->setRequestLimit(limit);
    }

    /// The most requests that any of the endpoints got in a window between the two times.
    static int mostInWindow(const std::vector<std::unique_ptr<fake_endpoint>>& endpoints, time_point from, time_point until)
    {
        int most = 0;
        for (const auto& endpoint : endpoints) {
            auto arrivals = endpoint->arrivals();
            for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from); first != arrivals.end() && *first < until; ++first) {
                auto last = std::lower_bound(first, arrivals.end(), std::min(*first + window, until));
                most = std::max(most, static_cast<int>(last - first));
            }
        }
        return most;
    }

    std::atomic<int> answered { 0 };
    std::atomic<int> refused { 0 };
    std::atomic<int> lateRefusals { 0 };
    std::atomic<int> withoutRetryAfter { 0 };

private:
    simple_response send(int entry, const std::string& path)
    {
        auto id = fmt::format("id-{}", ++m_requestCount);
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, id },
            { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, "5000" } };
        return platform.call(platform.entryAddress(entry), "POST", path, headers, id, callTimeout);
    }

    void load(int caller, const std::string& path)
    {
        for (int i = 0; m_loading; ++i) {
            auto sentAt = std::chrono::steady_clock::now();
            auto answer = send(1 + (caller + i) % entryCount, path);
            if (answer.status == 200 && !answer.broken)
                ++answered;
            if (answer.status == 503) {
                ++refused;
                lateRefusals += std::chrono::steady_clock::now() - sentAt > refusalBound ? 1 : 0;
                withoutRetryAfter += answer.header("Retry-After").empty() ? 1 : 0;
            }
            std::this_thread::sleep_for(callerPause);
        }
    }

    std::atomic<bool> m_loading { false };
    std::atomic<int> m_requestCount { 0 };
    std::vector<std::thread> m_callers;
    std::optional<endpoint_reporter> m_reporter;
};
}

TEST_CASE("All entries together keep to a limit that an endpoint names, changes and takes back", "[promise]")
{
    limited_fleet fleet;
    fleet.startLoad({ "/read/x", "/book/x" });
    constexpr double firstLimit = 5;
    constexpr double secondLimit = 10;
    auto binds = limited_fleet::bindLimit(fleet.apps, firstLimit);
    int answeredBefore = fleet.answered;
    std::this_thread::sleep_for(std::chrono::seconds(6));
    auto changes = std::chrono::steady_clock::now();
    CHECK(limited_fleet::mostInWindow(fleet.apps, binds, changes) <= allowedInWindow(firstLimit));
    // Three endpoints at the limit; half of that shows that the limit doesn't keep calls away.
    CHECK(fleet.answered - answeredBefore >= 3 * firstLimit * 6 / 2);

    auto changed = limited_fleet::bindLimit(fleet.apps, secondLimit);
    answeredBefore = fleet.answered;
    std::this_thread::sleep_for(std::chrono::seconds(6));
    CHECK(limited_fleet::mostInWindow(fleet.apps, changed, std::chrono::steady_clock::now()) <= allowedInWindow(secondLimit));
    CHECK(fleet.answered - answeredBefore >= 3 * secondLimit * 6 / 2);
    CHECK(fleet.lateRefusals == 0);
    CHECK(fleet.withoutRetryAfter == 0);

    limited_fleet::setLimits(fleet.apps, 0);
    answeredBefore = fleet.answered;
    std::this_thread::sleep_for(contactTime);
    CHECK(fleet.answered - answeredBefore > 2 * 3 * secondLimit * 3);
}

TEST_CASE("A limit holds when the leader is killed and while there is none", "[promise]")
{
    limited_fleet fleet;
    fleet.startLoad({ "/read/x", "/book/x" });
    constexpr double limit = 5;
    auto binds = limited_fleet::bindLimit(fleet.apps, limit);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    auto leader = fleet.platform.findLeader();
    REQUIRE(leader > 0);
    fleet.platform.control(leader).kill();
    std::this_thread::sleep_for(std::chrono::seconds(5));
    fleet.killControl();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    CHECK(limited_fleet::mostInWindow(fleet.apps, binds, std::chrono::steady_clock::now()) <= allowedInWindow(limit));
}

TEST_CASE("A limit holds when all of control is killed and starts again", "[promise]")
{
    limited_fleet fleet;
    fleet.startLoad({ "/read/x", "/book/x" });
    constexpr double limit = 5;
    auto binds = limited_fleet::bindLimit(fleet.apps, limit);
    fleet.killControl();
    for (int n = 1; n <= fleet.platform.controls(); ++n)
        fleet.platform.startControl(n, false);
    std::this_thread::sleep_for(std::chrono::seconds(8));
    CHECK(limited_fleet::mostInWindow(fleet.apps, binds, std::chrono::steady_clock::now()) <= allowedInWindow(limit));
}

TEST_CASE("A limit holds for both stages of model calls and for resumed streams", "[promise]")
{
    limited_fleet fleet;
    fleet.startLoad({ "/report/x", "/once/x" });
    constexpr double limit = 4;
    fleet.engines.back()->setMode(fake_endpoint_mode::AbortMidStream);
    auto binds = limited_fleet::bindLimit(fleet.engines, limit);
    int answeredBefore = fleet.answered;
    std::this_thread::sleep_for(std::chrono::seconds(6));
    CHECK(limited_fleet::mostInWindow(fleet.engines, binds, std::chrono::steady_clock::now()) <= allowedInWindow(limit));
    CHECK(fleet.answered > answeredBefore);
}

// Guards against reading another header than endpoints send, and against a limit that a malformed value sets or takes back.
TEST_CASE("An endpoint's limit is the decimal number in Server-Limit")
{
    auto limitIn = [](const std::string& value) {
        header_fields fields;
        fields.insert("Server-Limit", value);
        return platform_call_codec::parseResponse(fields);
    };
    CHECK(limitIn("7.8").callLimit == 7.8);
    CHECK(limitIn("0").callLimit == 0.0);
    for (const auto* malformed : { "", "many", "-1", "nan", "inf", "7.8 a second" }) {
        INFO(malformed);
        CHECK_FALSE(limitIn(malformed).callLimit);
        CHECK(limitIn(malformed).namesCallLimit);
    }
    CHECK_FALSE(platform_call_codec::parseResponse({}).callLimit);
    CHECK_FALSE(platform_call_codec::parseResponse({}).namesCallLimit);
}
