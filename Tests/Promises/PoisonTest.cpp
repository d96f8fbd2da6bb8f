#include "Support/fleet.h"

#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
fleet_options fivePrefillOptions()
{
    fleet_options options;
    options.prefill = 5;
    return options;
}

/// Sends a poison request that crashes two endpoints, and waits until control has recorded both crashes.
void crashTwoEndpoints(fleet& testFleet)
{
    REQUIRE(testFleet.complete(1, "CRASH-ENDPOINT now", 10).status == 422);
    REQUIRE(eventually([&] { return testFleet.command({ "events" }).out.find("crash 2 of this request") != std::string::npos; }));
}

/// Checks that a 503 during an ownership change is limit_unreachable or no_scheduler, reports not_run and has
/// Retry-After.
void checkOwnerChangeError(const simple_response& response)
{
    INFO(response.body);
    bool isExpectedReason = response.body.find("\"limit_unreachable\"") != std::string::npos || response.body.find("\"no_scheduler\"") != std::string::npos;
    CHECK(isExpectedReason);
    CHECK(response.body.find("\"run\":\"not_run\"") != std::string::npos);
    CHECK_FALSE(response.header("Retry-After").empty());
}
}

// Guards against a request that crashes every endpoint it runs on and, resent through other entries, would take down
// the whole pool. It may crash two endpoints, then it is refused with reason poison_request.
TEST_CASE("A poison request crashes at most two endpoints", "[promise]")
{
    fleet testFleet(fivePrefillOptions());
    testFleet.start();
    auto first = testFleet.complete(1, "CRASH-ENDPOINT now", 10);
    CHECK(first.status == 422);
    CHECK(first.body.find("poison_request") != std::string::npos);
    CHECK(first.body.find("\"run\":\"may_have_run\"") != std::string::npos);
    for (int entry = 1; entry <= 3; ++entry) {
        auto resent = testFleet.complete(entry, "CRASH-ENDPOINT now", 10);
        CHECK(resent.status == 422);
        CHECK(resent.body.find("\"run\":\"not_run\"") != std::string::npos);
    }
    CHECK(testFleet.statSum("crashes") == 2);
    CHECK(testFleet.complete(2, "a good request", 10).status == 200);

    // The poison mark survives the scheduler that set it: control stores it once the crashes are confirmed.
    REQUIRE(eventually([&] { return testFleet.command({ "events" }).out.find("crash 2 of this request") != std::string::npos; }));
    auto owner = testFleet.owner("model:advisor-llm");
    testFleet.scheduler(owner).kill();
    auto resentAfterKill = testFleet.complete(3, "CRASH-ENDPOINT now", 10);
    INFO(resentAfterKill.body);
    CHECK(resentAfterKill.status == 422);
    if (resentAfterKill.status == 503)
        checkOwnerChangeError(resentAfterKill);
    CHECK(testFleet.statSum("crashes") == 2);
}

// Guards against answering a poison request with a retryable 503 when the shard owners are unreachable.
TEST_CASE("A poison request gets 422 while every scheduler is down", "[promise]")
{
    fleet testFleet(fivePrefillOptions());
    testFleet.start();
    crashTwoEndpoints(testFleet);
    for (int scheduler = 1; scheduler <= 2; ++scheduler)
        testFleet.scheduler(scheduler).kill();
    for (int entry = 1; entry <= 3; ++entry) {
        auto resent = testFleet.complete(entry, "CRASH-ENDPOINT now", 10);
        INFO(resent.body);
        CHECK(resent.status == 422);
        CHECK(resent.body.find("\"run\":\"not_run\"") != std::string::npos);
    }
    CHECK(testFleet.statSum("crashes") == 2);
}

// Guards against a 503 without the run state or Retry-After while shards change owners.
TEST_CASE("A good request succeeds after a scheduler is killed, with only retryable 503s before that", "[promise]")
{
    constexpr std::chrono::seconds ownerChangeTimeout { 10 };
    fleet testFleet(fivePrefillOptions());
    testFleet.start();
    REQUIRE(testFleet.complete(3, "a good request", 10).status == 200);
    testFleet.scheduler(testFleet.owner("model:advisor-llm")).kill();
    simple_response response;
    CHECK(eventually([&] {
        response = testFleet.complete(3, "a good request", 10);
        if (response.status == 503)
            checkOwnerChangeError(response);
        return response.status != 503;
    },
        ownerChangeTimeout));
    INFO(response.body);
    CHECK(response.status == 200);
}

// Guards against refusing a request permanently because network faults broke its connections to endpoints. It is
// accepted again once the endpoints announce that they are alive.
TEST_CASE("Broken connections don't mark a request as poison", "[promise]")
{
    auto options = fivePrefillOptions();
    options.proxiedEndpoints = true;
    options.endpointLines = "prefill_tokens_per_s = 2000\n";
    fleet testFleet(options);
    testFleet.start();
    std::string prompt(8000, 'p');
    auto faultThread = std::thread([&] {
        REQUIRE(eventually([&] { return testFleet.command({ "status" }).out.find(" in_flight=1 ") != std::string::npos; }));
        for (int i = 0; i < 40; ++i) {
            for (int endpoint = 101; endpoint <= 105; ++endpoint)
                testFleet.proxy().closeConnections(testFleet.ip(endpoint - 10));
            std::this_thread::sleep_for(milliseconds(50));
        }
    });
    auto broken = testFleet.complete(1, prompt, 10);
    faultThread.join();
    CHECK(broken.status == 422);
    CHECK(eventually([&] { return testFleet.complete(2, prompt, 10).status == 200; }));
}
