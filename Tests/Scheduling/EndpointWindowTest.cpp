// Guards against endpoints that idle between short calls while callers are refused, and against calls that pile up at one.
#include "scheduling/endpoint_window.h"
#include "Scheduling/service_scenario.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr unsigned slots = 6;
constexpr unsigned smallest = slots + endpoint_window::minAhead;
constexpr int manyStatements = 1000;

void starve(endpoint_window& window)
{
    for (int i = 0; i < manyStatements; ++i)
        window.record({ 4, 0, slots }, window.limit(slots));
}

/// Twice as many short calls as the only endpoint has time for, with messages that take nearly as long as the work.
service_scenario makeShortage()
{
    service_scenario scenario;
    scenario.phases = { { std::chrono::seconds(10), 800, 1 } };
    scenario.slots = slots;
    scenario.meanServiceTime = milliseconds(15);
    scenario.networkDelay = milliseconds(0);
    scenario.messageDelay = milliseconds(5);
    scenario.statesLoad = true;
    return scenario;
}
/// Calls that the endpoint of that scenario has time for.
constexpr double fitting = 10 * 1000 * slots / 15.0;
}

TEST_CASE("An endpoint with short calls serves nine tenths of what it has time for at twice that load")
{
    // Failure: the endpoint idles from the end of a call until the message that brings the next.
    for (std::uint64_t seed : { 1, 2, 3 }) {
        auto scenario = makeShortage();
        scenario.seed = seed;
        auto outcome = replayWithOwner(scenario);
        CHECK(outcome.inTime >= 0.9 * fitting);
        CHECK(outcome.refusedSends == 0);
    }
}

TEST_CASE("An endpoint that refuses beyond few waiting calls is kept busy without further refusals")
{
    // Failure: the window grows again and again to where the endpoint refuses.
    auto scenario = makeShortage();
    scenario.queueLimit = 2;
    auto outcome = replayWithOwner(scenario);
    CHECK(outcome.refusedSends <= 5);
    CHECK(outcome.inTime > 0.7 * fitting);
}

TEST_CASE("The window of an endpoint that states nothing stays at one call ahead")
{
    endpoint_window window;
    for (int i = 0; i < manyStatements; ++i)
        window.record({}, 2 * slots);
    CHECK(window.limit(slots) == smallest);
}

TEST_CASE("The window grows to the slots again at most, and only while the endpoint is held full")
{
    endpoint_window window;
    for (int i = 0; i < manyStatements; ++i)
        window.record({ 4, 0, slots }, slots);
    CHECK(window.limit(slots) == smallest);
    starve(window);
    CHECK(window.limit(slots) == 2 * slots);
    // An endpoint that reports fewer slots than it stated has a smaller window at once.
    CHECK(window.limit(1) == 2);
}

TEST_CASE("The window shrinks while many calls wait at the endpoint")
{
    endpoint_window window;
    starve(window);
    window.record({ slots, slots, slots }, 2 * slots);
    CHECK(window.limit(slots) < 2 * slots);
    for (int i = 0; i < manyStatements; ++i)
        window.record({ slots, slots, slots }, 2 * slots);
    CHECK(window.limit(slots) == smallest);
}

TEST_CASE("The window doesn't grow to where the endpoint refused")
{
    endpoint_window window;
    window.recordRefusal(9);
    starve(window);
    CHECK(window.limit(slots) == 9);
    // A refusal below the slots says nothing of the calls ahead.
    window.recordRefusal(2);
    starve(window);
    CHECK(window.limit(slots) == smallest);
}
