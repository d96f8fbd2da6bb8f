// Guards against work for the endpoints of an evacuated data centre: whoever switches them off would cut callers' answers.
#include "Platform/platform_fleet.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// Time in which all entries must follow an acknowledged order.
constexpr std::chrono::milliseconds orderBound { 300 };
constexpr std::chrono::seconds recoveryTimeout { 12 };

/// Two data centres, each with a plain endpoint and an engine of each stage, reporting every second.
class evacuation_fleet {
public:
    explicit evacuation_fleet(int entries = 2)
        : fleet(3, entries)
    {
        fleet.start();
        int n = 0;
        for (const auto* dataCentre : { "a", "b" }) {
            for (const auto* stage : { "", "prefill", "decode" }) {
                ++n;
                auto service = std::string(stage).empty() ? "app" : "llm";
                endpoints.push_back(std::make_unique<fake_endpoint>(fmt::format("{}-{}", dataCentre, n), fleet.endpointAddress(n), service, stage));
                endpoints.back()->setDataCentre(dataCentre);
            }
        }
        REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
        reporter = std::thread([this] {
            while (!stopped) {
                for (auto& endpoint : endpoints)
                    fleet.sendReport(*endpoint, "ready", 1 + reportNumber++ % 3);
                std::this_thread::sleep_for(std::chrono::milliseconds(500));
            }
        });
        REQUIRE(eventually([&] { return serves() && runs("a") + runs("b") > 0; }, recoveryTimeout));
    }
    ~evacuation_fleet()
    {
        stopped = true;
        reporter.join();
    }

    unsigned order(const std::string& method, const std::string& dataCentre, int control = 1) const
    {
        return fleet.call(fleet.controlAddress(control), method, platform_names::evacuationPath + dataCentre, {}, {}, milliseconds(2000)).status;
    }
    /// Repeats an order at all control processes in turn until it is acknowledged, as operators do.
    bool orderUntilAcknowledged(const std::string& method, const std::string& dataCentre)
    {
        int n = 0;
        return eventually([&] { return order(method, dataCentre, 1 + n++ % fleet.controls()) == 200; }, recoveryTimeout);
    }
    simple_response call(const std::string& route, int entry = 1)
    {
        auto id = fmt::format("call-{}", ++lastCall);
        http_headers headers { { "Host", "h.example" }, { platform_names::requestId, id }, { platform_names::deadlineMs, "5000" }, { platform_names::authorization, "Token key-1" },
            { platform_names::tokenUsage, "100,20" } };
        return fleet.call(fleet.entryAddress(entry), "POST", "/" + route + "/x", headers, id, milliseconds(8000));
    }
    bool serves()
    {
        for (int n = 1; n <= fleet.entries(); ++n) {
            if (call("read", n).status != 200 || call("report", n).status != 200)
                return false;
        }
        return true;
    }
    /// Requests that the endpoints of a data centre have received since the last call.
    std::size_t runs(const std::string& dataCentre)
    {
        std::size_t count = 0;
        for (auto& endpoint : endpoints) {
            if (endpoint->id().substr(0, 1) == dataCentre)
                count += endpoint->takeRequestLog().size();
        }
        return count;
    }
    /// Calls every route at every entry several times and returns the requests that a data centre received.
    std::size_t runsOfCalls(const std::string& dataCentre)
    {
        runs(dataCentre);
        for (int i = 0; i < 6; ++i) {
            for (int n = 1; n <= fleet.entries(); ++n) {
                for (const auto* route : { "read", "book", "once", "report" })
                    CHECK(call(route, n).status == 200);
            }
        }
        return runs(dataCentre);
    }

    platform_fleet fleet;
    std::vector<std::unique_ptr<fake_endpoint>> endpoints;
    std::atomic<bool> stopped { false };
    int reportNumber = 0;
    int lastCall = 0;
    std::thread reporter;
};
}

TEST_CASE("An evacuated data centre receives no work until the order is withdrawn")
{
    evacuation_fleet test;
    REQUIRE(test.orderUntilAcknowledged("POST", "a"));
    std::this_thread::sleep_for(orderBound);
    CHECK(test.runsOfCalls("a") == 0);
    // Other orders and changes leave it as it is.
    REQUIRE(test.order("POST", "a", 2) == 200);
    REQUIRE(test.fleet.submitConfiguration(exampleConfiguration(8)) == 200);
    REQUIRE(test.orderUntilAcknowledged("DELETE", "b"));
    std::this_thread::sleep_for(orderBound);
    CHECK(test.runsOfCalls("a") == 0);
    REQUIRE(test.orderUntilAcknowledged("DELETE", "a"));
    REQUIRE(test.orderUntilAcknowledged("POST", "b"));
    std::this_thread::sleep_for(orderBound);
    CHECK(test.runsOfCalls("b") == 0);
}

TEST_CASE("Callers are refused at once with a reason of its own while all data centres are evacuated")
{
    evacuation_fleet test;
    REQUIRE(test.orderUntilAcknowledged("POST", "a"));
    REQUIRE(test.orderUntilAcknowledged("POST", "b"));
    std::this_thread::sleep_for(orderBound);
    test.runs("a");
    test.runs("b");
    for (const auto* route : { "read", "report" }) {
        auto startedAt = std::chrono::steady_clock::now();
        auto answer = test.call(route);
        CHECK(answer.status == 503);
        CHECK(answer.body.find("\"evacuated\"") != std::string::npos);
        CHECK_FALSE(answer.header("Retry-After").empty());
        CHECK(std::chrono::steady_clock::now() - startedAt < std::chrono::milliseconds(300));
    }
    CHECK(test.runs("a") + test.runs("b") == 0);
    REQUIRE(test.orderUntilAcknowledged("DELETE", "b"));
    CHECK(eventually([&] { return test.serves(); }, std::chrono::seconds(5)));
}

TEST_CASE("An evacuation holds across the loss of all control processes and at an entry that starts later")
{
    evacuation_fleet test;
    REQUIRE(test.orderUntilAcknowledged("POST", "a"));
    std::this_thread::sleep_for(orderBound);
    for (int n = 1; n <= 3; ++n)
        test.fleet.control(n).kill();
    // Entries keep the order while they are out of touch.
    test.runs("a");
    for (int i = 0; i < 10; ++i)
        test.call("read", 1 + i % 2);
    CHECK(test.runs("a") == 0);
    test.fleet.eraseControlData(1);
    for (int n = 1; n <= 3; ++n)
        test.fleet.startControl(n, false);
    test.fleet.entry(2).kill();
    test.fleet.startEntry(2);
    REQUIRE(eventually([&] { return test.fleet.isEntryReady(1) && test.fleet.isEntryReady(2); }, recoveryTimeout));
    REQUIRE(eventually([&] { return test.serves(); }, recoveryTimeout));
    CHECK(test.runsOfCalls("a") == 0);
}

TEST_CASE("Invalid orders are refused with an error and change nothing")
{
    evacuation_fleet test(1);
    for (const auto& name : { std::string(), std::string("a%20b"), std::string("a/b"), std::string(200, 'a') }) {
        auto answer = test.fleet.call(test.fleet.controlAddress(1), "POST", platform_names::evacuationPath + name);
        CHECK(answer.status == 400);
        CHECK(answer.body.find("error") != std::string::npos);
    }
    auto unknown = test.fleet.call(test.fleet.controlAddress(1), "POST", fmt::format("{}nowhere", platform_names::evacuationPath));
    CHECK(unknown.status == 200);
    CHECK(unknown.body.find("warning") != std::string::npos);
    CHECK(test.serves());
}
