#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
std::string writeLimitFile(const fleet& testFleet, int version, int rate)
{
    return testFleet.file("limit.toml", fmt::format("[[limit]]\nname = \"alpha\"\nversion = {}\nrate = {}\nburst = 1000000\n", version, rate));
}

/// Submits a limit record directly to a control VM with an operator's token.
simple_response submitLimit(const fleet& testFleet, int control, const std::string& token, int version, int rate)
{
    auto body = fmt::format(R"({{"records":[{{"kind":"limit","name":"alpha","version":{},"schema_version":1,"body":{{"rate":{},"burst":1000000}}}}]}})", version, rate);
    return testFleet.call(testFleet.operatorAddress(control), "POST", "/v1/records", { { "Authorization", "Bearer " + token } }, body);
}

/// A leader that accepts a change and then loses all its followers, before the change is in force everywhere.
class deserted_leader {
public:
    deserted_leader()
    {
        testFleet.start();
        m_leader = testFleet.leader();
        REQUIRE(m_leader > 0);
        auto before = testFleet.status("revision");
        // The change is not in force until the lease of this suspended entry expires.
        testFleet.entry(1).signal(SIGSTOP);
        m_command = std::thread([&] { applied = testFleet.command({ "apply", writeLimitFile(testFleet, 1, 700000) }); });
        CHECK(eventually([&] { return testFleet.status("revision") != before; }, std::chrono::seconds(2)));
        signalFollowers(SIGSTOP);
    }
    ~deserted_leader() { awaitCommand(); }
    deserted_leader(const deserted_leader&) = delete;
    deserted_leader& operator=(const deserted_leader&) = delete;

    void resumeOthers()
    {
        signalFollowers(SIGCONT);
        testFleet.entry(1).signal(SIGCONT);
    }
    void awaitCommand()
    {
        if (m_command.joinable())
            m_command.join();
    }
    std::string log() const { return readFile(fmt::format("{}/control{}.out", testFleet.folder(), m_leader)); }

    fleet testFleet { fleet_options {} };
    command_output applied;

private:
    void signalFollowers(int signal)
    {
        for (int n = 1; n <= 3; ++n) {
            if (n != m_leader)
                testFleet.control(n).signal(signal);
        }
    }

    int m_leader = 0;
    std::thread m_command;
};
}

// Guards against lost updates when two operators submit the same version: the second is told who submitted it. A
// resend of the accepted submission, as after a lost response, is not applied again.
TEST_CASE("Of two submissions of a version one is accepted, and its resend is applied once", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    int leader = testFleet.leader();
    CHECK(submitLimit(testFleet, leader, "test-token", 2, 500000).status == 200);
    auto rejected = submitLimit(testFleet, leader, "other-token", 2, 600000);
    CHECK(rejected.status == 409);
    CHECK(rejected.body.find("submitted by anna") != std::string::npos);
    auto resent = submitLimit(testFleet, leader, "test-token", 2, 500000);
    CHECK(resent.status == 200);
    CHECK(resent.body.find("already_accepted") != std::string::npos);
    CHECK(testFleet.command({ "get", "limit", "alpha" }).out.find("rate = 500000") != std::string::npos);
    CHECK(submitLimit(testFleet, leader, "wrong", 3, 1).status == 401);
}

// Guards against an isolated leader that accepts changes or serves stale records. The other replicas continue, and it
// catches up after the partition ends.
TEST_CASE("An isolated control VM neither accepts changes nor serves stale state", "[promise]")
{
    fleet_options options;
    options.proxied = true;
    fleet testFleet(options);
    testFleet.start();
    int isolated = testFleet.leader();
    testFleet.proxy().isolate(testFleet.ip(isolated), true);
    auto applied = testFleet.command({ "apply", writeLimitFile(testFleet, 1, 700000) });
    INFO(applied.out << applied.err << testFleet.controlLogLines({ "leadership_", "peer_", "storage_" }));
    CHECK(applied.code == 0);
    CHECK(submitLimit(testFleet, isolated, "test-token", 2, 1).status == 503);
    auto read = testFleet.call(testFleet.operatorAddress(isolated), "GET", "/v1/records", { { "Authorization", "Bearer test-token" } }, "");
    CHECK(read.status == 503);
    auto term = testFleet.status("term");
    testFleet.proxy().isolate(testFleet.ip(isolated), false);
    CHECK(eventually([&] { return testFleet.call(testFleet.operatorAddress(isolated), "GET", "/v1/status", { { "Authorization", "Bearer test-token" } }, "").status != 0 && testFleet.isReady(testFleet.entryAdminAddress(isolated)); }));
    // Its return must not trigger an election.
    CHECK(testFleet.status("term") == term);
    CHECK(testFleet.command({ "get", "limit", "alpha" }).out.find("rate = 700000") != std::string::npos);
}

// Guards against stale state in a control process and an entry that missed more changes than the log keeps. They
// catch up from a snapshot.
TEST_CASE("Processes that missed hundreds of changes catch up after a restart", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    int follower = testFleet.leader() == 3 ? 2 : 3;
    testFleet.control(follower).kill();
    testFleet.entry(2).kill();
    int leader = testFleet.leader();
    for (int version = 2; version <= 301; ++version)
        REQUIRE(submitLimit(testFleet, leader, "test-token", version, 400000 + version).status == 200);
    testFleet.startControl(follower);
    testFleet.startEntry(2);
    CHECK(eventually([&] { return testFleet.isReady(testFleet.entryAdminAddress(2)); }));
    auto revision = testFleet.status("revision");
    CHECK(eventually([&] { return testFleet.metric(testFleet.entryAdminAddress(2), "pistachiolatch_state{name=\"revision\"}") == revision; }));
    // With the leader killed, the quorum needs the restarted replica.
    testFleet.control(leader).kill();
    auto output = testFleet.command({ "get", "limit", "alpha" });
    CHECK(output.out.find("rate = 400301") != std::string::npos);
    CHECK(output.out.find("version = 301") != std::string::npos);
}

// Guards against losing accepted records when all control processes are killed at once, as in a power failure.
TEST_CASE("Accepted records survive a power failure of all control VMs", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    CHECK(testFleet.command({ "apply", writeLimitFile(testFleet, 1, 800000) }).code == 0);
    for (int n = 1; n <= 3; ++n)
        testFleet.control(n).signal(SIGKILL);
    for (int n = 1; n <= 3; ++n)
        testFleet.control(n).kill();
    for (int n = 1; n <= 3; ++n)
        testFleet.startControl(n);
    CHECK(testFleet.command({ "get", "limit", "alpha" }).out.find("rate = 800000") != std::string::npos);
    CHECK(eventually([&] { return testFleet.complete(1, "hello", 5).status == 200; }));
}

// Guards against a leader that is suspended for longer than an election and accepts changes when it resumes.
TEST_CASE("A leader suspended past its lease rejects changes after it resumes", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    int suspended = testFleet.leader();
    testFleet.control(suspended).signal(SIGSTOP);
    auto applied = testFleet.command({ "apply", writeLimitFile(testFleet, 1, 900000) });
    INFO(applied.out << applied.err);
    CHECK(applied.code == 0);
    testFleet.control(suspended).signal(SIGCONT);
    CHECK(submitLimit(testFleet, suspended, "test-token", 2, 1).status == 503);
    CHECK(testFleet.controlLogLines({ "control_paused" }).find(fmt::format(" vm=vm{} ", suspended)) != std::string::npos);
    CHECK(testFleet.command({ "get", "limit", "alpha" }).out.find("rate = 900000") != std::string::npos);
}

// Guards against an accepted change that is left unconfirmed without a log line that gives the reason.
TEST_CASE("The log says why an accepted change was not confirmed to be in force", "[promise]")
{
    deserted_leader leader;
    leader.awaitCommand();
    leader.resumeOthers();
    const auto& applied = leader.applied;
    INFO(applied.out << applied.err);
    CHECK(applied.out.find("not yet confirmed in force") != std::string::npos);
    CHECK(leader.log().find("event=change_unconfirmed") != std::string::npos);
    CHECK(leader.log().find(" why=leadership_lost") != std::string::npos);
    CHECK(leader.log().find(" why=no_quorum") != std::string::npos);
}

// Guards against a failed apply whose change is in the log and in force soon, because the leader that accepted it lost
// its lead before it could confirm it.
TEST_CASE("A change accepted by a leader that loses its lead is confirmed by the next one", "[promise]")
{
    deserted_leader leader;
    CHECK(eventually([&] { return leader.log().find("event=change_unconfirmed") != std::string::npos; }));
    leader.resumeOthers();
    leader.awaitCommand();
    const auto& applied = leader.applied;
    INFO(applied.out << applied.err << leader.log());
    CHECK(leader.log().find(" why=leadership_lost") != std::string::npos);
    CHECK(applied.code == 0);
    CHECK(applied.out.find("in force everywhere") != std::string::npos);
}
