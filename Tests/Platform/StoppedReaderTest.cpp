// Guards against connections and requests that the entry gives up because the process that should read a long request stands still.
#include "Platform/endpoint_process.h"
#include "platform_names.h"
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <regex>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// More than the buffers of a connection to a process that reads nothing.
constexpr std::size_t bodyBytes = 12UL * 1024 * 1024;
constexpr milliseconds pauseTime { 2000 };

/// Longer than callers tolerate with the targets of makeConfigurationOfShortTargets().
constexpr milliseconds longPauseTime { 3000 };
constexpr milliseconds deadline { 6000 };

std::string makeConfiguration()
{
    auto configuration = boost::json::parse(exampleConfiguration(7)).as_object();
    configuration["limits"].as_object()["maxBodyBytes"] = bodyBytes;
    return boost::json::serialize(configuration);
}

/// A configuration whose callers tolerate a pause of 2.4 s, with a route that needs no key.
std::string makeConfigurationOfShortTargets()
{
    auto configuration = boost::json::parse(std::regex_replace(makeConfiguration(), std::regex("\"targetLatencyMs\":[0-9]*"), "\"targetLatencyMs\":100")).as_object();
    auto& routes = configuration["routes"].as_array();
    auto openRoute = routes[0].as_object();
    openRoute["name"] = "open";
    openRoute["pathPrefix"] = "/open/";
    openRoute["public"] = true;
    routes.push_back(openRoute);
    return boost::json::serialize(configuration);
}

http_headers makeHeaders(const std::string& id, bool keyed)
{
    http_headers headers { { "Host", "h.example" }, { platform_names::requestId, id }, { platform_names::deadlineMs, std::to_string(deadline.count()) } };
    if (keyed)
        headers.emplace_back(platform_names::authorization, "Token key-1");
    return headers;
}

/// A fleet whose first endpoint stands still, and callers who send it long requests at the same time: one that may be repeated, one
/// without a key, and one that must not be repeated.
class stopped_reader {
public:
    struct timed_answer {
        std::string target;
        simple_response response;
        milliseconds time { 0 };
    };

    static constexpr std::size_t callers = 3;

    explicit stopped_reader(const endpoint_process::options& options)
    {
        platform.start();
        REQUIRE(platform.submitConfiguration(makeConfigurationOfShortTargets()) == 200);
        endpoint = std::make_unique<endpoint_process>(platform, 1, options);
        REQUIRE(platform.sendReport(endpoint->reporter()).status == 200);
        REQUIRE(eventually([&] { return platform.isEntryReady(1) && log().find("event=endpoint_known ") != std::string::npos; }));
    }

    /// Has the entry keep as many connections as there are callers.
    void openConnections()
    {
        for (const auto& answer : sendAll("GET", "")) {
            INFO(answer.response.status << log());
            REQUIRE(answer.response.status == 200);
        }
    }

    std::vector<timed_answer> sendAll(const std::string& method, const std::string& body)
    {
        std::vector<timed_answer> answers { { "/read/x", {} }, { "/open/x", {} }, { "/book/x", {} } };
        std::vector<std::thread> threads;
        for (auto& answer : answers) {
            threads.emplace_back([this, &answer, &method, &body] {
                auto startedAt = std::chrono::steady_clock::now();
                answer.response = platform.call(platform.entryAddress(1), method, answer.target, makeHeaders(method + answer.target, answer.target != "/open/x"), body, deadline + milliseconds(1000));
                answer.time = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - startedAt);
            });
        }
        for (auto& thread : threads)
            thread.join();
        return answers;
    }

    /// Waits until the entry has read the requests of all callers, and holds them and their copies for the endpoint.
    void awaitRequestsRead() const
    {
        CHECK(eventually([&] {
            auto metrics = platform.fetchMetrics(platform.entryIp(1));
            std::smatch held;
            return std::regex_search(metrics, held, std::regex(R"("buffered_bytes"\} ([0-9.e+]+))")) && std::stod(held[1]) >= static_cast<double>(callers * 2 * bodyBytes);
        },
            std::chrono::seconds(3)));
    }

    std::string log() const { return readFile(platform.folder() + "/entry-1.out"); }

    platform_fleet platform;
    std::unique_ptr<endpoint_process> endpoint;
};
}

TEST_CASE("A long request is answered though its endpoint stands still before it has read it", "[promise]")
{
    platform_fleet platform;
    platform.start();
    REQUIRE(platform.submitConfiguration(makeConfiguration()) == 200);
    endpoint_process endpoint(platform, 1, { "app", "", milliseconds(5), false });
    endpoint_reporter reporter(platform, { &endpoint.reporter() });
    http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "long" }, { platform_names::deadlineMs, "6000" } };
    REQUIRE(eventually([&] { return platform.call(platform.entryAddress(1), "GET", "/read/x", headers, {}, milliseconds(2000)).status == 200; }));
    endpoint.pause();
    std::thread resumption([&] {
        std::this_thread::sleep_for(pauseTime);
        endpoint.resume();
    });
    auto answer = platform.call(platform.entryAddress(1), "POST", "/book/1", headers, std::string(bodyBytes, 'x'), milliseconds(6000));
    resumption.join();
    INFO(readFile(platform.folder() + "/entry-1.out"));
    CHECK_FALSE(answer.broken);
    CHECK(answer.status == 200);
}

TEST_CASE("Long requests stay at an endpoint that stands still while no other endpoint takes them", "[promise]")
{
    auto connectionsAreKept = GENERATE(false, true);
    auto otherRefuses = GENERATE(false, true);
    stopped_reader fleet({ "app", "", milliseconds(100), false });
    if (connectionsAreKept)
        fleet.openConnections();
    fleet.endpoint->pause();
    std::unique_ptr<endpoint_process> refusing;
    std::vector<fake_endpoint*> reporters { &fleet.endpoint->reporter() };
    std::vector<stopped_reader::timed_answer> answers;
    std::thread callers([&] { answers = fleet.sendAll("POST", std::string(bodyBytes, 'x')); });
    fleet.awaitRequestsRead();
    if (otherRefuses) {
        refusing = std::make_unique<endpoint_process>(fleet.platform, 2, endpoint_process::options { "app", "", milliseconds(5), true });
        reporters.push_back(&refusing->reporter());
    }
    endpoint_reporter reporter(fleet.platform, reporters);
    std::this_thread::sleep_for(longPauseTime);
    fleet.endpoint->resume();
    callers.join();
    for (const auto& answer : answers) {
        INFO("kept: " << connectionsAreKept << ", another refuses: " << otherRefuses << ", " << answer.target << " got " << answer.response.status << " after " << answer.time.count() << " ms\n"
                      << fleet.log());
        CHECK_FALSE(answer.response.broken);
        CHECK(answer.response.status == 200);
    }
}

TEST_CASE("Long requests that may be repeated move from an endpoint that stands still to one that takes them", "[promise]")
{
    stopped_reader fleet({ "app", "", milliseconds(5), false });
    fleet.endpoint->pause();
    fake_endpoint sound("endpoint-2", fleet.platform.endpointAddress(2), "app", "");
    std::vector<stopped_reader::timed_answer> answers;
    std::thread callers([&] { answers = fleet.sendAll("POST", std::string(bodyBytes, 'x')); });
    fleet.awaitRequestsRead();
    endpoint_reporter reporter(fleet.platform, { &fleet.endpoint->reporter(), &sound });
    callers.join();
    for (const auto& answer : answers) {
        bool isRepeatable = answer.target != "/book/x";
        INFO(answer.target << " got " << answer.response.status << " after " << answer.time.count() << " ms\n"
                           << fleet.log());
        CHECK_FALSE(answer.response.broken);
        CHECK(answer.response.status == (isRepeatable ? 200 : 504));
        CHECK((isRepeatable ? answer.time < milliseconds(4500) : answer.time > deadline - milliseconds(500)));
        CHECK(sound.runCounts()["POST" + answer.target] == (isRepeatable ? 1 : 0));
    }
}
