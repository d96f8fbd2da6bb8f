#include "Platform/platform_fleet.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <fstream>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// Several times the delay after which a supervisor restarts a process that exited.
constexpr std::chrono::seconds faultDuration { 9 };
constexpr std::chrono::milliseconds pollInterval { 100 };
/// The time within which a VM must recover after a fault ends.
constexpr std::chrono::seconds recoveryTimeout { 12 };

/// A fleet of three control processes, whose syncs can be slowed down, and one endpoint for storage faults.
class storage_fault_fleet {
public:
    storage_fault_fleet()
        : app("app-1", fleet.endpointAddress(1), "app", "")
    {
        fleet.makeControlsPartitionable();
        fleet.start();
        REQUIRE(fleet.submitConfiguration(exampleConfiguration(7)) == 200);
        REQUIRE(fleet.sendReport(app).status == 200);
    }

    /// Sends the endpoint's reports to one control process for the given time, and checks that no control process exits.
    /// Returns the number of confirmed reports.
    int sendReportsFor(std::chrono::seconds duration, int control)
    {
        int confirmed = 0;
        auto end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end) {
            confirmed += fleet.sendReport(app, "ready", control).status == 200 ? 1 : 0;
            for (int n = 1; n <= fleet.controls(); ++n)
                REQUIRE(fleet.control(n).isRunning());
            std::this_thread::sleep_for(pollInterval);
        }
        return confirmed;
    }

    unsigned submitChange(std::uint64_t version, int control)
    {
        return fleet.call(fleet.controlAddress(control), "PUT", platform_names::configurationPath, { { "Content-Type", "application/json" } }, exampleConfiguration(version)).status;
    }

    std::string readConfiguration(int control)
    {
        return fleet.call(fleet.controlAddress(control), "GET", platform_names::configurationPath).body;
    }

    platform_fleet fleet;
    fake_endpoint app;
};
}

// Guards against a control process that exits and restarts repeatedly while its disk is full.
TEST_CASE("A control process with a full disk keeps running and recovers when space is available")
{
    storage_fault_fleet fault;
    auto& fleet = fault.fleet;
    for (int faultyControl = 1; faultyControl <= 3; ++faultyControl) {
        auto version = static_cast<std::uint64_t>(10 * faultyControl);
        fleet.control(faultyControl).refuseWrites(true);
        REQUIRE(fleet.submitConfiguration(exampleConfiguration(version)) == 200);
        fault.sendReportsFor(std::chrono::seconds(2), faultyControl);
        // It still forwards endpoints' reports, changes and reads to the leader.
        auto confirmed = fault.sendReportsFor(faultDuration, faultyControl);
        CHECK(confirmed > 0);
        CHECK(eventually([&] { return fault.submitChange(version + 1, faultyControl) == 200; }, recoveryTimeout));
        CHECK(fault.readConfiguration(faultyControl) == exampleConfiguration(version + 1));
        fleet.control(faultyControl).refuseWrites(false);
        // With another process down, a change needs this process's vote and disk.
        int other = faultyControl % 3 + 1;
        fleet.control(other).kill();
        CHECK(eventually([&] { return fault.submitChange(version + 2, faultyControl) == 200; }, recoveryTimeout));
        fleet.startControl(other, false);
        REQUIRE(eventually([&] { return fault.readConfiguration(other) == exampleConfiguration(version + 2); }, recoveryTimeout));
    }
}

// Guards against a fleet that acknowledges changes that no disk has stored, or that does not recover, when all its disks are
// full at once.
TEST_CASE("No change is acknowledged while all disks are full, and the fleet recovers afterwards")
{
    storage_fault_fleet fault;
    auto& fleet = fault.fleet;
    for (int n = 1; n <= 3; ++n)
        fleet.control(n).refuseWrites(true);
    CHECK(fault.submitChange(8, 1) == 503);
    fault.sendReportsFor(faultDuration, 2);
    for (int n = 1; n <= 3; ++n)
        CHECK(fault.submitChange(9, n) == 503);
    for (int n = 1; n <= 3; ++n)
        fleet.control(n).refuseWrites(false);
    CHECK(eventually([&] { return fault.submitChange(10, 1) == 200; }, recoveryTimeout));
    CHECK(eventually([&] { return fleet.sendReport(fault.app).status == 200 && fleet.isEntryReady(1); }, recoveryTimeout));
    for (int n = 1; n <= 3; ++n)
        fleet.control(n).kill();
    for (int n = 1; n <= 3; ++n)
        fleet.startControl(n, false);
    CHECK(eventually([&] { return fault.readConfiguration(2) == exampleConfiguration(10); }, recoveryTimeout));
}

// Guards against a control process that exits at each start because its log is damaged.
TEST_CASE("A control process with a damaged log keeps running, logs the damage, and joins as a new replica once its folder is empty")
{
    storage_fault_fleet fault;
    auto& fleet = fault.fleet;
    fleet.control(3).kill();
    std::ofstream(fleet.folder() + "/control-3/hard_state", std::ios::binary) << "damaged";
    fleet.startControl(3, false);
    fault.sendReportsFor(faultDuration, 3);
    CHECK(readFile(fleet.folder() + "/control-3.out").find("hard_state: damaged; empty the data folder") != std::string::npos);
    REQUIRE(fleet.submitConfiguration(exampleConfiguration(8)) == 200);
    fleet.eraseControlData(3);
    // With another process down, a change needs the new replica's vote.
    CHECK(eventually([&] { return readFile(fleet.folder() + "/control-3.out").find("event=replica_opened") != std::string::npos; }, recoveryTimeout));
    fault.sendReportsFor(std::chrono::seconds(2), 3);
    fleet.control(1).kill();
    CHECK(eventually([&] { return fault.submitChange(9, 3) == 200; }, recoveryTimeout));
}

// Guards against a leader that loses its lead because it is silent while it waits for its disk, so that control processes whose
// disks are slow elect one leader after the other, and accept no change meanwhile.
TEST_CASE("A leader keeps its lead and accepts changes while all disks take longer than an election")
{
    storage_fault_fleet fault;
    auto& fleet = fault.fleet;
    int leader = fleet.findLeader();
    REQUIRE(leader > 0);
    for (int n = 1; n <= 3; ++n)
        fleet.delaySyncs(n, std::chrono::milliseconds(700));
    int confirmed = 0;
    for (std::uint64_t version = 20; version < 26; ++version) {
        auto status = fault.submitChange(version, leader);
        INFO("version " << version);
        CHECK(status == 200);
        confirmed += fleet.sendReport(fault.app, "ready", leader).status == 200 ? 1 : 0;
    }
    CHECK(confirmed == 6);
    CHECK(fleet.findLeader() == leader);
    for (int n = 1; n <= 3; ++n)
        CHECK(readFile(fmt::format("{}/control-{}.out", fleet.folder(), n)).find("event=leadership_lost") == std::string::npos);
    CHECK(readFile(fmt::format("{}/control-{}.out", fleet.folder(), leader)).find("event=storage_slow") != std::string::npos);
    // The changes are on a majority of the disks.
    for (int n = 1; n <= 3; ++n)
        fleet.delaySyncs(n, std::chrono::milliseconds(0));
    for (int n = 1; n <= 3; ++n)
        fleet.control(n).kill();
    for (int n = 1; n <= 3; ++n)
        fleet.startControl(n, false);
    CHECK(eventually([&] { return fault.readConfiguration(leader) == exampleConfiguration(25); }, recoveryTimeout));
}

// Guards against a control process that answers nobody while its disk stands still.
TEST_CASE("A control process whose disk stands still for seconds still confirms reports and changes")
{
    storage_fault_fleet fault;
    auto& fleet = fault.fleet;
    int leader = fleet.findLeader();
    REQUIRE(leader > 0);
    fleet.delaySyncs(leader, std::chrono::milliseconds(6000));
    for (std::uint64_t version = 20; version < 23; ++version) {
        auto startedAt = std::chrono::steady_clock::now();
        CHECK(fault.submitChange(version, leader) == 200);
        CHECK(fleet.sendReport(fault.app, "ready", leader).status == 200);
        CHECK(std::chrono::steady_clock::now() - startedAt < std::chrono::seconds(2));
    }
    CHECK(fleet.findLeader() == leader);
    fleet.delaySyncs(leader, std::chrono::milliseconds(0));
    fleet.control(leader % 3 + 1).kill();
    // With another process down, a change needs this process's disk, which catches up first.
    CHECK(eventually([&] { return fault.submitChange(23, leader) == 200; }, recoveryTimeout));
}
