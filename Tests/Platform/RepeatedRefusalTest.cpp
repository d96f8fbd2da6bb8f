// Guards against calls that run twice because a late copy of an earlier refusal is taken for the response to a later attempt.
#include "Platform/platform_fleet.h"
#include "Platform/scripted_endpoint.h"
#include "platform_names.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// So many calls that the retry budget has room for those of one more.
constexpr int callsBefore = 100;
const std::string refusedId = "refused";
const std::string events = "id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\n";
}

TEST_CASE("A call whose refusal arrives a second time, after the call was sent again, runs once", "[promise]")
{
    platform_fleet platform { 1 };
    platform.start();
    REQUIRE(platform.submitConfiguration(exampleConfiguration(7)) == 200);
    std::atomic<int> refusals { 0 };
    auto respond = [&](const http_exchange::request& request) {
        scripted_response response;
        response.framing = body_framing::Length;
        response.end = connection_end::KeepOpen;
        if (request[platform_names::requestId] == refusedId && ++refusals == 1) {
            response.status = 503;
            response.headers = { { platform_names::notExecuted, "1" } };
            response.repeatedLate = true;
            return response;
        }
        response.headers = { { platform_names::responseSeal, "seal" } };
        response.body = events;
        return response;
    };
    scripted_endpoint engine(platform.endpointAddress(1), respond);
    fake_endpoint report("endpoint-1", platform.endpointAddress(101), "llm", "decode");
    report.setReportedAddress(platform.endpointAddress(1));
    REQUIRE(platform.sendReport(report).status == 200);
    auto readLog = [&] { return readFile(platform.folder() + "/entry-1.out"); };
    REQUIRE(eventually([&] { return readLog().find("event=endpoint_known endpoint=endpoint-1 ") != std::string::npos && platform.isEntryReady(1); }));
    auto path = GENERATE("/once/x", "/report/x");
    auto call = [&](const std::string& id) {
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, id },
            { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, "3000" } };
        return platform.call(platform.entryAddress(1), "POST", path, headers, "the prompt");
    };
    for (int i = 0; i < callsBefore; ++i)
        REQUIRE(call(fmt::format("before-{}", i)).status == 200);
    // Without a leader the entry chooses, and asks the only engine again after its refusal.
    platform.control(1).kill();
    auto answer = call(refusedId);
    INFO(path << ": " << answer.status << "\n"
              << readLog().substr(readLog().find("event=control_lost")));
    CHECK(answer.status == 200);
    CHECK(answer.body == events);
    CHECK(engine.requestCounts()[refusedId] == 2);
}
