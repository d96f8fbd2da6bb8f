// Guards against headers, trailers and chunk headers so long that the process which reads them ends, or holds them all.
#include "Platform/platform_fleet.h"
#include "Platform/raw_exchange.h"
#include "Platform/scripted_endpoint.h"
#include "platform_names.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
const std::string longText(8UL << 20, 'x');

/// Bodies in chunks with a field that is too long.
std::vector<std::string> makeChunkedBodies()
{
    return { "3;x=" + longText + "\r\nkit\r\n0\r\n\r\n", "3\r\nkit\r\n0\r\nX-Long: " + longText + "\r\n\r\n", "3\r\nkit\r\n0\r\n" + longText + ": x\r\n\r\n", "3\r\nkit\r\n0;" + longText + "\r\n\r\n" };
}

std::string makeRequest(const std::string& method, const std::string& target, const std::string& headers, const std::string& body)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\n{}: Token key-1\r\n{}: one\r\n{}\r\n{}", method, target, platform_names::authorization, platform_names::requestId, headers, body);
}
}

TEST_CASE("A request with a field that is too long is refused, and its reader goes on", "[promise]")
{
    platform_fleet fleet;
    fleet.start();
    fake_endpoint app("app-1", fleet.endpointAddress(1), "app", "");
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    endpoint_reporter reporter(fleet, { &app });
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    for (const auto& body : makeChunkedBodies()) {
        INFO(body.substr(0, 20));
        auto atEntry = exchangeBytes(fleet.entryAddress(1), makeRequest("POST", "/book/long", "Transfer-Encoding: chunked\r\n", body), true);
        CHECK(atEntry.starts_with("HTTP/1.1 400 "));
        REQUIRE(fleet.entry(1).isRunning());
        auto atControl = exchangeBytes(fleet.controlAddress(1), makeRequest("PUT", std::string(platform_names::endpointsPath) + "i-1", "Transfer-Encoding: chunked\r\n", body), true);
        CHECK(atControl.starts_with("HTTP/1.1 400 "));
        REQUIRE(fleet.control(1).isRunning());
    }
    auto longHeader = exchangeBytes(fleet.entryAddress(1), makeRequest("POST", "/book/long", "X-Long: " + longText + "\r\n", ""), true);
    CHECK(longHeader.starts_with("HTTP/1.1 431 "));
    CHECK(app.runCounts().empty());
    auto sound = exchangeBytes(fleet.entryAddress(1), makeRequest("POST", "/book/sound", "Transfer-Encoding: chunked\r\nConnection: close\r\n", "3;a=b\r\nkit\r\n0\r\nX-Trailer: t\r\n\r\n"), true);
    CHECK(sound.starts_with("HTTP/1.1 200 "));
}

TEST_CASE("An entry goes on after a response with a field that is too long", "[promise]")
{
    platform_fleet fleet;
    fleet.start();
    std::string body;
    std::mutex mutex;
    scripted_endpoint app(fleet.endpointAddress(1), [&](const http_exchange::request&) {
        std::lock_guard lock(mutex);
        scripted_response response;
        response.headers = { { "Transfer-Encoding", "chunked" }, { platform_names::responseSeal, "seal" } };
        response.body = body;
        return response;
    });
    // The fake endpoint only writes the reports.
    fake_endpoint reported("app-1", fleet.endpointAddress(101), "app", "");
    reported.setReportedAddress(fleet.endpointAddress(1));
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    endpoint_reporter reporter(fleet, { &reported });
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    auto call = [&](const std::string& next) {
        {
            std::lock_guard lock(mutex);
            body = next;
        }
        return exchangeBytes(fleet.entryAddress(1), makeRequest("POST", "/book/any", fmt::format("{}: 4000\r\nContent-Length: 0\r\nConnection: close\r\n", platform_names::deadlineMs), ""), true);
    };
    const std::string soundBody = "3\r\nkit\r\n0\r\nX-Trailer: t\r\n\r\n";
    REQUIRE(eventually([&] { return call(soundBody).starts_with("HTTP/1.1 200 "); }));
    for (const auto& unread : makeChunkedBodies()) {
        INFO(unread.substr(0, 20));
        CHECK_FALSE(call(unread).starts_with("HTTP/1.1 200 "));
        REQUIRE(fleet.entry(1).isRunning());
    }
    CHECK(eventually([&] { return call(soundBody).starts_with("HTTP/1.1 200 "); }));
}

// Guards against responses that announce such a length that the entry ends as it reserves memory for it.
TEST_CASE("An entry goes on after a response that announces a length beyond all memory", "[promise]")
{
    platform_fleet fleet;
    fleet.start();
    std::atomic<const char*> length { "4" };
    scripted_endpoint app(fleet.endpointAddress(1), [&](const http_exchange::request&) {
        scripted_response response;
        response.headers = { { "Content-Length", length.load() }, { platform_names::responseSeal, "seal" } };
        response.body = "kits";
        return response;
    });
    // The fake endpoint only writes the reports.
    fake_endpoint reported("app-1", fleet.endpointAddress(101), "app", "");
    reported.setReportedAddress(fleet.endpointAddress(1));
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    endpoint_reporter reporter(fleet, { &reported });
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    auto call = [&] { return exchangeBytes(fleet.entryAddress(1), makeRequest("POST", "/book/any", fmt::format("{}: 4000\r\nContent-Length: 0\r\nConnection: close\r\n", platform_names::deadlineMs), ""), true); };
    REQUIRE(eventually([&] { return call().starts_with("HTTP/1.1 200 "); }));
    for (const auto* announced : { "1000000000000000000", "9223372036854775807", "100000000000" }) {
        INFO(announced);
        length = announced;
        CHECK_FALSE(call().starts_with("HTTP/1.1 200 "));
        REQUIRE(fleet.entry(1).isRunning());
    }
    length = "4";
    CHECK(eventually([&] { return call().starts_with("HTTP/1.1 200 "); }));
}
