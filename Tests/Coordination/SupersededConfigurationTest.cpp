#include "Coordination/slow_fleet.h"

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// An accepted change must be in force within this time.
constexpr std::chrono::milliseconds changeBound { 2000 };
constexpr std::chrono::milliseconds startBound { 12000 };
/// A megabyte takes ten seconds.
constexpr std::size_t verySlowLink = 100'000;
constexpr std::size_t megabyte = 1'000'000;
}

// Guards against calls that are handled by an old configuration after its successor must be in force.
TEST_CASE("An entry stops using a configuration while its successor is still being transferred")
{
    slow_fleet fleet(11);
    fleet.submit(5, "small");
    fleet.startEntries(1);
    REQUIRE(runUntil(
        fleet.context, [&] { return fleet.allServe(5); }, startBound));
    fleet.throttle(verySlowLink);
    fleet.submit(6, randomText(megabyte));
    auto acceptedAt = fleet.clock.now();
    runUntil(
        fleet.context, [&] { return fleet.clock.now() - acceptedAt >= changeBound; }, changeBound * 2);
    for (auto observedFrom = fleet.clock.now(); fleet.clock.now() - observedFrom < changeBound;) {
        fleet.context.restart();
        fleet.context.run_for(milliseconds(20));
        REQUIRE_FALSE((fleet.allServe(5) && !fleet.allServe(6)));
    }
    CHECK(runUntil(
        fleet.context, [&] { return fleet.allServe(6); }, startBound));
}

// Guards against entries that refuse requests during frequent changes although they apply each of them in time.
TEST_CASE("Entries serve continuously while changes are applied in time")
{
    slow_fleet fleet(12);
    fleet.submit(1, routesText(megabyte));
    fleet.startEntries(5);
    REQUIRE(runUntil(
        fleet.context, [&] { return fleet.allServe(1); }, startBound));
    auto body = routesText(megabyte);
    for (std::uint64_t version = 2; version < 30; ++version) {
        body.replace(megabyte / 2, 4, fmt::format("{:04}", version));
        fleet.submit(version, body);
        for (auto observedFrom = fleet.clock.now(); fleet.clock.now() - observedFrom < milliseconds(150);) {
            fleet.context.restart();
            fleet.context.run_for(milliseconds(10));
            REQUIRE(fleet.allServe(1));
        }
    }
    CHECK(runUntil(
        fleet.context, [&] { return fleet.allServe(29); }, changeBound));
}
