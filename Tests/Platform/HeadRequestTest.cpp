// Guards against responses of the processes' own to HEAD that bring a body, which callers read as the begin of their next response.
#include "Platform/platform_fleet.h"
#include "Platform/raw_exchange.h"
#include "platform_names.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
std::string makeRequest(const std::string& method, const std::string& path, const std::string& key, bool closes)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\n{}: {}\r\n{}: {}\r\n{}: 3000\r\n{}\r\n", method, path, platform_names::authorization, key, platform_names::requestId, method + path, platform_names::deadlineMs, closes ? "Connection: close\r\n" : "");
}

/// Whether the text is one head and, right behind it, another response.
void checkIsHeadThenResponse(const std::string& received, const std::string& nextStatus)
{
    INFO(received);
    auto end = received.find("\r\n\r\n");
    REQUIRE(end != std::string::npos);
    CHECK(received.substr(end + 4).starts_with("HTTP/1.1 " + nextStatus + " "));
}
}

TEST_CASE("A response of an entry's own to HEAD has no body, and the next call on the connection gets its own", "[promise]")
{
    platform_fleet fleet;
    fleet.start();
    fake_endpoint app("app-1", fleet.endpointAddress(1), "app", "");
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    endpoint_reporter reporter(fleet, { &app });
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    auto after = makeRequest("GET", "/read/x", "Token key-1", true);
    checkIsHeadThenResponse(exchangeBytes(fleet.entryAddress(1), makeRequest("HEAD", "/unknown/x", "Token key-1", false) + after), "200");
    checkIsHeadThenResponse(exchangeBytes(fleet.entryAddress(1), makeRequest("HEAD", "/read/x", "Token key-9", false) + after), "200");
    app.setMode(fake_endpoint_mode::RejectNotExecuted);
    checkIsHeadThenResponse(exchangeBytes(fleet.entryAddress(1), makeRequest("HEAD", "/read/x", "Token key-1", false) + after), "503");
    CHECK(exchangeBytes(fleet.entryAddress(1), makeRequest("HEAD", "/unknown/x", "Token key-1", true)).ends_with("\r\n\r\n"));
}

TEST_CASE("Responses to HEAD of the servers for metrics and the operator have no body", "[promise]")
{
    platform_fleet fleet;
    fleet.start();
    REQUIRE(eventually([&] { return !fleet.fetchMetrics(fleet.entryIp(1)).empty(); }));
    auto head = makeRequest("HEAD", "/metrics", "", true);
    CHECK(exchangeBytes(fleet.entryIp(1) + ":9464", head).ends_with("\r\n\r\n"));
    CHECK(exchangeBytes(fleet.readyAddress(1), head).ends_with("\r\n\r\n"));
    CHECK(exchangeBytes(fleet.controlAddress(1), head).ends_with("\r\n\r\n"));
}
