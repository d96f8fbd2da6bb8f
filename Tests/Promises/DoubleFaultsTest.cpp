#include "load/expected_output.h"
#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <future>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
fleet_options fiveControls()
{
    fleet_options shape;
    shape.controls = 5;
    shape.disks = 3;
    return shape;
}

std::string limitFile(const fleet& where, int version, int rate)
{
    return where.file("limit.toml", fmt::format("[[limit]]\nname = \"alpha\"\nversion = {}\nrate = {}\nburst = 1000000\n", version, rate));
}
}

// A VM with a disk is lost and replaced; its folder is empty. It comes back as a new replica and is repaired. Right
// after that a second disk VM is lost. Every accepted record must still be there, and changes go on.
TEST_CASE("A disk lost, then a second VM right after the repair", "[promise]")
{
    fleet where(fiveControls());
    where.start();
    CHECK(where.command({ "apply", limitFile(where, 1, 510000) }).code == 0);
    int leader = where.leader();
    int wiped = leader == 2 ? 3 : 2;
    where.control(wiped).kill();
    std::filesystem::remove_all(where.dataFolder(wiped));
    where.startControl(wiped);
    REQUIRE(eventually([&] {
        return readFile(where.folder() + "/control" + std::to_string(leader) + ".out").find("membership_committed") != std::string::npos
            && where.command({ "status" }).out.find(fmt::format("replica vm=vm{} ", wiped)) != std::string::npos;
    }));
    where.control(leader).kill();
    std::filesystem::remove_all(where.dataFolder(leader));
    CHECK(where.command({ "get", "limit", "alpha" }).out.find("rate = 510000") != std::string::npos);
    CHECK(where.command({ "apply", limitFile(where, 2, 520000) }).code == 0);
    where.startControl(leader);
    CHECK(where.command({ "get", "limit", "alpha" }).out.find("rate = 520000") != std::string::npos);
}

// The leader of control and an entry are killed together while bookings and streams run elsewhere.
TEST_CASE("Leader and entry killed at once", "[promise]")
{
    fleet where(fiveControls());
    where.start();
    std::string prompt = "stream beside a double fault";
    streaming_caller caller(where, 2, prompt, 110);
    REQUIRE(caller.readUntil(expectedToken(prompt, 1)));
    auto booking = std::async(std::launch::async, [&where] { return where.book(3, "hire-1", "{}"); });
    where.control(where.leader()).kill();
    where.entry(1).kill();
    CHECK(booking.get().status == 200);
    caller.readAll();
    CHECK(caller.isComplete());
    CHECK(caller.text() == expectedText(prompt, 110));
    CHECK(where.book(2, "hire-1", "{}").header("Idempotent-Replay") == "true");
    CHECK(where.stat("orderdesk-1", "service_runs") == 1);
    CHECK(where.command({ "apply", limitFile(where, 1, 530000) }).code == 0);
}

// A VM is cut off, and while it is, another restarts. The cut ends; all are in step again.
TEST_CASE("A partition and a restart at once", "[promise]")
{
    auto shape = fiveControls();
    shape.proxied = true;
    fleet where(shape);
    where.start();
    int leader = where.leader();
    int cutOff = leader == 3 ? 2 : 3;
    int restarted = leader == 4 ? 5 : 4;
    where.proxy().isolate(where.ip(cutOff), true);
    where.control(restarted).kill();
    where.entry(2).kill();
    CHECK(where.command({ "apply", limitFile(where, 1, 540000) }).code == 0);
    where.startControl(restarted);
    where.startEntry(2);
    CHECK(eventually([&] { return where.isReady(where.entryAdminAddress(2)); }));
    where.proxy().isolate(where.ip(cutOff), false);
    CHECK(eventually([&] {
        auto text = where.command({ "status" }).out;
        std::size_t voters = 0;
        for (auto at = text.find("replica vm="); at != std::string::npos; at = text.find("replica vm=", at + 1))
            ++voters;
        return voters == 5 && text.find("in_force=true") != std::string::npos;
    }));
    for (int n = 1; n <= 3; ++n)
        CHECK(eventually([&] {
            auto answer = where.complete(n, "after both faults", 5);
            UNSCOPED_INFO("vm" << n << " " << answer.status << " " << answer.body);
            return answer.status == 200;
        }));
}

// One direction of the link between the leader and an entry is cut: the entry hears the leader, the leader does not
// hear the entry. The entry must stop by itself when its lease ends, and come back with the link.
TEST_CASE("A one-way cut ends a lease and its end restores it", "[promise]")
{
    auto shape = fiveControls();
    shape.proxied = true;
    fleet where(shape);
    where.start();
    for (int n = 1; n <= 5; ++n)
        where.proxy().setRule(where.ip(1), where.ip(n), { .cut = n != 1 });
    // Control on VM 1 is as mute as its entry; the rest elects a leader if it led.
    CHECK(eventually([&] { return !where.isReady(where.entryAdminAddress(1)); }));
    auto refused = where.complete(1, "hello", 5);
    CHECK(refused.status == 503);
    CHECK(refused.body.find("no_config") != std::string::npos);
    CHECK(where.complete(2, "hello", 5).status == 200);
    for (int n = 1; n <= 5; ++n)
        where.proxy().setRule(where.ip(1), where.ip(n), {});
    CHECK(eventually([&] { return where.isReady(where.entryAdminAddress(1)); }));
    CHECK(eventually([&] { return where.complete(1, "hello", 5).status == 200; }));
}
