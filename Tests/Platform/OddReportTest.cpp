#include "Platform/plain_fleet.h"
#include "platform_names.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr const char* largestNumber = "18446744073709551615";
/// An endpoint that goes on reporting is used again after this time.
constexpr std::chrono::seconds returnBound { 14 };

/// A fleet whose endpoint goes on reporting.
class odd_report_fleet : public plain_fleet {
public:
    odd_report_fleet()
    {
        m_reporter = std::make_unique<endpoint_reporter>(platform, std::vector<fake_endpoint*> { &app });
        REQUIRE(eventually([&] { return platform.isEntryReady(1) && read().status == 200; }));
        for (int n = 1; n <= platform.controls(); ++n)
            m_pids.push_back(platform.control(n).pid());
        m_pids.push_back(platform.entry(1).pid());
    }

    simple_response read() { return plain_fleet::read(fmt::format("read-{}", ++m_requests)); }

    /// A report of the endpoint with some fields replaced. The endpoint itself sends other sequences.
    std::string makeOddReport(const std::map<std::string, std::string>& replaced) const
    {
        std::map<std::string, std::string> fields { { "service", "\"app\"" }, { "address", fmt::format("\"{}\"", app.address()) }, { "zone", "\"a\"" }, { "version", "\"v1\"" }, { "slots", "4" },
            { "state", "\"ready\"" }, { "coldRemainingMs", "0" }, { "born", std::to_string(fake_endpoint::firstStartTime) }, { "sequence", "1" } };
        std::string body;
        for (const auto& [name, value] : replaced)
            fields[name] = value;
        for (const auto& [name, value] : fields)
            body += fmt::format("{}\"{}\":{}", body.empty() ? "{" : ",", name, value);
        return body + "}";
    }

    /// Whether all processes of the start still run.
    bool allRun()
    {
        bool running = platform.entry(1).isRunning() && platform.entry(1).pid() == m_pids.back();
        for (int n = 1; n <= platform.controls(); ++n)
            running = running && platform.control(n).isRunning() && platform.control(n).pid() == m_pids[static_cast<std::size_t>(n) - 1];
        return running;
    }

    /// Whether entries learn of a new configuration and of a new endpoint, which serves alone.
    bool followsChanges(std::uint64_t version)
    {
        if (!appliesChange(version, std::chrono::seconds(2)))
            return false;
        fake_endpoint other(fmt::format("app-{}", version), platform.endpointAddress(static_cast<int>(version)), "app", "");
        bool known = platform.sendReport(other).status == 200 && eventually([&] { return entryLog().find(fmt::format("event=endpoint_known endpoint={} ", other.id())) != std::string::npos; });
        return known && platform.call(platform.controlAddress(2), "DELETE", platform_names::endpointsPath + other.id()).status == 200;
    }

private:
    std::unique_ptr<endpoint_reporter> m_reporter;
    int m_requests = 0;
    std::vector<pid_t> m_pids;
};

std::string nested(int levels)
{
    return std::string(static_cast<std::size_t>(levels), '[') + std::string(static_cast<std::size_t>(levels), ']');
}
}

// Guards against processes that end, or stop following the endpoints, over one entry of another writer.
TEST_CASE("Reports that can't be used are refused with the field and the value, and everything goes on", "[promise]")
{
    odd_report_fleet fleet;
    struct odd_field {
        std::string name;
        std::string value;
    };
    std::vector<odd_field> oddFields;
    for (int levels : { 33, 1000, 100000 }) {
        oddFields.push_back({ "slots", nested(levels) });
        oddFields.push_back({ "service", nested(levels) });
    }
    for (const auto* field : { "sequence", "born", "slots" }) {
        for (const auto& value : { std::string("1e400"), std::string("-1"), std::string(20, '9'), std::string(400, '9'), std::string("7.5"), std::string("\"7\"") })
            oddFields.push_back({ field, value });
    }
    for (const auto* port : { "65536", "73616", "99999999999999999999", "", "-1", "0", "08080", "80\\u0000", "0x50" })
        oddFields.push_back({ "address", fmt::format("\"127.0.0.1:{}\"", port) });
    oddFields.push_back({ "address", R"("127.0.0.1\u0000\r\nX: y:8080")" });
    for (const auto& odd : oddFields) {
        INFO(odd.name << " " << odd.value.substr(0, 100));
        for (const auto* id : { "odd-1", "app-1" }) {
            CHECK(fleet.sendToAll("PUT", id, fleet.makeOddReport({ { odd.name, odd.value } })) == std::set<unsigned> { 400 });
            INFO(fleet.lastBody);
            CHECK(fleet.lastBody.size() < 500);
            CHECK((fleet.lastBody.find(odd.name) != std::string::npos || fleet.lastBody.find("JSON") != std::string::npos));
        }
        CHECK(fleet.read().status == 200);
        CHECK(fleet.allRun());
    }
    for (int levels : { 33, 1000, 100000 })
        CHECK(fleet.sendToAll("DELETE", "app-1", nested(levels)) == std::set<unsigned> { 400 });
    CHECK(fleet.sendToAll("DELETE", "app-1", R"({"born":1e400})") == std::set<unsigned> { 400 });
    CHECK(fleet.platform.submitConfiguration(R"({"version":8,"other":)" + nested(100000) + "}") == 400);
    CHECK(fleet.read().status == 200);
    CHECK(fleet.followsChanges(9));
    CHECK(fleet.allRun());
}

// Guards against processes that end over numbers that no type holds, in fields that are bounded or that nobody reads.
TEST_CASE("Numbers of any size in the other fields change nothing", "[promise]")
{
    odd_report_fleet fleet;
    for (const auto& number : { std::string("1e400"), std::string("-0"), std::string(20, '9'), std::string(400, '9'), std::string("-1e400") }) {
        INFO(number);
        fleet.sendToAll("PUT", "app-1", fleet.makeOddReport({ { "other", number } }));
        fleet.sendToAll("PUT", "app-1", fleet.makeOddReport({ { "coldRemainingMs", number } }));
        CHECK(fleet.read().status == 200);
    }
    CHECK(fleet.followsChanges(8));
    CHECK(fleet.allRun());
}

// Guards against endpoints that are lost for a minute, or for good, after one entry of another writer under their id or address.
TEST_CASE("An endpoint that goes on reporting is used again after one report that claims to be later", "[promise]")
{
    odd_report_fleet fleet;
    std::string id = "app-1";
    std::string body;
    std::string method = "PUT";
    auto nowhere = fmt::format("\"{}\"", fleet.platform.endpointAddress(200));
    SECTION("a sequence that no later one exceeds, at another address")
    {
        body = fleet.makeOddReport({ { "sequence", largestNumber }, { "address", nowhere } });
    }
    SECTION("a sequence that no later one exceeds, and it leaves")
    {
        body = fleet.makeOddReport({ { "sequence", largestNumber }, { "state", "\"draining\"" } });
    }
    SECTION("a start in the far future, of another service")
    {
        body = fleet.makeOddReport({ { "born", largestNumber }, { "service", "\"nosuch\"" } });
    }
    SECTION("a deregistration of a run in the far future")
    {
        method = "DELETE";
        body = fmt::format(R"({{"born":{}}})", largestNumber);
    }
    SECTION("another endpoint at its address, of another service")
    {
        id = "odd-1";
        body = fleet.makeOddReport({ { "born", largestNumber }, { "service", "\"nosuch\"" } });
    }
    REQUIRE(fleet.sendToAll(method, id, body) == std::set<unsigned> { 200 });
    // Control holds it back from entries for a moment.
    std::this_thread::sleep_for(milliseconds(1500));
    CHECK(eventually([&] { return fleet.read().status == 200; }, returnBound));
    for (int i = 0; i < 20; ++i) {
        CHECK(fleet.read().status == 200);
        std::this_thread::sleep_for(milliseconds(100));
    }
    CHECK(fleet.followsChanges(8));
    CHECK(fleet.allRun());
}

// Guards against calls for one service that go to an endpoint of another.
TEST_CASE("A report that names another service for a running endpoint changes nothing", "[promise]")
{
    odd_report_fleet fleet;
    for (const auto* service : { "nosuch", "llm" }) {
        fleet.sendToAll("PUT", "app-1", fleet.makeOddReport({ { "service", fmt::format("\"{}\"", service) }, { "sequence", "1000000" } }));
        for (int i = 0; i < 10; ++i) {
            CHECK(fleet.read().status == 200);
            std::this_thread::sleep_for(milliseconds(20));
        }
    }
    CHECK(fleet.entryLog().find("service=llm") == std::string::npos);
    CHECK(fleet.followsChanges(8));
}
