#include "http/http.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

// Guards against connections of callers that leave no descriptors for endpoints, or no memory for requests.
TEST_CASE("Connections of callers are limited by descriptors and by memory")
{
    CHECK(maxCallerConnections({ 4096, 4100 }) == 1638);
    auto byMemory = maxCallerConnections({ 110, 1'000'000 });
    CHECK(byMemory * request_reader::maxUnreadBytes <= 110UL * 1024 * 1024 / 4);
    CHECK((byMemory + 1) * request_reader::maxUnreadBytes > 110UL * 1024 * 1024 / 4);
    // As many connections to endpoints, and two for each relayed one, fit beside them.
    for (std::size_t descriptors : { 600UL, 1024UL, 4100UL })
        CHECK(2 * maxCallerConnections({ 4096, descriptors }) + 2 * maxRelaySessions({ 4096, descriptors }) <= descriptors - 200);
    CHECK(maxCallerConnections({ 0, 0 }) == 1);
    CHECK(maxRelaySessions({ 4096, 4100 }) == 195);
    CHECK(maxRelaySessions({ 4096, 1'000'000 }) == 512);
}

// Guards against crowds whose connections are not accepted yet and hold more than the memory that is left for them.
TEST_CASE("Connections that wait to be accepted are limited by memory")
{
    for (std::size_t megabytes : { 64UL, 1024UL, 4096UL })
        CHECK(static_cast<std::size_t>(maxWaitingConnections({ megabytes, 1024 })) * 128 * 1024 <= megabytes * 1024 * 1024 / 8);
    CHECK(maxWaitingConnections({ 2048, 1024 }) == 2048);
    CHECK(maxWaitingConnections({ 1, 1024 }) == 16);
    CHECK(maxWaitingConnections({ 1'000'000, 1024 }) == 4096);
}

TEST_CASE("Limits that the settings don't state are those of the system")
{
    auto limits = completeLimits({ 0, 0 });
    CHECK(limits.memoryMb > 0);
    CHECK(limits.descriptors > 0);
    CHECK(completeLimits({ 64, 10 }).memoryMb == 64);
    CHECK(completeLimits({ 64, 10 }).descriptors == 10);
    CHECK(completeLimits({ 64, limits.descriptors + 1 }).descriptors == limits.descriptors);
}

// Guards against heads of many short fields that take many times their length unaccounted.
TEST_CASE("The estimate of a head covers its fields")
{
    std::string head = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 4000; ++i)
        head += "a:\r\n";
    CHECK(estimateHeadCost(head) >= 4000 * 100 + head.size());
}
