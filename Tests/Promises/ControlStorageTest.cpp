#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
std::string writeLimitFile(const fleet& testFleet, int version)
{
    return testFleet.file("limit.toml", fmt::format("[[limit]]\nname = \"alpha\"\nversion = {}\nrate = {}\nburst = 1000000\n", version, 510000 + version));
}

/// Counts the committed membership changes in the log output of a control process.
std::size_t countMembershipChanges(const fleet& testFleet, int control)
{
    auto log = readFile(fmt::format("{}/control{}.out", testFleet.folder(), control));
    std::size_t count = 0;
    for (auto at = log.find("event=membership_committed"); at != std::string::npos; at = log.find("event=membership_committed", at + 1))
        ++count;
    return count;
}
}

// Guards against a control process that exits repeatedly while its disk is full.
TEST_CASE("A control process with a full disk keeps running and votes again once space is free", "[promise]")
{
    fleet_options options;
    fleet testFleet(options);
    testFleet.start();
    int affected = testFleet.leader();
    REQUIRE(affected > 0);
    testFleet.control(affected).refuseWrites(true);
    CHECK(testFleet.command({ "apply", writeLimitFile(testFleet, 1) }).code == 0);
    // Longer than a supervisor waits before it restarts a process.
    CHECK_FALSE(eventually([&] { return !testFleet.control(affected).isRunning(); }, std::chrono::seconds(5)));
    testFleet.control(affected).refuseWrites(false);
    int other = affected % 3 + 1;
    testFleet.control(other).kill();
    // With another replica stopped, committing a record requires the vote and the disk of this one.
    CHECK(testFleet.command({ "apply", writeLimitFile(testFleet, 2) }).code == 0);
    testFleet.startControl(other);
    CHECK(testFleet.command({ "get", "limit", "alpha" }).out.find("rate = 510002") != std::string::npos);
}

// Guards against a control process that exits at every start because its data folder is damaged.
TEST_CASE("A control process with a damaged data folder keeps running and joins as a new replica once the folder is empty", "[promise]")
{
    fleet testFleet(fleet_options {});
    testFleet.start();
    int leader = testFleet.leader();
    REQUIRE(leader > 0);
    int damaged = leader % 3 + 1;
    int other = damaged % 3 + 1;
    testFleet.control(damaged).kill();
    std::ofstream(testFleet.dataFolder(damaged) + "/hard_state", std::ios::binary) << "damaged";
    testFleet.startControl(damaged);
    CHECK_FALSE(eventually([&] { return !testFleet.control(damaged).isRunning(); }, std::chrono::seconds(5)));
    CHECK(testFleet.command({ "apply", writeLimitFile(testFleet, 1) }).code == 0);
    auto before = countMembershipChanges(testFleet, leader);
    for (const auto& file : std::filesystem::directory_iterator(testFleet.dataFolder(damaged)))
        std::filesystem::remove_all(file.path());
    // Replacement takes two membership changes: the new replica is added, then the old one is removed.
    REQUIRE(eventually([&] { return countMembershipChanges(testFleet, leader) >= before + 2; }));
    // With one of the other two replicas stopped, committing a record requires the vote of the new replica.
    testFleet.control(other).kill();
    CHECK(testFleet.command({ "apply", writeLimitFile(testFleet, 2) }).code == 0);
    testFleet.startControl(other);
    CHECK(testFleet.command({ "get", "limit", "alpha" }).out.find("rate = 510002") != std::string::npos);
}

// Guards against a leader that loses its lead because it is silent while it waits for its disk, so that a change that was accepted
// is in force nowhere as long as the disks are slow.
TEST_CASE("Changes are in force, and the leader stays, while all disks take longer than an election", "[promise]")
{
    fleet_options options;
    options.slowDisks = true;
    fleet testFleet(options);
    testFleet.start();
    int leader = testFleet.leader();
    REQUIRE(leader > 0);
    for (int n = 1; n <= 3; ++n)
        testFleet.delaySyncs(n, std::chrono::milliseconds(1500));
    for (int version = 1; version <= 3; ++version) {
        auto applied = testFleet.command({ "apply", writeLimitFile(testFleet, version) });
        INFO(applied.out << applied.err << testFleet.controlLogLines({ "change_unconfirmed", "control_paused", "leadership_", "storage_" }));
        CHECK(applied.code == 0);
    }
    CHECK(testFleet.leader() == leader);
    CHECK(testFleet.controlLogLines({ "leadership_lost" }).empty());
    CHECK_FALSE(testFleet.controlLogLines({ "storage_slow" }).empty());
    for (int n = 1; n <= 3; ++n)
        testFleet.delaySyncs(n, std::chrono::milliseconds(0));
    for (int n = 1; n <= 3; ++n)
        testFleet.control(n).kill();
    for (int n = 1; n <= 3; ++n)
        testFleet.startControl(n);
    CHECK(testFleet.command({ "get", "limit", "alpha" }).out.find("rate = 510003") != std::string::npos);
}
