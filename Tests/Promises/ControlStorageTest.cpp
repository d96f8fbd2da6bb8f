#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
std::string limitFile(const fleet& where, int version)
{
    return where.file("limit.toml", fmt::format("[[limit]]\nname = \"alpha\"\nversion = {}\nrate = {}\nburst = 1000000\n", version, 510000 + version));
}

/// Counts the committed membership changes in the log output of a control process.
std::size_t membershipChanges(const fleet& where, int control)
{
    auto log = readFile(fmt::format("{}/control{}.out", where.folder(), control));
    std::size_t count = 0;
    for (auto at = log.find("event=membership_committed"); at != std::string::npos; at = log.find("event=membership_committed", at + 1))
        ++count;
    return count;
}
}

// Guards against a control process that ends, again and again, for as long as its disk is full.
TEST_CASE("Control whose disk is full runs on and takes part again once there is room", "[promise]")
{
    fleet_options shape;
    fleet where(shape);
    where.start();
    int full = where.leader();
    REQUIRE(full > 0);
    where.control(full).refuseWrites(true);
    CHECK(where.command({ "apply", limitFile(where, 1) }).code == 0);
    // Longer than a supervisor leaves a process that ended before it starts it again.
    CHECK_FALSE(eventually([&] { return !where.control(full).isRunning(); }, std::chrono::seconds(5)));
    where.control(full).refuseWrites(false);
    int other = full % 3 + 1;
    where.control(other).kill();
    // With another one gone an accepted record needs its vote and its disk.
    CHECK(where.command({ "apply", limitFile(where, 2) }).code == 0);
    where.startControl(other);
    CHECK(where.command({ "get", "limit", "alpha" }).out.find("rate = 510002") != std::string::npos);
}

// Guards against a control process that exits at every start because its data folder is damaged.
TEST_CASE("Control with a damaged data folder runs on and joins as a new replica once the folder is empty", "[promise]")
{
    fleet where(fleet_options {});
    where.start();
    int leader = where.leader();
    REQUIRE(leader > 0);
    int damaged = leader % 3 + 1;
    int other = damaged % 3 + 1;
    where.control(damaged).kill();
    std::ofstream(where.dataFolder(damaged) + "/hard_state", std::ios::binary) << "damaged";
    where.startControl(damaged);
    CHECK_FALSE(eventually([&] { return !where.control(damaged).isRunning(); }, std::chrono::seconds(5)));
    CHECK(where.command({ "apply", limitFile(where, 1) }).code == 0);
    auto before = membershipChanges(where, leader);
    for (const auto& file : std::filesystem::directory_iterator(where.dataFolder(damaged)))
        std::filesystem::remove_all(file.path());
    // Replacement takes two membership changes: the new replica is added, then the old one is removed.
    REQUIRE(eventually([&] { return membershipChanges(where, leader) >= before + 2; }));
    // With one of the other two replicas stopped, committing a record requires the vote of the new replica.
    where.control(other).kill();
    CHECK(where.command({ "apply", limitFile(where, 2) }).code == 0);
    where.startControl(other);
    CHECK(where.command({ "get", "limit", "alpha" }).out.find("rate = 510002") != std::string::npos);
}
