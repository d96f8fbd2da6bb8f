#include "Support/fleet.h"

#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
std::string limitFile(const fleet& where, int version)
{
    return where.file("limit.toml", fmt::format("[[limit]]\nname = \"alpha\"\nversion = {}\nrate = {}\nburst = 1000000\n", version, 510000 + version));
}
}

// Guards against a control process that ends, again and again, for as long as its disk is full.
TEST_CASE("Control whose disk is full runs on and takes part again once there is room", "[promise]")
{
    fleet_shape shape;
    fleet where(shape);
    where.start();
    int full = where.leader();
    REQUIRE(full > 0);
    where.control(full).refuseWrites(true);
    CHECK(where.command({ "apply", limitFile(where, 1) }).code == 0);
    // Longer than a supervisor leaves a process that ended before it starts it again.
    CHECK_FALSE(eventually([&] { return !where.control(full).running(); }, std::chrono::seconds(5)));
    where.control(full).refuseWrites(false);
    int other = full % 3 + 1;
    where.control(other).kill();
    // With another one gone an accepted record needs its vote and its disk.
    CHECK(where.command({ "apply", limitFile(where, 2) }).code == 0);
    where.startControl(other);
    CHECK(where.command({ "get", "limit", "alpha" }).out.find("rate = 510002") != std::string::npos);
}
