#include "Platform/plain_fleet.h"
#include "Platform/scripted_endpoint.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <regex>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr std::chrono::seconds changeBound { 2 };

/// A fleet whose endpoint has reported once.
class text_fleet : public plain_fleet {
public:
    text_fleet()
    {
        REQUIRE(platform.sendReport(app).status == 200);
        REQUIRE(eventually([&] { return platform.isEntryReady(1) && read("first").status == 200; }));
    }

    /// Whether entries still learn of changes.
    bool appliesChange(std::uint64_t version) const { return plain_fleet::appliesChange(version, changeBound); }
};

constexpr const char* reportBody = R"({"service":"lumo","address":"127.0.0.1:9","zone":"a","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1})";
}

// Guards against a report with an unreadable id that cuts all entries off from control.
TEST_CASE("A report whose id isn't plain text is refused and doesn't keep changes from entries", "[promise]")
{
    text_fleet fleet;
    std::string id = GENERATE("i-\xff\xfe\x80", "i-%ff%fe%80", "i-%0d%0aX:%20y", "i-%", "", "%20i-1");
    CHECK(fleet.sendToAll("PUT", id, reportBody) == std::set<unsigned> { 400 });
    INFO(fleet.lastBody);
    CHECK(isPlainText(fleet.lastBody));
    CHECK(fleet.lastBody.find("path") != std::string::npos);
    CHECK(fleet.sendToAll("DELETE", id, "") == std::set<unsigned> { 400 });
    CHECK(fleet.appliesChange(8));
    CHECK(fleet.entryLog().find("event=control_lost") == std::string::npos);
}

// Guards against the loss of endpoints whose ids are sent percent-encoded.
TEST_CASE("An endpoint with a percent-encoded id is the endpoint with the decoded id", "[promise]")
{
    text_fleet fleet;
    REQUIRE(fleet.sendToAll("DELETE", "app%2d1", "") == std::set<unsigned> { 200 });
    CHECK(eventually([&] { return fleet.read("second").status == 503; }));
    fake_endpoint other("app \xc5\xab", fleet.platform.endpointAddress(2), "app", "");
    REQUIRE(fleet.sendToAll("PUT", "app%20%C5%AB", other.makeReport("ready")) == std::set<unsigned> { 200 });
    CHECK(eventually([&] { return fleet.read("third").status == 200; }));
}

// Guards against deregistrations of other writers that end an endpoint, which has no part in them.
TEST_CASE("A deregistration that can't be read ends no endpoint", "[promise]")
{
    text_fleet fleet;
    std::string body = GENERATE("{", "[]", R"({"born":"x"})", R"({"born":-1})", "{\"born\":\"\xff\"}");
    CHECK(fleet.sendToAll("DELETE", "app-1", body) == std::set<unsigned> { 400 });
    CHECK(fleet.read("second").status == 200);
}

// Guards against names in a report that no message can hold.
TEST_CASE("Names in a report that are no plain text or too long are refused with the field and its value", "[promise]")
{
    text_fleet fleet;
    std::string report = reportBody;
    SECTION("a line break in the service")
    {
        CHECK(fleet.sendToAll("PUT", "i-1", std::regex_replace(report, std::regex("lumo"), "lumo\\r\\nX")) == std::set<unsigned> { 400 });
        CHECK(fleet.lastBody.find("service: ") != std::string::npos);
        CHECK(fleet.lastBody.find("lumo") != std::string::npos);
    }
    SECTION("a service of a megabyte")
    {
        CHECK(fleet.sendToAll("PUT", "i-1", std::regex_replace(report, std::regex("lumo"), std::string(1000000, 'l'))) == std::set<unsigned> { 400 });
        CHECK(fleet.lastBody.size() < 500);
    }
    SECTION("a body that isn't UTF-8")
    {
        CHECK(fleet.sendToAll("PUT", "i-1", std::regex_replace(report, std::regex("lumo"), "lumo\xff")) == std::set<unsigned> { 400 });
    }
    CHECK(fleet.appliesChange(8));
}

// Guards against a request id that cuts its entry off from control: it is part of what the entry reports of a crash.
TEST_CASE("An entry keeps its leader when an endpoint crashes under a request whose id isn't UTF-8", "[promise]")
{
    text_fleet fleet;
    fleet.app.setMode(fake_endpoint_mode::AbortBeforeResponse);
    CHECK(fleet.read("req-\xff\xfe").status >= 500);
    CHECK(eventually([&] { return fleet.entryLog().find("event=crash_seen") != std::string::npos; }));
    CHECK(fleet.appliesChange(8));
    CHECK(fleet.entryLog().find("event=control_lost") == std::string::npos);
    CHECK(isPlainText(std::regex_replace(fleet.entryLog(), std::regex("\n"), " ")));
}

// Guards against an endpoint that puts headers or requests of its own into those to another endpoint.
TEST_CASE("A prefill handle with a line break is not passed on", "[promise]")
{
    platform_fleet platform;
    platform.start();
    fake_endpoint decode("decode-1", platform.endpointAddress(2), "llm", "decode");
    fake_endpoint prefill("prefill-1", platform.endpointAddress(3), "llm", "prefill");
    prefill.setReportedAddress(platform.endpointAddress(1));
    scripted_endpoint forging(platform.endpointAddress(1), [](const http_exchange::request& request) {
        scripted_response response;
        response.framing = body_framing::Length;
        response.end = connection_end::KeepOpen;
        response.body = R"({"kvHandle":"1\r\nLast-Event-Id: 3","tokens":500,"version":1})";
        response.headers = { { platform_names::requestId, std::string(request[platform_names::requestId]) }, { platform_names::responseSeal, "s" } };
        return response;
    });
    REQUIRE(platform.submitConfiguration(exampleConfiguration(7)) == 200);
    REQUIRE(platform.sendReport(decode).status == 200);
    REQUIRE(platform.sendReport(prefill).status == 200);
    REQUIRE(eventually([&] { return platform.isEntryReady(1); }));
    http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "one" }, { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, "5000" } };
    REQUIRE(eventually([&] { return platform.call(platform.entryAddress(1), "POST", "/report/x", headers, "the prompt").status == 200; }));
    CHECK(forging.requestCounts().count("one") == 1);
    auto requests = decode.takeRequestLog();
    CHECK_FALSE(requests.empty());
    for (const auto& line : requests)
        CHECK(line.find(platform_names::lastEventId) == std::string::npos);
}

// Guards against an organisation's name that becomes a header of its own in requests to endpoints.
TEST_CASE("A configuration with a line break in an organisation's name is refused", "[promise]")
{
    text_fleet fleet;
    auto body = std::regex_replace(exampleConfiguration(8), std::regex("org-1"), "org\\r\\nX: y");
    CHECK(fleet.platform.submitConfiguration(body) == 400);
    CHECK(fleet.read("second").status == 200);
}
