// Guards against connections that the entry gives up because the process that should read a long request stands still.
#include "Platform/endpoint_process.h"
#include "platform_names.h"
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// More than the buffers of a connection to a process that reads nothing.
constexpr std::size_t bodyBytes = 12UL * 1024 * 1024;
constexpr milliseconds pauseTime { 2000 };

std::string makeConfiguration()
{
    auto configuration = boost::json::parse(exampleConfiguration(7)).as_object();
    configuration["limits"].as_object()["maxBodyBytes"] = bodyBytes;
    return boost::json::serialize(configuration);
}
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
