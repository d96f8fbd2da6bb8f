#include "Platform/platform_fleet.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <fstream>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// Several times as long as a supervisor leaves a process that ended before it starts it again.
constexpr std::chrono::seconds longFault { 9 };
constexpr std::chrono::milliseconds look { 100 };
/// Within this time of the end of a fault a VM must do its part again.
constexpr std::chrono::seconds recoveryBound { 12 };

/// Runs a fleet of three control processes through a fault, and checks all the while that none of them ends.
class storage_fault {
public:
    storage_fault()
        : app("app-1", fleet.runnerAddress(1), "app", "")
    {
        fleet.start();
        REQUIRE(fleet.submit(exampleConfiguration(7)) == 200);
        REQUIRE(fleet.report(app).status == 200);
    }

    /// Lets time pass while the app reports itself to one control process. Returns how many reports were confirmed.
    int pass(std::chrono::seconds length, int control)
    {
        int confirmed = 0;
        auto end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end) {
            confirmed += fleet.report(app, "ready", control).status == 200 ? 1 : 0;
            for (int n = 1; n <= fleet.controls(); ++n)
                REQUIRE(fleet.control(n).isRunning());
            std::this_thread::sleep_for(look);
        }
        return confirmed;
    }

    unsigned statusOfChange(std::uint64_t version, int control)
    {
        return fleet.call(fleet.controlAddress(control), "PUT", platform_names::configurationPath, { { "Content-Type", "application/json" } }, exampleConfiguration(version)).status;
    }

    std::string configurationAt(int control)
    {
        return fleet.call(fleet.controlAddress(control), "GET", platform_names::configurationPath).body;
    }

    platform_fleet fleet;
    stand_in_runner app;
};
}

// Guards against a control process that ends and starts again, over and over, for as long as its disk is full.
TEST_CASE("A control process whose disk is full runs on and does its part again once there is room")
{
    storage_fault fault;
    auto& fleet = fault.fleet;
    for (int full = 1; full <= 3; ++full) {
        auto version = static_cast<std::uint64_t>(10 * full);
        fleet.control(full).refuseWrites(true);
        REQUIRE(fleet.submit(exampleConfiguration(version)) == 200);
        fault.pass(std::chrono::seconds(2), full);
        // It still passes on what it is told: reports of endpoints, changes and reads.
        auto confirmed = fault.pass(longFault, full);
        CHECK(confirmed > 0);
        CHECK(eventually([&] { return fault.statusOfChange(version + 1, full) == 200; }, recoveryBound));
        CHECK(fault.configurationAt(full) == exampleConfiguration(version + 1));
        fleet.control(full).refuseWrites(false);
        // With another one gone a change needs its vote and its disk.
        int other = full % 3 + 1;
        fleet.control(other).kill();
        CHECK(eventually([&] { return fault.statusOfChange(version + 2, full) == 200; }, recoveryBound));
        fleet.startControl(other, false);
        REQUIRE(eventually([&] { return fault.configurationAt(other) == exampleConfiguration(version + 2); }, recoveryBound));
    }
}

// Guards against a fleet that acknowledges what no disk holds, or does not recover, when all its disks are full at once.
TEST_CASE("Nothing is acknowledged while all disks are full, and everything is served again afterwards")
{
    storage_fault fault;
    auto& fleet = fault.fleet;
    for (int n = 1; n <= 3; ++n)
        fleet.control(n).refuseWrites(true);
    CHECK(fault.statusOfChange(8, 1) == 503);
    fault.pass(longFault, 2);
    for (int n = 1; n <= 3; ++n)
        CHECK(fault.statusOfChange(9, n) == 503);
    for (int n = 1; n <= 3; ++n)
        fleet.control(n).refuseWrites(false);
    CHECK(eventually([&] { return fault.statusOfChange(10, 1) == 200; }, recoveryBound));
    CHECK(eventually([&] { return fleet.report(fault.app).status == 200 && fleet.entryReady(1); }, recoveryBound));
    for (int n = 1; n <= 3; ++n)
        fleet.control(n).kill();
    for (int n = 1; n <= 3; ++n)
        fleet.startControl(n, false);
    CHECK(eventually([&] { return fault.configurationAt(2) == exampleConfiguration(10); }, recoveryBound));
}

// Guards against a control process that ends at each start because its log is damaged.
TEST_CASE("A control process with a damaged log runs on, says so, and joins as a new replica once its folder is empty")
{
    storage_fault fault;
    auto& fleet = fault.fleet;
    fleet.control(3).kill();
    std::ofstream(fleet.folder() + "/control-3/hard_state", std::ios::binary) << "damaged";
    fleet.startControl(3, false);
    fault.pass(longFault, 3);
    CHECK(readFile(fleet.folder() + "/control-3.out").find("hard_state: damaged; empty the data folder") != std::string::npos);
    REQUIRE(fleet.submit(exampleConfiguration(8)) == 200);
    fleet.wipeControl(3);
    // With another one gone a change needs the vote of the new replica.
    CHECK(eventually([&] { return readFile(fleet.folder() + "/control-3.out").find("event=replica_opened") != std::string::npos; }, recoveryBound));
    fault.pass(std::chrono::seconds(2), 3);
    fleet.control(1).kill();
    CHECK(eventually([&] { return fault.statusOfChange(9, 3) == 200; }, recoveryBound));
}
