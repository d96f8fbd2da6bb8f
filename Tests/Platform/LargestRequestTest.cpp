// Guards against limits for crowds that refuse a single request of the longest head and body that callers may send.
#include "Platform/platform_fleet.h"
#include "Platform/scripted_endpoint.h"
#include "platform_names.h"
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr std::size_t maxHeadBytes = 16384;
constexpr std::size_t maxBodyBytes = 4UL * 1024 * 1024;
constexpr int memoryMb = 110;
constexpr int maxDescriptors = 1024;

std::string exchangeBytes(const std::string& address, const std::string& bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(parseAddress(address));
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    std::string received;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), ignored);
    return received;
}

std::string makeChunks(const std::string& body, std::size_t chunkBytes)
{
    std::string chunks;
    for (std::size_t i = 0; i < body.size(); i += chunkBytes) {
        auto size = std::min(chunkBytes, body.size() - i);
        chunks += fmt::format("{:x}\r\n", size);
        chunks.append(body, i, size);
        chunks += "\r\n";
    }
    return chunks + "0\r\n\r\n";
}

/// A request head that is extended to the longest allowed one: by many short fields, or by one long one.
std::string makeLongestHead(const std::string& id, const std::string& framing, bool hasShortFields)
{
    auto head = fmt::format("POST /book/{} HTTP/1.1\r\nHost: h.example\r\n{}: Token key-1\r\n{}: {}\r\n{}: 5000\r\nConnection: close\r\n{}", id, platform_names::authorization, platform_names::requestId, id, platform_names::deadlineMs, framing);
    constexpr std::string_view longField = "X-Long: \r\n";
    constexpr std::string_view headEnd = "\r\n";
    if (hasShortFields) {
        while (head.size() + 4 + headEnd.size() <= maxHeadBytes)
            head += "a:\r\n";
    } else {
        head += fmt::format("X-Long: {}\r\n", std::string(maxHeadBytes - headEnd.size() - longField.size() - head.size(), 'x'));
    }
    return head.append(headEnd);
}
}

TEST_CASE("A single request of the longest head and body is served by each framing", "[promise]")
{
    platform_fleet fleet(1, 1);
    fleet.setMemory(memoryMb);
    fleet.setMaxDescriptors(maxDescriptors);
    fleet.start();
    std::string body;
    for (std::size_t i = 0; body.size() < maxBodyBytes; ++i)
        body += fmt::format("{:x},", i);
    body.resize(maxBodyBytes);
    std::atomic<int> wholeBodies { 0 };
    scripted_endpoint app(fleet.endpointAddress(1), [&](const http_exchange::request& request) {
        wholeBodies += request.body() == body ? 1 : 0;
        scripted_response response;
        response.framing = body_framing::Length;
        response.headers = { { platform_names::responseSeal, "seal" } };
        response.body = "served";
        return response;
    });
    // The fake endpoint only writes the reports.
    fake_endpoint reported("app-1", fleet.endpointAddress(101), "app", "");
    reported.setReportedAddress(fleet.endpointAddress(1));
    auto configuration = boost::json::parse(exampleConfiguration(7)).as_object();
    configuration["limits"].as_object()["maxBodyBytes"] = maxBodyBytes;
    REQUIRE(fleet.submitConfiguration(boost::json::serialize(configuration)) == 200);
    endpoint_reporter reporter(fleet, { &reported });
    REQUIRE(eventually([&] { return fleet.isEntryReady(1); }));
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    std::vector<std::pair<std::string, std::string>> framings { { fmt::format("Content-Length: {}\r\n", maxBodyBytes), body }, { chunked, makeChunks(body, maxBodyBytes) }, { chunked, makeChunks(body, 65536) }, { chunked, makeChunks(body, 100) } };
    int sent = 0;
    for (const auto& [framing, bytes] : framings) {
        for (bool hasShortFields : { false, true }) {
            INFO(framing << " " << bytes.size() << (hasShortFields ? " short fields" : ""));
            auto answer = exchangeBytes(fleet.entryAddress(1), makeLongestHead(fmt::format("r-{}", ++sent), framing, hasShortFields) + bytes);
            INFO(answer.substr(0, 200));
            CHECK(answer.starts_with("HTTP/1.1 200 "));
            CHECK(wholeBodies == sent);
            CHECK(fleet.entry(1).isRunning());
        }
    }
}

// Guards against limits at the control processes that refuse what operators and endpoints send.
TEST_CASE("A control process takes a large configuration by each framing", "[promise]")
{
    platform_fleet fleet(1, 1);
    fleet.setMemory(memoryMb);
    fleet.setMaxDescriptors(maxDescriptors);
    fleet.start();
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
    constexpr std::size_t routes = 4000;
    std::uint64_t version = 8;
    for (std::size_t chunkBytes : { 0UL, 100UL, 65536UL }) {
        auto configuration = boost::json::parse(exampleConfiguration(++version)).as_object();
        auto& list = configuration["routes"].as_array();
        for (std::size_t i = 0; i < routes; ++i) {
            auto route = list[0];
            route.as_object()["name"] = fmt::format("more-{}", i);
            route.as_object()["pathPrefix"] = fmt::format("/more-{}/", i);
            list.push_back(route);
        }
        auto body = boost::json::serialize(configuration);
        INFO(body.size() << " bytes, chunks of " << chunkBytes);
        auto framing = chunkBytes == 0 ? fmt::format("Content-Length: {}\r\n", body.size()) : "Transfer-Encoding: chunked\r\n";
        auto answer = exchangeBytes(fleet.controlAddress(1), fmt::format("PUT {} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n{}\r\n{}", platform_names::configurationPath, framing, chunkBytes == 0 ? body : makeChunks(body, chunkBytes)));
        CHECK(answer.starts_with("HTTP/1.1 200 "));
        CHECK(fleet.call(fleet.controlAddress(1), "GET", platform_names::configurationPath).body == body);
    }
}
