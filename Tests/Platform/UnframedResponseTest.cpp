// Guards against responses that were broken off and reach their callers as complete, whatever frames their bodies.
#include "Platform/scripted_fleet.h"
#include <regex>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
const std::string wholeEvents = "id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\n";
const std::string partialEvent = "id: 2\nda";
const std::string lastEvents = "id: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n";

scripted_response makeResponse(body_framing framing, connection_end end, std::string body, bool truncated = false)
{
    scripted_response response;
    response.framing = framing;
    response.end = end;
    response.body = std::move(body);
    response.truncated = truncated;
    return response;
}

scripted_response makeRefusal(body_framing framing, connection_end end)
{
    auto refusal = makeResponse(framing, end, "full");
    refusal.status = 503;
    refusal.headers = { { platform_names::notExecuted, "1" } };
    return refusal;
}
}

TEST_CASE("A stream that ends inside an event is broken off, however it is framed", "[promise]")
{
    auto framing = GENERATE(body_framing::Length, body_framing::Chunked, body_framing::None);
    scripted_fleet fleet;
    fleet.addEndpoint("llm", "decode", [&](const auto&) { return makeResponse(framing, connection_end::Close, wholeEvents + partialEvent); });
    auto answer = fleet.send("/once/x");
    INFO("framing " << static_cast<int>(framing) << ": " << answer.body);
    CHECK(answer.status == 200);
    CHECK(answer.broken);
}

TEST_CASE("A resumable stream that ends inside an event goes on at another engine", "[promise]")
{
    auto framing = GENERATE(body_framing::Length, body_framing::Chunked, body_framing::None);
    auto respond = [&](const http_exchange::request& request) {
        if (request[platform_names::lastEventId] == "1")
            return makeResponse(framing, connection_end::Close, lastEvents);
        return makeResponse(framing, connection_end::Close, wholeEvents + partialEvent);
    };
    scripted_fleet fleet;
    fleet.addEndpoint("llm", "decode", respond);
    fleet.addEndpoint("llm", "decode", respond);
    auto answer = fleet.send("/report/x");
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
    CHECK(answer.body == wholeEvents + lastEvents);
}

TEST_CASE("A stream without length and chunks is complete when its connection is closed after an event", "[promise]")
{
    scripted_fleet fleet;
    auto path = GENERATE("/once/x", "/report/x");
    std::string lineEnd = GENERATE("\n", "\r\n", "\r");
    auto body = std::regex_replace(wholeEvents, std::regex("\n"), lineEnd);
    fleet.addEndpoint("llm", "decode", [&](const auto&) { return makeResponse(body_framing::None, connection_end::Close, body); });
    auto answer = fleet.send(path);
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
    CHECK(answer.body == body);
}

TEST_CASE("A stream whose connection is closed before its first event is broken off", "[promise]")
{
    scripted_fleet fleet;
    fleet.addEndpoint("llm", "decode", [](const auto&) { return makeResponse(body_framing::None, connection_end::Close, ""); });
    auto answer = fleet.send("/once/x");
    CHECK((answer.status != 200 || answer.broken));
}

TEST_CASE("A stream whose connection is reset is broken off", "[promise]")
{
    scripted_fleet fleet;
    fleet.addEndpoint("llm", "decode", [](const auto&) { return makeResponse(body_framing::None, connection_end::Reset, wholeEvents); });
    auto answer = fleet.send("/once/x");
    CHECK(answer.status == 200);
    CHECK(answer.broken);
}

TEST_CASE("A plain response without length and chunks is complete when its connection is closed", "[promise]")
{
    scripted_fleet fleet;
    auto& endpoint = fleet.addEndpoint("app", "", [](const auto&) { return makeResponse(body_framing::None, connection_end::Close, "the answer"); });
    auto path = GENERATE("/read/x", "/book/x");
    auto answer = fleet.send(path);
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.broken);
    CHECK(answer.body == "the answer");
    CHECK(endpoint.requestCounts() == std::map<std::string, int> { { "one", 1 } });
}

TEST_CASE("A plain response that is broken off is not complete", "[promise]")
{
    auto broken = GENERATE(makeResponse(body_framing::None, connection_end::Reset, "the ans"), makeResponse(body_framing::Length, connection_end::Close, "the ans", true),
        makeResponse(body_framing::Chunked, connection_end::Close, "the ans", true));
    scripted_fleet fleet;
    auto& endpoint = fleet.addEndpoint("app", "", [&](const auto&) { return broken; });
    auto answer = fleet.send("/book/x");
    CHECK(answer.status == 502);
    CHECK(endpoint.requestCounts() == std::map<std::string, int> { { "one", 1 } });
}

TEST_CASE("A refusal sends the call to another endpoint, however the refusal is framed", "[promise]")
{
    auto refusal = GENERATE(makeRefusal(body_framing::None, connection_end::Close), makeRefusal(body_framing::None, connection_end::Reset),
        makeRefusal(body_framing::Length, connection_end::KeepOpen), makeRefusal(body_framing::Chunked, connection_end::KeepOpen));
    std::atomic<int> requests { 0 };
    auto respond = [&](const auto&) { return ++requests == 1 ? refusal : makeResponse(body_framing::None, connection_end::Close, "the answer"); };
    scripted_fleet fleet;
    fleet.addEndpoint("app", "", respond);
    fleet.addEndpoint("app", "", respond);
    auto answer = fleet.send("/book/x");
    CHECK(answer.status == 200);
    CHECK(answer.body == "the answer");
    CHECK(requests == 2);
}

TEST_CASE("A prompt is read although the response to it has neither length nor chunks", "[promise]")
{
    const std::string handle = R"({"kvHandle":"handle-1","tokens":10,"version":1})";
    // A handle that was cut off would have the decode engine fetch memory that doesn't exist.
    auto isCut = GENERATE(false, true);
    auto read = isCut ? makeResponse(body_framing::None, connection_end::Reset, handle) : makeResponse(body_framing::None, connection_end::Close, handle);
    std::string source;
    scripted_fleet fleet;
    fleet.addEndpoint("llm", "prefill", [&](const auto&) { return read; });
    fleet.addEndpoint("llm", "decode", [&](const http_exchange::request& request) {
        source = std::string(request[platform_names::kvSource]);
        return makeResponse(body_framing::None, connection_end::Close, wholeEvents);
    });
    auto answer = fleet.send("/once/x");
    CHECK(answer.status == 200);
    CHECK(answer.body == wholeEvents);
    CHECK(source == (isCut ? std::string() : fleet.platform.endpointAddress(1) + "/handle-1"));
}
