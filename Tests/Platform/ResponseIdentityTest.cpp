// Guards against responses that reach a caller, or the entry itself, though they belong to another request on the same connection.
#include "Platform/scripted_fleet.h"

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
const std::string events = "id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\n";

scripted_response makeStream()
{
    scripted_response response;
    response.framing = body_framing::Length;
    response.end = connection_end::KeepOpen;
    response.body = events;
    return response;
}

/// What a server answers that has no status requests. It names no request, since the request had no id.
scripted_response makeUnknownPath()
{
    scripted_response response;
    response.status = 404;
    response.framing = body_framing::Length;
    response.end = connection_end::KeepOpen;
    response.body = "no such path";
    return response;
}
}

TEST_CASE("A stream doesn't get the response to the entry's status request after a late copy of an earlier response", "[promise]")
{
    scripted_fleet fleet;
    auto& engine = fleet.addEndpoint("llm", "decode", [](const http_exchange::request& request) {
        auto response = makeStream();
        response.repeatedBeforeNext = request[platform_names::requestId] == "before";
        return response;
    });
    engine.setStatusScript([](const auto&) { return makeUnknownPath(); });
    REQUIRE(fleet.send("/once/x", "before").status == 200);
    auto answer = fleet.send("/report/x", "stream");
    INFO(answer.status << " " << answer.body << "\n"
                       << fleet.entryLog());
    CHECK(answer.status == 200);
    CHECK(answer.body == events);
    CHECK(engine.requestCounts()["stream"] == 1);
}

TEST_CASE("A stream doesn't get a late copy of the response to the entry's status request", "[promise]")
{
    scripted_fleet fleet;
    auto& engine = fleet.addEndpoint("llm", "decode", [](const auto&) { return makeStream(); });
    engine.setStatusScript([](const auto&) {
        auto response = makeUnknownPath();
        response.repeatedBeforeNext = true;
        return response;
    });
    auto answer = fleet.send("/report/x");
    INFO(answer.status << " " << answer.body << "\n"
                       << fleet.entryLog());
    CHECK(answer.status == 200);
    CHECK(answer.body == events);
}

TEST_CASE("A response that names no request isn't passed on", "[promise]")
{
    scripted_fleet fleet;
    fleet.addEndpoint("app", "", [](const auto&) {
        scripted_response response;
        response.raw = "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nwhose";
        response.end = connection_end::KeepOpen;
        return response;
    });
    CHECK(fleet.send("/book/x").status == 502);
}

TEST_CASE("A call to a method without body gets its own response behind a late copy with a body, and leaves nothing behind", "[promise]")
{
    scripted_fleet fleet;
    auto& app = fleet.addEndpoint("app", "", [](const http_exchange::request& request) {
        auto response = makeStream();
        response.repeatedBeforeNext = request[platform_names::requestId] == "before" || request.method_string() == "HEAD";
        if (request.method_string() == "HEAD")
            response.raw = fmt::format("HTTP/1.1 200 Scripted\r\n{}: {}\r\n{}: seal\r\nContent-Length: 100\r\n\r\n", platform_names::requestId, std::string(request[platform_names::requestId]), platform_names::responseSeal);
        return response;
    });
    REQUIRE(fleet.send("/read/x", "before").status == 200);
    http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, "head" }, { platform_names::deadlineMs, "3000" } };
    // The test's client would wait for a body.
    auto head = fleet.platform.call(fleet.platform.entryAddress(1), "HEAD", "/read/x", headers, {}, milliseconds(500));
    CHECK(head.status == 200);
    auto after = fleet.send("/book/x", "after");
    CHECK(after.status == 200);
    CHECK(after.body == events);
    CHECK(app.requestCounts()["after"] == 1);
}
