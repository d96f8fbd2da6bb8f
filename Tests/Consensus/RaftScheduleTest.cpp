#include "Consensus/raft_simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

// What operators see: a record that was accepted is in force for ever, and one term has one leader.
// Messages are lost, doubled and reordered; replicas crash, are cut off, are wiped and come back as new ones.
// A vote given twice, an entry forgotten after a wipe, or a lease that outlives an election breaks it.
// PISTACHIOLATCH_SEEDS sets how many seeds are run; CI runs the fixed first ones.
TEST_CASE("A replicated log keeps its promises under seeded schedules of faults", "[promise]")
{
    const char* given = std::getenv("PISTACHIOLATCH_SEEDS");
    std::uint64_t seeds = given ? std::strtoull(given, nullptr, 10) : 60;
    std::size_t acknowledged = 0;
    std::size_t wipes = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        raft_simulation simulation(seed);
        INFO("seed " << seed);
        REQUIRE(simulation.run(6000) == "");
        REQUIRE(simulation.heal() == "");
        acknowledged += simulation.acknowledged();
        wipes += simulation.wipes();
    }
    // The schedules must have done something: without progress nothing would be proved.
    CHECK(acknowledged > seeds * 100);
    CHECK(wipes > seeds);
}
