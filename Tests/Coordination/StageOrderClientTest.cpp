// Guards against control processes that hold what an endpoint in trouble sends without end in place of its status.
#include "coordination/stage_order_client.h"
#include "Support/endless_server.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

TEST_CASE("A status without end is given up, and no order follows")
{
    constexpr std::uint64_t maxTakenBytes = 16ULL * 1024 * 1024;
    endless_server endpoint("HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x'), milliseconds(0));
    boost::asio::io_context context;
    stage_order_codec codec { [] { return http_request { "GET", "/status", {}, {} }; }, [](const std::string&) { return std::optional(stage_order_status { 1, false }); },
        [](const stage_order&) { return http_request { "POST", "/order", {}, {} }; } };
    stage_order_client client(context, codec);
    std::optional<bool> accepted;
    client.send(
        endpoint.address(), {}, [] { return true; }, [&](bool isAccepted) { accepted = isAccepted; });
    context.run();
    REQUIRE(accepted);
    CHECK_FALSE(*accepted);
    CHECK(endpoint.takenBytes() < maxTakenBytes);
}
