#include "Consensus/raft_simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

// Guards against lost acknowledged commands, two leaders in one term and a leader lease that is still valid after the
// next election. Causes are a second vote in a term or a lost entry while messages are lost, duplicated and reordered and
// replicas crash before their writes are complete, are isolated, or are wiped and return under a new incarnation.
// PISTACHIOLATCH_SEEDS sets the number of seeds; CI runs the default ones.
TEST_CASE("A replicated log stays consistent under seeded fault schedules", "[promise]")
{
    const char* setting = std::getenv("PISTACHIOLATCH_SEEDS");
    std::uint64_t seeds = setting ? std::strtoull(setting, nullptr, 10) : 200;
    std::size_t acknowledged = 0;
    std::size_t wipes = 0;
    std::size_t lostWrites = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        raft_simulation simulation(seed);
        INFO("seed " << seed);
        REQUIRE(simulation.run(6000) == "");
        REQUIRE(simulation.recover() == "");
        acknowledged += simulation.acknowledged();
        wipes += simulation.wipes();
        lostWrites += simulation.lostWrites();
    }
    // Ensure that the schedules made progress; otherwise the checks above could pass without testing anything.
    CHECK(acknowledged > seeds * 100);
    CHECK(wipes > seeds);
    CHECK(lostWrites > seeds);
}
