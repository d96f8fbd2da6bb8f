#include "Support/fleet.h"

#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
fleet_options manyPrefills()
{
    fleet_options shape;
    shape.prefill = 5;
    return shape;
}

/// Sends a poison request that crashes two endpoints, and waits until control has recorded both crashes.
void crashTwoEndpoints(fleet& where)
{
    REQUIRE(where.complete(1, "CRASH-ENDPOINT now", 10).status == 422);
    REQUIRE(eventually([&] { return where.command({ "events" }).out.find("crash 2 of this request") != std::string::npos; }));
}

/// Checks that a 503 during an ownership change is limit_unreachable or no_scheduler, reports not_run and has
/// Retry-After.
void checkOwnerChangeRefusal(const simple_response& answer)
{
    INFO(answer.body);
    bool changesOwner = answer.body.find("\"limit_unreachable\"") != std::string::npos || answer.body.find("\"no_scheduler\"") != std::string::npos;
    CHECK(changesOwner);
    CHECK(answer.body.find("\"run\":\"not_run\"") != std::string::npos);
    CHECK_FALSE(answer.header("Retry-After").empty());
}
}

// One request crashes each endpoint that runs it, and its caller sends it again through other entries. Unchecked it
// would take down the pool; it may bring down two endpoints, then it is refused with its reason.
TEST_CASE("A poison request crashes at most two endpoints", "[promise]")
{
    fleet where(manyPrefills());
    where.start();
    auto first = where.complete(1, "CRASH-ENDPOINT now", 10);
    CHECK(first.status == 422);
    CHECK(first.body.find("poison_request") != std::string::npos);
    CHECK(first.body.find("\"run\":\"may_have_run\"") != std::string::npos);
    for (int entry = 1; entry <= 3; ++entry) {
        auto resent = where.complete(entry, "CRASH-ENDPOINT now", 10);
        CHECK(resent.status == 422);
        CHECK(resent.body.find("\"run\":\"not_run\"") != std::string::npos);
    }
    CHECK(where.statSum("crashes") == 2);
    CHECK(where.complete(2, "a good request", 10).status == 200);

    // The mark outlives the scheduler that made it: control holds it once the crashes are certain.
    REQUIRE(eventually([&] { return where.command({ "events" }).out.find("crash 2 of this request") != std::string::npos; }));
    auto owner = where.owner("model:advisor-llm");
    where.scheduler(owner).kill();
    auto afterwards = where.complete(3, "CRASH-ENDPOINT now", 10);
    INFO(afterwards.body);
    CHECK(afterwards.status == 422);
    if (afterwards.status == 503)
        checkOwnerChangeRefusal(afterwards);
    CHECK(where.statSum("crashes") == 2);
}

// Guards against answering a poison request with a retryable 503 when the shard owners are unreachable.
TEST_CASE("A poison request gets 422 while every scheduler is down", "[promise]")
{
    fleet where(manyPrefills());
    where.start();
    crashTwoEndpoints(where);
    for (int scheduler = 1; scheduler <= 2; ++scheduler)
        where.scheduler(scheduler).kill();
    for (int entry = 1; entry <= 3; ++entry) {
        auto resent = where.complete(entry, "CRASH-ENDPOINT now", 10);
        INFO(resent.body);
        CHECK(resent.status == 422);
        CHECK(resent.body.find("\"run\":\"not_run\"") != std::string::npos);
    }
    CHECK(where.statSum("crashes") == 2);
}

// Guards against a 503 without the run state or Retry-After while shards change owners.
TEST_CASE("A good request succeeds after a scheduler is killed, with only retryable 503s before that", "[promise]")
{
    constexpr std::chrono::seconds ownerChange { 10 };
    fleet where(manyPrefills());
    where.start();
    REQUIRE(where.complete(3, "a good request", 10).status == 200);
    where.scheduler(where.owner("model:advisor-llm")).kill();
    simple_response answer;
    CHECK(eventually([&] {
        answer = where.complete(3, "a good request", 10);
        if (answer.status == 503)
            checkOwnerChangeRefusal(answer);
        return answer.status != 503;
    },
        ownerChange));
    INFO(answer.body);
    CHECK(answer.status == 200);
}

// Connections to endpoints break for a fault of the network, and the request is blameless. Once the endpoints
// announce themselves alive, it must not stay refused.
TEST_CASE("A broken link makes no request poison", "[promise]")
{
    auto shape = manyPrefills();
    shape.proxiedEndpoints = true;
    shape.endpointLines = "prefill_tokens_per_s = 2000\n";
    fleet where(shape);
    where.start();
    std::string prompt(8000, 'p');
    auto breaker = std::thread([&] {
        REQUIRE(eventually([&] { return where.command({ "status" }).out.find(" in_flight=1 ") != std::string::npos; }));
        for (int i = 0; i < 40; ++i) {
            for (int endpoint = 101; endpoint <= 105; ++endpoint)
                where.proxy().closeConnections(where.ip(endpoint - 10));
            std::this_thread::sleep_for(milliseconds(50));
        }
    });
    auto broken = where.complete(1, prompt, 10);
    breaker.join();
    CHECK(broken.status == 422);
    CHECK(eventually([&] { return where.complete(2, prompt, 10).status == 200; }));
}
