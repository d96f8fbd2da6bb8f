#include "load/expected_output.h"
#include "Support/fleet.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <future>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
fleet_options fiveControlOptions()
{
    fleet_options options;
    options.controls = 5;
    options.disks = 3;
    return options;
}

/// How long a VM may take to be ready after its links are restored. Connections that died during the partition are given
/// up after 3 s.
constexpr std::chrono::seconds maxReconnectTime { 10 };

std::string writeLimitFile(const fleet& testFleet, int version, int rate)
{
    return testFleet.file("limit.toml", fmt::format("[[limit]]\nname = \"alpha\"\nversion = {}\nrate = {}\nburst = 1000000\n", version, rate));
}

/// Applies a limit record. A failure prints what the command and the control processes said.
void applyLimit(fleet& testFleet, int version, int rate)
{
    auto applied = testFleet.command({ "apply", writeLimitFile(testFleet, version, rate) });
    INFO(applied.out << applied.err << testFleet.controlLogLines({ "change_unconfirmed", "control_paused", "leadership_", "storage_" }));
    CHECK(applied.code == 0);
}

/// Returns the incarnation of the voter on a VM according to the leader, or an empty string if there is none.
std::string findVoter(const fleet& testFleet, int leader, int vm)
{
    auto response = testFleet.call(testFleet.operatorAddress(leader), "GET", "/v1/status", { { "Authorization", "Bearer " + testFleet.token() } }, "");
    if (response.status != 200)
        return {};
    auto status = boost::json::parse(response.body);
    for (const auto& replica : status.at("replicas").as_array()) {
        if (replica.at("vm").as_string() == fmt::format("vm{}", vm))
            return std::string(replica.at("incarnation").as_string());
    }
    return {};
}
}

// Guards against losing accepted records when a second VM with a disk is lost right after the first was replaced with
// an empty data folder and caught up as a new replica. Changes are still accepted.
TEST_CASE("Records survive the loss of a second disk right after the first replica was replaced", "[promise]")
{
    fleet testFleet(fiveControlOptions());
    testFleet.start();
    applyLimit(testFleet, 1, 510000);
    int leader = testFleet.leader();
    int wiped = leader == 2 ? 3 : 2;
    auto before = findVoter(testFleet, leader, wiped);
    REQUIRE(!before.empty());
    testFleet.control(wiped).kill();
    std::filesystem::remove_all(testFleet.dataFolder(wiped));
    testFleet.startControl(wiped);
    REQUIRE(eventually([&] {
        auto voter = findVoter(testFleet, leader, wiped);
        return !voter.empty() && voter != before;
    }));
    testFleet.control(leader).kill();
    std::filesystem::remove_all(testFleet.dataFolder(leader));
    CHECK(testFleet.command({ "get", "limit", "alpha" }).out.find("rate = 510000") != std::string::npos);
    applyLimit(testFleet, 2, 520000);
    testFleet.startControl(leader);
    CHECK(testFleet.command({ "get", "limit", "alpha" }).out.find("rate = 520000") != std::string::npos);
}

// Guards against failing bookings and streams at other entries when the control leader and an entry are killed together.
TEST_CASE("Bookings and streams survive killing the leader and another entry at once", "[promise]")
{
    fleet testFleet(fiveControlOptions());
    testFleet.start();
    std::string prompt = "stream beside a double fault";
    streaming_caller caller(testFleet, 2, prompt, 110);
    REQUIRE(caller.readUntil(expectedToken(prompt, 1)));
    auto booking = std::async(std::launch::async, [&testFleet] { return testFleet.book(3, "hire-1", "{}"); });
    testFleet.control(testFleet.leader()).kill();
    testFleet.entry(1).kill();
    CHECK(booking.get().status == 200);
    caller.readAll();
    CHECK(caller.isComplete());
    CHECK(caller.text() == expectedText(prompt, 110));
    CHECK(testFleet.book(2, "hire-1", "{}").header("Idempotent-Replay") == "true");
    CHECK(testFleet.stat("orderdesk-1", "service_runs") == 1);
    applyLimit(testFleet, 1, 530000);
}

// Guards against replicas that don't catch up when one VM is isolated while another restarts.
TEST_CASE("All replicas catch up after a partition with a concurrent restart", "[promise]")
{
    auto options = fiveControlOptions();
    options.proxied = true;
    fleet testFleet(options);
    testFleet.start();
    int leader = testFleet.leader();
    int isolated = leader == 3 ? 2 : 3;
    int restarted = leader == 4 ? 5 : 4;
    testFleet.proxy().isolate(testFleet.ip(isolated), true);
    testFleet.control(restarted).kill();
    testFleet.entry(2).kill();
    applyLimit(testFleet, 1, 540000);
    testFleet.startControl(restarted);
    testFleet.startEntry(2);
    CHECK(eventually([&] { return testFleet.isReady(testFleet.entryAdminAddress(2)); }));
    testFleet.proxy().isolate(testFleet.ip(isolated), false);
    CHECK(eventually([&] {
        auto text = testFleet.command({ "status" }).out;
        std::size_t voters = 0;
        for (auto at = text.find("replica vm="); at != std::string::npos; at = text.find("replica vm=", at + 1))
            ++voters;
        return voters == 5 && text.find("in_force=true") != std::string::npos;
    }));
    for (int n = 1; n <= 3; ++n)
        CHECK(eventually([&] {
            auto response = testFleet.complete(n, "after both faults", 5);
            UNSCOPED_INFO("vm" << n << " " << response.status << " " << response.body);
            return response.status == 200;
        }));
}

// Guards against an entry that keeps serving without a lease when only its outgoing messages are lost. It must stop
// when its lease expires, and resume when the link is restored.
TEST_CASE("An entry loses its lease in a one-way partition and regains it afterwards", "[promise]")
{
    auto options = fiveControlOptions();
    options.proxied = true;
    fleet testFleet(options);
    testFleet.start();
    for (int n = 1; n <= 5; ++n)
        testFleet.proxy().setRule(testFleet.ip(1), testFleet.ip(n), { .cut = n != 1 });
    // The control replica on VM 1 is cut off as well; if it led, the others elect a new leader.
    CHECK(eventually([&] { return !testFleet.isReady(testFleet.entryAdminAddress(1)); }));
    auto refused = testFleet.complete(1, "hello", 5);
    CHECK(refused.status == 503);
    CHECK(refused.body.find("no_config") != std::string::npos);
    auto served = testFleet.complete(2, "hello", 5);
    {
        INFO("vm2 " << served.status << " " << served.body);
        CHECK(served.status == 200);
    }
    for (int n = 1; n <= 5; ++n)
        testFleet.proxy().setRule(testFleet.ip(1), testFleet.ip(n), {});
    CHECK(eventually([&] { return testFleet.isReady(testFleet.entryAdminAddress(1)); }, maxReconnectTime));
    CHECK(eventually([&] { return testFleet.complete(1, "hello", 5).status == 200; }));
}
