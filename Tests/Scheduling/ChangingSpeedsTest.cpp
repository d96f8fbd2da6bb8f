// Guards against calls that are late because they are placed at endpoints which are slow at the moment.
#include "Scheduling/service_scenario.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr unsigned slots = 6;
constexpr unsigned usualPercent = 100;

wire::endpoint_row makeRow(const std::string& id)
{
    wire::endpoint_row row;
    row.mutable_report()->set_id(id);
    row.mutable_report()->set_service("desk");
    row.mutable_report()->set_slots(slots);
    return row;
}

placement_request makeRequest(std::uint64_t id)
{
    placement_request request;
    request.callId = id;
    request.service = "desk";
    return request;
}

std::vector<wire::endpoint_load> makeReport(const std::string& id, unsigned percent, milliseconds age = milliseconds(0))
{
    wire::endpoint_load load;
    load.set_id(id);
    load.set_slowdown_percent(percent);
    load.set_slowdown_age_ms(static_cast<std::uint32_t>(age.count()));
    return { load };
}

/// Places calls until a number is placed; returns how many are at each endpoint.
std::map<std::string, unsigned> placeCalls(slot_planner& planner, unsigned count, time_point now)
{
    std::map<std::string, unsigned> placed;
    for (std::uint64_t id = 1; id <= count; ++id)
        ++placed[planner.place("entry", makeRequest(id), now).decode];
    return placed;
}

service_scenario makeScenario(std::uint64_t seed)
{
    service_scenario scenario;
    scenario.phases = { { std::chrono::seconds(20), 200, 6 } };
    scenario.slots = slots;
    scenario.target = milliseconds(150);
    scenario.statesLoad = true;
    scenario.slowShare = 0.3;
    scenario.slowFactor = 4;
    scenario.speedChangeInterval = milliseconds(250);
    scenario.seed = seed;
    return scenario;
}
}

TEST_CASE("More calls are in time if endpoints state how slow they are at the moment")
{
    // Failure: calls are spread evenly over slow and fast endpoints.
    for (std::uint64_t seed : { 1, 2, 3 }) {
        auto scenario = makeScenario(seed);
        auto without = replayWithOwner(scenario);
        scenario.statesSlowdown = true;
        auto with = replayWithOwner(scenario);
        CAPTURE(without.inTimeShare(), with.inTimeShare());
        CHECK(with.inTimeShare() > without.inTimeShare() + 0.05);
        CHECK(with.lost <= without.lost);
    }
}

TEST_CASE("A good report doesn't attract all calls to one endpoint")
{
    manual_clock_source clock;
    slot_planner planner(1);
    for (const char* id : { "fast", "usual", "slow" })
        planner.updateEndpoint(makeRow(id));
    planner.replaceCalls("entry", {}, makeReport("fast", usualPercent * 2 / 3), clock.now());
    planner.replaceCalls("entry", {}, makeReport("slow", usualPercent * 3), clock.now());
    auto placed = placeCalls(planner, slots + 2, clock.now());
    CHECK(placed["fast"] > placed["usual"]);
    CHECK(placed["usual"] > 0);
    CHECK(placed["slow"] == 0);
    // A slow endpoint still serves what the others have no room for.
    planner.removeEntry("entry");
    placed = placeCalls(planner, 3 * slots, clock.now());
    CHECK(placed["slow"] >= slots - 2);
}

TEST_CASE("A report that is old says as little as none")
{
    // Failure: an endpoint that was slow at its last report gets no calls again, and so never reports that it is fast.
    manual_clock_source clock;
    slot_planner planner(1);
    for (const char* id : { "a", "b" })
        planner.updateEndpoint(makeRow(id));
    constexpr milliseconds old { 3000 };
    planner.replaceCalls("entry", {}, makeReport("a", 3 * usualPercent, old), clock.now());
    auto placed = placeCalls(planner, slots, clock.now());
    CHECK(placed["a"] > 0);
    CHECK(placed["b"] > 0);
}

TEST_CASE("Fewer completions are expected of endpoints that are slow at the moment")
{
    manual_clock_source clock;
    slot_planner planner(1);
    planner.updateEndpoint(makeRow("a"));
    placeCalls(planner, slots, clock.now());
    constexpr milliseconds soon { 100 };
    auto usual = planner.expectedCompletions("desk", soon, clock.now());
    // Zero means unknown, as from entries and endpoints of earlier versions.
    planner.replaceCalls("other", {}, makeReport("a", 0), clock.now());
    CHECK(planner.expectedCompletions("desk", soon, clock.now()) == usual);
    planner.replaceCalls("other", {}, makeReport("a", 4 * usualPercent), clock.now());
    CHECK(planner.expectedCompletions("desk", soon, clock.now()) < 0.5 * usual);
}

TEST_CASE("Endpoints that are slow at the moment are counted once any states its slowdown")
{
    manual_clock_source clock;
    slot_planner planner(1);
    for (const char* id : { "a", "b", "c" })
        planner.updateEndpoint(makeRow(id));
    CHECK_FALSE(planner.slowEndpoints(clock.now()));
    planner.replaceCalls("entry", {}, makeReport("a", 3 * usualPercent), clock.now());
    planner.replaceCalls("entry", {}, makeReport("b", usualPercent), clock.now());
    CHECK(planner.slowEndpoints(clock.now()) == 1);
    clock.advance(milliseconds(2000));
    CHECK(planner.slowEndpoints(clock.now()) == 0);
}
