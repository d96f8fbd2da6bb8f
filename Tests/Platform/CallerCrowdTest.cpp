// Guards against crowds of callers that end a process, take all its memory or descriptors, or keep ordinary callers out.
#include "Platform/crowd_fleet.h"
#include "platform_names.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
/// The longest head and body of the platform's limits.
constexpr std::size_t maxHeadBytes = 16 * kilobyte;
constexpr std::size_t maxBodyBytes = 4 * megabyte;

std::string makeHead(const std::string& method, const std::string& target, const std::string& lines)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\n{}: Token key-1\r\n{}: crowd\r\n{}: 20000\r\n{}\r\n", method, target, platform_names::authorization, platform_names::requestId, platform_names::deadlineMs, lines);
}

/// An address at which a crowd arrives, the request that it sends there, and an ordinary request that must be answered beside it.
struct routed_calls {
    static std::string address(crowd_fleet& fleet) { return fleet.processes().entryAddress(1); }
    static std::string head(const std::string& lines) { return makeHead("POST", "/book/crowd", lines); }
    static std::string question() { return makeHead("GET", "/read/crowd", ""); }
    static bool isAnswered(crowd_fleet& fleet) { return fleet.isCallServed(); }
};

struct calls_without_route : routed_calls {
    static std::string head(const std::string& lines) { return makeHead("POST", "/no/route", lines); }
    static std::string question() { return makeHead("GET", "/no/route", ""); }
};

struct ready_door {
    static std::string address(crowd_fleet& fleet) { return fleet.processes().readyAddress(1); }
    static std::string head(const std::string& lines) { return makeHead("POST", platform_names::readyPath, lines); }
    static std::string question() { return makeHead("GET", platform_names::readyPath, ""); }
    static bool isAnswered(crowd_fleet& fleet) { return fleet.isReadyAnswered(); }
};

struct metrics_door {
    static std::string address(crowd_fleet& fleet) { return fleet.metricsAddress(); }
    static std::string head(const std::string& lines) { return makeHead("POST", "/metrics", lines); }
    static std::string question() { return makeHead("GET", "/metrics", ""); }
    static bool isAnswered(crowd_fleet& fleet) { return fleet.areMetricsAnswered(); }
};

struct control_door {
    static std::string address(crowd_fleet& fleet) { return fleet.processes().controlAddress(1); }
    static std::string head(const std::string& lines) { return makeHead("PUT", platform_names::configurationPath, lines); }
    static std::string question() { return makeHead("GET", platform_names::configurationPath, ""); }
    static bool isAnswered(crowd_fleet& fleet) { return fleet.isReportAnswered(); }
};

struct unknown_path_at_ready : ready_door {
    static std::string head(const std::string& lines) { return makeHead("POST", "/unknown", lines); }
};

struct control_reports : control_door {
    static std::string head(const std::string& lines) { return makeHead("PUT", std::string(platform_names::endpointsPath) + "crowd", lines); }
};

struct relay_door : routed_calls {
    static std::string address(crowd_fleet& fleet) { return fleet.relayAddress(); }
};

/// Checks that both processes are sound while the crowd is there.
template <typename Door>
void checkBeside(crowd_fleet& fleet, std::size_t members, const repeated_request& request)
{
    request_crowd crowd(Door::address(fleet), members, request);
    crowd.waitUntilStill();
    CHECK(Door::isAnswered(fleet));
    CHECK(fleet.isCallServed());
    CHECK(fleet.processes().entry(1).isRunning());
    CHECK(fleet.processes().control(1).isRunning());
    for (auto* monitor : { &fleet.entryMonitor(), &fleet.controlMonitor() }) {
        INFO(fmt::format("peak {} MB, unread {} MB, {} descriptors; the crowd sent {} MB", monitor->peakMemory() / megabyte, monitor->peakUnread() / megabyte, monitor->peakDescriptors(), crowd.sentBytes() / megabyte));
        CHECK(monitor->peakMemory() <= crowd_fleet::memoryBytes);
        CHECK(monitor->peakDescriptors() <= crowd_fleet::maxDescriptors - crowd_fleet::reservedDescriptors);
    }
}
}

TEMPLATE_TEST_CASE("Whole bodies without their last byte", "[crowd]", routed_calls, calls_without_route, ready_door, unknown_path_at_ready, metrics_door, control_door, control_reports)
{
    crowd_fleet fleet;
    repeated_request request { TestType::head(fmt::format("Content-Length: {}\r\n", maxBodyBytes)), std::string(maxBodyBytes - 1, 'x'), 1, "" };
    checkBeside<TestType>(fleet, 40, request);
}

TEMPLATE_TEST_CASE("Bodies in small pieces without their last byte", "[crowd]", routed_calls, calls_without_route, ready_door, metrics_door, control_door)
{
    crowd_fleet fleet;
    repeated_request request { TestType::head(fmt::format("Content-Length: {}\r\n", maxBodyBytes)), std::string(maxBodyBytes - 1, 'x'), 1, "" };
    request.pieceBytes = 8 * kilobyte;
    checkBeside<TestType>(fleet, 40, request);
}

TEMPLATE_TEST_CASE("Bodies in chunks without their last chunk", "[crowd]", routed_calls, calls_without_route, ready_door, unknown_path_at_ready, metrics_door, control_door, control_reports)
{
    crowd_fleet fleet;
    constexpr std::size_t chunkBytes = 1000;
    repeated_request request { TestType::head("Transfer-Encoding: chunked\r\n"), fmt::format("{:x}\r\n{}\r\n", chunkBytes, std::string(chunkBytes, 'x')), maxBodyBytes / chunkBytes - 1, "" };
    checkBeside<TestType>(fleet, 40, request);
}

TEMPLATE_TEST_CASE("Bodies far over the limit", "[crowd]", routed_calls, calls_without_route, ready_door, unknown_path_at_ready, metrics_door, control_door, control_reports)
{
    crowd_fleet fleet;
    constexpr std::size_t chunkBytes = 64 * kilobyte;
    repeated_request request { TestType::head("Transfer-Encoding: chunked\r\n"), fmt::format("{:x}\r\n{}\r\n", chunkBytes, std::string(chunkBytes, 'x')), 10 * maxBodyBytes / chunkBytes, "" };
    checkBeside<TestType>(fleet, 20, request);
}

TEMPLATE_TEST_CASE("Heads of many short fields", "[crowd]", routed_calls, calls_without_route, ready_door, metrics_door, control_door)
{
    crowd_fleet fleet;
    std::string fields = "Content-Length: 10\r\n";
    while (TestType::head(fields).size() < maxHeadBytes - 4)
        fields += "a:\r\n";
    checkBeside<TestType>(fleet, 300, { TestType::head(fields), "", 0, "short" });
}

TEMPLATE_TEST_CASE("Trailers of many short fields", "[crowd]", routed_calls, calls_without_route, ready_door, metrics_door, control_door)
{
    crowd_fleet fleet;
    constexpr std::size_t trailerBytes = 50 * kilobyte;
    checkBeside<TestType>(fleet, 300, { TestType::head("Transfer-Encoding: chunked\r\n") + "3\r\nkit\r\n0\r\n", "a:\r\n", trailerBytes / 4, "" });
}

TEMPLATE_TEST_CASE("Requests sent ahead without reading the answers", "[crowd]", routed_calls, calls_without_route, ready_door, metrics_door, control_door)
{
    crowd_fleet fleet;
    constexpr std::size_t requests = 10000;
    checkBeside<TestType>(fleet, 500, { "", TestType::question(), requests, "" });
}

// Guards against connections that wait to be accepted, while the process is busy, with more data than its memory.
TEMPLATE_TEST_CASE("Requests sent ahead on many connections at once", "[crowd]", control_door)
{
    crowd_fleet fleet;
    constexpr std::size_t requests = 1000;
    checkBeside<TestType>(fleet, 800, { "", TestType::question(), requests, "" });
}

TEMPLATE_TEST_CASE("Heads that stop before their end", "[crowd]", routed_calls, calls_without_route, ready_door, metrics_door, control_door)
{
    crowd_fleet fleet;
    auto head = TestType::head("X-Long: " + std::string(maxHeadBytes - kilobyte, 'x') + "\r\n");
    checkBeside<TestType>(fleet, 900, { head.substr(0, head.size() - 1), "", 0, "" });
}

TEMPLATE_TEST_CASE("Heads that are sent byte by byte", "[crowd]", routed_calls, calls_without_route, ready_door, metrics_door, control_door)
{
    crowd_fleet fleet;
    constexpr std::size_t bytesSent = 100;
    repeated_request request { TestType::question().substr(0, bytesSent), "", 0, "" };
    request.pieceBytes = 1;
    request.pause = milliseconds(20);
    checkBeside<TestType>(fleet, 900, request);
}

TEMPLATE_TEST_CASE("Idle connections", "[crowd]", routed_calls, ready_door, metrics_door, control_door)
{
    crowd_fleet fleet;
    checkBeside<TestType>(fleet, 900, {});
}

TEMPLATE_TEST_CASE("Whole documents of many small values", "[crowd]", control_door)
{
    crowd_fleet fleet;
    constexpr std::size_t values = 3 * megabyte;
    checkBeside<TestType>(fleet, 3, { TestType::head(fmt::format("Content-Length: {}\r\n", 2 * values + 3)) + "[", "0,", values, "0]" });
}

TEMPLATE_TEST_CASE("Relay messages without their last byte", "[crowd]", relay_door)
{
    crowd_fleet fleet;
    // The length of the message comes first.
    constexpr std::size_t messageBytes = 4096;
    auto length = std::string("\x00\x00\x10\x00", 4);
    checkBeside<TestType>(fleet, 900, { length, std::string(messageBytes - 1, 'x'), 1, "" });
}

TEMPLATE_TEST_CASE("Requests at the relay", "[crowd]", relay_door)
{
    crowd_fleet fleet;
    checkBeside<TestType>(fleet, 900, { makeHead("POST", "/book/crowd", fmt::format("Content-Length: {}\r\n", maxBodyBytes)), std::string(maxBodyBytes, 'x'), 1, "" });
}
