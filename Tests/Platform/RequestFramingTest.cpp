#include "Platform/platform_fleet.h"
#include "Platform/raw_exchange.h"
#include "platform_names.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// A request whose framing readers could take for different things.
struct unclear_request {
    /// Header lines, with their line ends, and perhaps more.
    std::string header;
    std::string body;
    unsigned status = 0;
};

/// `inner` is a request that must not run.
std::vector<unclear_request> makeUnclearRequests(const std::string& inner)
{
    auto length = std::to_string(inner.size());
    auto chunkOf = [&](const std::string& size) { return fmt::format("{}\r\n{}\r\n0\r\n\r\n{}", size, inner, inner); };
    auto hexLength = fmt::format("{:x}", inner.size());
    std::vector<unclear_request> requests;
    for (const auto* coding : { "identity", "xchunked", "gzip", "gzip, chunked", "chunked, identity", "chunked, chunked", "chunked;q=1", "\"chunked\"", "chunked,", ",chunked", "", "chunked\r\nTransfer-Encoding: identity", "identity\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: gzip", "\x0b"
                                                                                                                                                                                                                                                                                                              "chunked",
             "chunked\x0b" })
        requests.push_back({ fmt::format("Transfer-Encoding: {}\r\n", coding), inner, 501 });
    requests.push_back({ "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunkOf(hexLength), 400 });
    for (const auto* coding : { "chunked", "identity", "CHUNKED" }) {
        requests.push_back({ fmt::format("Content-Length: {}\r\nTransfer-Encoding: {}\r\n", length, coding), chunkOf(hexLength), 400 });
        requests.push_back({ fmt::format("Transfer-Encoding: {}\r\nContent-Length: 0\r\n", coding), chunkOf(hexLength), 400 });
    }
    for (const auto& value : std::vector<std::string> { "+" + length, "-" + length, "0x" + hexLength, length + ", " + length, length + "," + length, "0, " + length, length + " 0", length + ".0", length + "e0", length + ";", std::string(), std::string("-0"), std::string("+0"), std::string("zero"), "99999999999999999999" + length, "18446744073709551616", "00000000000000000000000" + length, "\"" + length + "\"", "0\r\nContent-Length: " + length, length + "\r\nContent-Length: " + length, length + "\r\ncontent-length: 0" })
        requests.push_back({ fmt::format("Content-Length: {}\r\n", value), inner, 400 });
    for (const auto& line : std::vector<std::string> { "Content-Length : " + length + "\r\n", "Content-Length\t: " + length + "\r\n", "Transfer-Encoding : chunked\r\n", " Content-Length: " + length + "\r\n", "X-Folded: a\r\n Content-Length: " + length + "\r\n", "X-Folded: a\r\n\tTransfer-Encoding: chunked\r\n", "Content-Length:\r\n " + length + "\r\n", "Content-Length: " + length + "\n", "X-Bare: a\nContent-Length: " + length + "\r\n", "X-Bare: a\rContent-Length: " + length + "\r\n", "X-Bare: a\n\n", "X-Bare: a\r\n\n", "Content-Length " + length + "\r\n", ": " + length + "\r\n", "Content Length: " + length + "\r\n" })
        requests.push_back({ line, inner, 400 });
    for (const auto& size : std::vector<std::string> { "0x" + hexLength, "+" + hexLength, "-" + hexLength, " " + hexLength, hexLength + "g", std::string("g"), std::string(), "\"" + hexLength + "\"", std::string("ffffffffffffffffff"), hexLength + "\r", hexLength + "\n", hexLength + " ;;" })
        requests.push_back({ "Transfer-Encoding: chunked\r\n", chunkOf(size), 400 });
    return requests;
}

std::string makeBooking(const std::string& id, const std::string& more, const std::string& body)
{
    return fmt::format("POST /book/{} HTTP/1.1\r\nHost: h.example\r\n{}: Token key-1\r\n{}: {}\r\n{}\r\n{}", id, platform_names::authorization, platform_names::requestId, id, more, body);
}
}

// Guards against a request that runs though it is the body of another, since two readers find the end of a body at different places.
TEST_CASE("A request whose framing is unclear is refused with a message, and nothing in its body runs", "[promise]")
{
    platform_fleet fleet;
    fleet.start();
    fake_endpoint app("app-1", fleet.endpointAddress(1), "app", "");
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    REQUIRE(fleet.sendReport(app).status == 200);
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    auto requests = makeUnclearRequests(makeBooking("inner", "Content-Length: 0\r\nConnection: close\r\n", ""));
    CHECK(requests.size() >= 60);
    for (const auto& request : requests) {
        INFO(request.header << "|" << request.body.substr(0, 40));
        auto answer = exchangeBytes(fleet.entryAddress(1), makeBooking("outer", request.header, request.body));
        CHECK(answer.starts_with(fmt::format("HTTP/1.1 {} ", request.status)));
        CHECK(answer.find("HTTP/1.1 ", 1) == std::string::npos);
        auto refused = exchangeBytes(fleet.controlAddress(1), fmt::format("PUT {}i-1 HTTP/1.1\r\nHost: c\r\n{}\r\n{}", platform_names::endpointsPath, request.header, request.body));
        CHECK(refused.starts_with(fmt::format("HTTP/1.1 {} ", request.status)));
        CHECK(refused.find("HTTP/1.1 ", 1) == std::string::npos);
    }
    CHECK(app.runCounts().empty());
    auto log = readFile(fleet.folder() + "/entry-1.out");
    for (const auto* why : { "malformed_head", "unclear_length", "unknown_transfer_coding" })
        CHECK(log.find(fmt::format("event=request_unreadable why={}", why)) != std::string::npos);
    auto chunked = exchangeBytes(fleet.entryAddress(1), makeBooking("sound", "Transfer-Encoding: Chunked\r\nConnection: close\r\n", "3\r\nkit\r\n0\r\n\r\n"));
    CHECK(chunked.starts_with("HTTP/1.1 200 "));
    auto extended = exchangeBytes(fleet.entryAddress(1), makeBooking("sound-2", "transfer-encoding:chunked\r\nX-Empty:\r\nConnection: close\r\n", "3;a=b\r\nkit\r\n0\r\nX-Trailer: t\r\n\r\n"));
    CHECK(extended.starts_with("HTTP/1.1 200 "));
}
