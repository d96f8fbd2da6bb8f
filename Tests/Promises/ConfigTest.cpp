#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
std::string limitFile(const fleet& where, int version, int rate)
{
    return where.file("limit.toml", fmt::format("[[limit]]\nname = \"alpha\"\nversion = {}\nrate = {}\nburst = 1000000\n", version, rate));
}

/// Submits as another operator, straight to a control VM.
simple_response submitAs(const fleet& where, int control, const std::string& token, int version, int rate)
{
    auto body = fmt::format(R"({{"records":[{{"kind":"limit","name":"alpha","version":{},"schema_version":1,"body":{{"rate":{},"burst":1000000}}}}]}})", version, rate);
    return where.call(where.operatorAddress(control), "POST", "/v1/records", { { "Authorization", "Bearer " + token } }, body);
}
}

// Two operators edit the same version. The second is told who won; nothing is overwritten, and a resend of the
// winner's submission, as after a lost answer, is accepted once.
TEST_CASE("Racing operators get one winner and resends are accepted once", "[promise]")
{
    fleet where({});
    where.start();
    int leader = where.leader();
    CHECK(submitAs(where, leader, "test-token", 2, 500000).status == 200);
    auto lost = submitAs(where, leader, "other-token", 2, 600000);
    CHECK(lost.status == 409);
    CHECK(lost.body.find("submitted by anna") != std::string::npos);
    auto resent = submitAs(where, leader, "test-token", 2, 500000);
    CHECK(resent.status == 200);
    CHECK(resent.body.find("already_accepted") != std::string::npos);
    CHECK(where.command({ "get", "limit", "alpha" }).out.find("rate = 500000") != std::string::npos);
    CHECK(submitAs(where, leader, "wrong", 3, 1).status == 401);
}

// A control VM is cut off for long and believes nothing of it. It must neither accept a change nor show an old state
// as the one in force; the others go on, and it catches up when it is back.
TEST_CASE("An isolated control VM neither accepts nor shows old state", "[promise]")
{
    fleet_options shape;
    shape.proxied = true;
    fleet where(shape);
    where.start();
    int isolated = where.leader();
    where.proxy().isolate(where.ip(isolated), true);
    auto applied = where.command({ "apply", limitFile(where, 1, 700000) });
    INFO(applied.out << applied.err);
    CHECK(applied.code == 0);
    CHECK(submitAs(where, isolated, "test-token", 2, 1).status == 503);
    auto read = where.call(where.operatorAddress(isolated), "GET", "/v1/records", { { "Authorization", "Bearer test-token" } }, "");
    CHECK(read.status == 503);
    auto term = where.status("term");
    where.proxy().isolate(where.ip(isolated), false);
    CHECK(eventually([&] { return where.call(where.operatorAddress(isolated), "GET", "/v1/status", { { "Authorization", "Bearer test-token" } }, "").status != 0 && where.isReady(where.entryAdminAddress(isolated)); }));
    // Coming back it deposes nobody.
    CHECK(where.status("term") == term);
    CHECK(where.command({ "get", "limit", "alpha" }).out.find("rate = 700000") != std::string::npos);
}

// A control process and an entry are down while hundreds of changes pass, more than the log keeps. They come back by
// snapshot and serve only what is in force then.
TEST_CASE("Processes that missed hundreds of changes come back up to date", "[promise]")
{
    fleet where({});
    where.start();
    int follower = where.leader() == 3 ? 2 : 3;
    where.control(follower).kill();
    where.entry(2).kill();
    int leader = where.leader();
    for (int version = 2; version <= 301; ++version)
        REQUIRE(submitAs(where, leader, "test-token", version, 400000 + version).status == 200);
    where.startControl(follower);
    where.startEntry(2);
    CHECK(eventually([&] { return where.isReady(where.entryAdminAddress(2)); }));
    auto revision = where.status("revision");
    CHECK(eventually([&] { return where.metric(where.entryAdminAddress(2), "pistachiolatch_state{name=\"revision\"}") == revision; }));
    // The one that was away carries the state now: the leader goes, and the log needs its vote.
    where.control(leader).kill();
    auto got = where.command({ "get", "limit", "alpha" });
    CHECK(got.out.find("rate = 400301") != std::string::npos);
    CHECK(got.out.find("version = 301") != std::string::npos);
}

// Every control process dies at once, as in a power cut. What was accepted is on disks, and is in force again.
TEST_CASE("Accepted records survive a power cut of all control VMs", "[promise]")
{
    fleet where({});
    where.start();
    CHECK(where.command({ "apply", limitFile(where, 1, 800000) }).code == 0);
    for (int n = 1; n <= 3; ++n)
        where.control(n).signal(SIGKILL);
    for (int n = 1; n <= 3; ++n)
        where.control(n).kill();
    for (int n = 1; n <= 3; ++n)
        where.startControl(n);
    CHECK(where.command({ "get", "limit", "alpha" }).out.find("rate = 800000") != std::string::npos);
    CHECK(eventually([&] { return where.complete(1, "hello", 5).status == 200; }));
}

// A control process is frozen for longer than an election, then thaws and still thinks that it leads.
TEST_CASE("A leader that was frozen past its lease gives up on thawing", "[promise]")
{
    fleet where({});
    where.start();
    int frozen = where.leader();
    where.control(frozen).signal(SIGSTOP);
    auto applied = where.command({ "apply", limitFile(where, 1, 900000) });
    INFO(applied.out << applied.err);
    CHECK(applied.code == 0);
    where.control(frozen).signal(SIGCONT);
    CHECK(submitAs(where, frozen, "test-token", 2, 1).status == 503);
    CHECK(where.command({ "get", "limit", "alpha" }).out.find("rate = 900000") != std::string::npos);
}

// Guards against an accepted change that is left unconfirmed without a log line that gives the reason.
TEST_CASE("The log says why an accepted change was not confirmed to be in force", "[promise]")
{
    fleet where({});
    where.start();
    int leader = where.leader();
    REQUIRE(leader > 0);
    auto before = where.status("revision");
    // The change is not in force until the lease of this frozen entry expires.
    where.entry(1).signal(SIGSTOP);
    command_output applied;
    std::thread operatorCommand([&] { applied = where.command({ "apply", limitFile(where, 1, 700000) }); });
    auto log = [&] { return readFile(fmt::format("{}/control{}.out", where.folder(), leader)); };
    CHECK(eventually([&] { return where.status("revision") != before; }, std::chrono::seconds(2)));
    for (int n = 1; n <= 3; ++n) {
        if (n != leader)
            where.control(n).signal(SIGSTOP);
    }
    operatorCommand.join();
    for (int n = 1; n <= 3; ++n) {
        if (n != leader)
            where.control(n).signal(SIGCONT);
    }
    where.entry(1).signal(SIGCONT);
    INFO(applied.out << applied.err);
    CHECK(applied.out.find("not yet confirmed in force") != std::string::npos);
    CHECK(log().find("event=change_unconfirmed") != std::string::npos);
    CHECK(log().find(" why=leadership_lost") != std::string::npos);
}
