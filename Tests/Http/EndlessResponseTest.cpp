// Guards against clients that hold what a server in trouble sends without end, or that never stop to wait for the end of it.
#include "http/http.h"
#include "Support/endless_server.h"
#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr milliseconds fetchTimeout { 300 };
/// For each of the request, the head and the body, and the way there and back.
constexpr milliseconds fetchBound { 2000 };
constexpr std::uint64_t maxBodyBytes = 64 * 1024;
/// What the kernel takes beyond that on both sides of a connection.
constexpr std::uint64_t maxSocketBytes = 16ULL * 1024 * 1024;

struct fetched {
    http_response response;
    milliseconds time { 0 };
};

fetched fetchFrom(const endless_server& server)
{
    boost::asio::io_context context;
    fetched result;
    auto startedAt = std::chrono::steady_clock::now();
    auto run = [&]() -> task_of<void> {
        http_request request { "GET", "/", {}, {} };
        request.maxResponseBytes = maxBodyBytes;
        result.response = co_await http_client::fetch(server.address(), request, milliseconds(1000), fetchTimeout);
    };
    boost::asio::co_spawn(context, run, boost::asio::detached);
    context.run();
    result.time = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - startedAt);
    return result;
}
}

TEST_CASE("A response without end is given up, wherever it doesn't end")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string block(4096, 'x');
    auto [first, repeated] = GENERATE_COPY(table<std::string, std::string>({
        { "", block },
        { head + "X: ", block },
        { head, "X-Field: value\r\n" },
        { "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" },
        { head + "\r\n", block },
        { head + "Content-Length: 1000000000000\r\n\r\n", block },
        { head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n" },
        { head + "Transfer-Encoding: chunked\r\n\r\n", "0" },
        { head + "Transfer-Encoding: chunked\r\n\r\n1;", block },
        { head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: value\r\n" },
    }));
    endless_server server(first, repeated, milliseconds(0));
    auto result = fetchFrom(server);
    INFO(first << " then " << repeated.substr(0, 20) << ": " << result.time.count() << " ms, " << result.response.body.size() << " bytes");
    CHECK_FALSE(result.response.succeeded());
    CHECK(result.response.failed != call_failure::None);
    CHECK(result.response.body.size() <= maxBodyBytes);
    CHECK(result.time < fetchBound);
    CHECK(server.takenBytes() < maxSocketBytes);
}

TEST_CASE("A response that goes on in small pieces doesn't hold a client for longer than its timeouts")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    auto first = GENERATE_COPY(std::string(), head, head + "\r\n");
    auto repeated = first.empty() ? "HTTP/1.1 100 Continue\r\n\r\n" : first == head ? "X: y\r\n"
                                                                                    : "x";
    endless_server server(first, repeated, milliseconds(50));
    auto result = fetchFrom(server);
    INFO(first << ": " << result.time.count() << " ms");
    CHECK(result.response.failed != call_failure::None);
    CHECK(result.time < fetchBound);
}
