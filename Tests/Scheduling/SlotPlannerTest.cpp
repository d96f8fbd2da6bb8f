// Guards against callers of plain services who are refused or answered late because hundreds of entries choose endpoints by
// loads that are half a second old.
#include "Scheduling/service_scenario.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// Five endpoints of six slots and 60 ms serve 500 calls a second, three serve 300.
constexpr std::chrono::seconds phaseDuration { 8 };

service_scenario makeScenario(double callsPerSecond, unsigned endpoints)
{
    service_scenario scenario;
    scenario.phases = { { phaseDuration, callsPerSecond, endpoints } };
    return scenario;
}

wire::endpoint_row makeRow(const std::string& id, unsigned slots = 2)
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

std::vector<wire::endpoint_load> makeLoad(const std::string& id, unsigned requests)
{
    wire::endpoint_load load;
    load.set_id(id);
    load.set_requests(requests);
    return { load };
}

std::vector<wire::running_call> makeCalls(const std::string& endpoint, std::uint64_t id)
{
    wire::running_call call;
    call.set_id(id);
    call.set_endpoint(endpoint);
    return { call };
}
}

TEST_CASE("At nine tenths of the capacity, no endpoint is full while another has a free slot")
{
    auto scenario = makeScenario(270, 3);
    auto owner = replayWithOwner(scenario);
    CHECK(owner.refusedSends == 0);
    CHECK(owner.inTimeShare() >= 0.97);
    CHECK(replayWithEntriesAlone(scenario).inTimeShare() < 0.9);
}

TEST_CASE("A service that loses three fifths of its endpoints under a burst serves in time what fits and refuses the rest at once")
{
    service_scenario scenario;
    scenario.phases = { { phaseDuration, 190, 5 }, { std::chrono::seconds(4), 340, 2 }, { phaseDuration, 150, 2 } };
    auto owner = replayWithOwner(scenario);
    auto alone = replayWithEntriesAlone(scenario);
    CHECK(owner.refusedSendsPerAnswer() < 0.05);
    CHECK(owner.inTimeShare() > alone.inTimeShare());
    CHECK(owner.refusedAgain < alone.refusedAgain);
    CHECK(owner.longestWaitForRefusal <= scenario.target);
}

TEST_CASE("At twice and three times the capacity, as many calls are in time as at the best load")
{
    constexpr double capacity = 300;
    auto best = replayWithOwner(makeScenario(capacity, 3)).inTime;
    for (double load : { 2.0, 3.0 }) {
        auto outcome = replayWithOwner(makeScenario(load * capacity, 3));
        // A fixed share of the slots is left to callers who come back.
        CHECK(outcome.inTime + outcome.late > 0.9 * best);
        CHECK(outcome.inTime > 0.75 * best);
        CHECK(outcome.refusedSends == 0);
    }
}

TEST_CASE("An organisation that sends most of an overload doesn't make the calls of others late")
{
    auto scenario = makeScenario(600, 3);
    scenario.firstOrganisationShare = 0.7;
    auto outcome = replayWithOwner(scenario);
    CHECK(outcome.othersInTime > 0.9);
    CHECK(outcome.firstOrganisationInTime < outcome.othersInTime);
}

TEST_CASE("Callers who were refused together come back one after the other")
{
    auto outcome = replayWithOwner(makeScenario(900, 3));
    std::set<milliseconds> delays(outcome.retryDelays.begin(), outcome.retryDelays.end());
    CHECK(delays.size() > 20);
    CHECK(*delays.begin() >= slot_planner::minRetryDelay);
}

TEST_CASE("A returning call is served before others within its share")
{
    manual_clock_source clock;
    slot_planner planner(1);
    planner.updateEndpoint(makeRow("e0", 1));
    placement_queue<slot_planner> queue;
    std::uint64_t ticket = 0;
    auto add = [&](std::uint64_t fingerprint) {
        queued_request queued;
        queued.ticket = ++ticket;
        queued.entry = "entry";
        queued.fingerprint = fingerprint;
        queued.request = makeRequest(ticket);
        queued.waitDeadline = queued.firstEventDeadline = clock.now() + milliseconds(1000);
        queue.add(queued, clock.now());
        return ticket;
    };
    // Fills the endpoint, and the queue until a call is refused.
    std::uint64_t refused = 0;
    for (std::uint64_t fingerprint = 1; refused == 0; ++fingerprint) {
        REQUIRE(fingerprint < 200);
        add(fingerprint);
        for (const auto& result : queue.step(planner, clock.now())) {
            if (result.placement.full)
                refused = fingerprint;
        }
    }
    queue.removeEntry("entry");
    planner.removeEntry("entry");
    for (int i = 0; i < 10; ++i) {
        add(1000 + static_cast<std::uint64_t>(i));
        for (const auto& result : queue.step(planner, clock.now()))
            planner.release("entry", result.ticket, true, clock.now());
    }
    add(2000);
    auto returning = add(refused);
    auto results = queue.step(planner, clock.now());
    REQUIRE(!results.empty());
    CHECK(results.front().ticket == returning);
}

TEST_CASE("Slots of a dead entry and of lost messages are free again")
{
    manual_clock_source clock;
    slot_planner planner(1);
    planner.updateEndpoint(makeRow("e0"));
    std::uint64_t id = 0;
    auto fill = [&](const std::string& entry) {
        unsigned placed = 0;
        while (!planner.place(entry, makeRequest(++id), clock.now()).full)
            ++placed;
        return placed;
    };
    auto all = fill("a");
    REQUIRE(all > 0);
    planner.removeEntry("a");
    CHECK(fill("b") == all);
    // The entry's list, once it must contain all placements, shows that the release of its calls was lost.
    clock.advance(milliseconds(500));
    planner.replaceCalls("b", makeCalls("e0", id - 1), makeLoad("e0", 1), clock.now());
    CHECK(fill("c") == all - 1);
}

TEST_CASE("Late, repeated and unknown messages change nothing")
{
    manual_clock_source clock;
    slot_planner planner(1);
    planner.updateEndpoint(makeRow("e0", 1));
    REQUIRE_FALSE(planner.place("a", makeRequest(1), clock.now()).full);
    CHECK_FALSE(planner.release("unknown", 1, true, clock.now()));
    CHECK_FALSE(planner.release("a", 7, true, clock.now()));
    CHECK(planner.release("a", 1, true, clock.now()));
    CHECK_FALSE(planner.release("a", 1, true, clock.now()));
    planner.recordFailure("unknown", clock.now());
    planner.removeEntry("unknown");
    unsigned placed = 0;
    while (!planner.place("a", makeRequest(10 + placed), clock.now()).full)
        ++placed;
    CHECK(placed == 2);
}

TEST_CASE("A service is queued while it is busy, and not for a moment of calm")
{
    manual_clock_source clock;
    slot_planner planner(1);
    planner.updateEndpoint(makeRow("e0", 10));
    CHECK_FALSE(planner.updateQueued(clock.now()));
    planner.replaceCalls("a", {}, makeLoad("e0", 5), clock.now());
    CHECK_FALSE(planner.updateQueued(clock.now()));
    planner.replaceCalls("b", {}, makeLoad("e0", 3), clock.now());
    CHECK(planner.updateQueued(clock.now()));
    CHECK(planner.queuedServices() == std::vector<std::string> { "desk" });
    planner.removeEntry("a");
    planner.removeEntry("b");
    CHECK_FALSE(planner.updateQueued(clock.now()));
    clock.advance(milliseconds(1000));
    CHECK_FALSE(planner.updateQueued(clock.now()));
    CHECK(planner.isQueued("desk"));
    clock.advance(milliseconds(1500));
    CHECK(planner.updateQueued(clock.now()));
    CHECK_FALSE(planner.isQueued("desk"));
}

TEST_CASE("An endpoint that fails gets calls only when the others are full")
{
    manual_clock_source clock;
    slot_planner planner(1);
    planner.updateEndpoint(makeRow("bad", 4));
    planner.updateEndpoint(makeRow("good", 4));
    std::uint64_t id = 0;
    for (int i = 0; i < 30; ++i) {
        planner.recordFailure("bad", clock.now());
        planner.recordSuccess("good");
    }
    clock.advance(milliseconds(5000));
    for (int i = 0; i < 5; ++i)
        CHECK(planner.place("a", makeRequest(++id), clock.now()).decode == "good");
    CHECK(planner.place("a", makeRequest(++id), clock.now()).decode != "good");
}

TEST_CASE("An endpoint that is still slow after its start gets calls only when the others are nearly full")
{
    manual_clock_source clock;
    slot_planner planner(1);
    auto cold = makeRow("cold", 4);
    cold.mutable_report()->set_cold_ms(2000);
    planner.updateEndpoint(cold);
    planner.updateEndpoint(makeRow("warm", 4));
    for (std::uint64_t id = 1; id <= 4; ++id)
        CHECK(planner.place("a", makeRequest(id), clock.now()).decode == "warm");
}

TEST_CASE("An endpoint that was gone returns with all its slots")
{
    manual_clock_source clock;
    slot_planner planner(1);
    auto row = makeRow("e0", 1);
    planner.updateEndpoint(row);
    REQUIRE_FALSE(planner.place("a", makeRequest(1), clock.now()).full);
    auto gone = row;
    gone.mutable_report()->set_state(wire::ENDPOINT_GONE);
    planner.updateEndpoint(gone);
    // The call was placed just now, so a list without it doesn't end it.
    planner.replaceCalls("a", {}, {}, clock.now());
    planner.updateEndpoint(row);
    CHECK_FALSE(planner.place("b", makeRequest(2), clock.now()).full);
    CHECK_FALSE(planner.place("b", makeRequest(3), clock.now()).full);
    // Its late release frees no slot of another call.
    planner.release("a", 1, true, clock.now());
    CHECK(planner.place("b", makeRequest(4), clock.now()).full);
}
