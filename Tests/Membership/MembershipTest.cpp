#include "membership/membership.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace pistachiolatch;

namespace {
wire::endpoint_announcement announcementOf(std::uint64_t incarnation, std::uint64_t sequence, bool leaving = false)
{
    wire::endpoint_announcement announcement;
    announcement.set_id("decode-1");
    announcement.set_incarnation(incarnation);
    announcement.set_sequence(sequence);
    announcement.set_leaving(leaving);
    return announcement;
}

wire::session_heartbeat heartbeatOf(wire::process_kind kind, std::uint64_t revision, bool leaving = false)
{
    wire::session_heartbeat heartbeat;
    heartbeat.set_kind(kind);
    heartbeat.set_applied_revision(revision);
    heartbeat.set_max_schema_version(2);
    heartbeat.set_leaving(leaving);
    return heartbeat;
}

class mock_clock : public clock_source {
public:
    MAKE_CONST_MOCK0(now, time_point(), override);
};
}

// An endpoint announces that it is leaving, and an earlier announcement arrives late through another entry. If the late
// one were applied, the leaving endpoint would get new work.
TEST_CASE("A delayed announcement can't overwrite a later one", "[promise]")
{
    manual_clock_source clock;
    endpoint_table table;
    CHECK(table.applyAnnouncement(announcementOf(1, 5), milliseconds(0), clock.now()) == announcement_effect::Joined);
    CHECK(table.applyAnnouncement(announcementOf(1, 7, true), milliseconds(0), clock.now()) == announcement_effect::Leaving);
    CHECK(table.applyAnnouncement(announcementOf(1, 6), milliseconds(0), clock.now()) == announcement_effect::Stale);
    CHECK(table.serving().empty());
    CHECK(table.applyAnnouncement(announcementOf(2, 1), milliseconds(0), clock.now()) == announcement_effect::Restarted);
    CHECK(table.serving().size() == 1);
    clock.advance(endpointTimeout + milliseconds(1));
    CHECK(table.expire(clock.now()).size() == 1);
    CHECK(table.applyAnnouncement(announcementOf(1, 9), milliseconds(0), clock.now()) == announcement_effect::Stale);
    CHECK(table.serving().empty());
}

// A VM is partitioned with the old configuration. A change must not be reported as in force while the VM may still act.
TEST_CASE("A revision is in force once no process can act on an older one", "[promise]")
{
    manual_clock_source clock;
    session_table sessions(clock.now());
    sessions.applyHeartbeat("vm1", 1, "a", heartbeatOf(wire::PROCESS_ENTRY, 5), clock.now());
    CHECK(!sessions.isInForce(5, clock.now()));
    clock.advance(entryLease + leaseMargin);
    sessions.applyHeartbeat("vm1", 1, "a", heartbeatOf(wire::PROCESS_ENTRY, 6), clock.now());
    sessions.applyHeartbeat("vm2", 1, "b", heartbeatOf(wire::PROCESS_ENTRY, 5), clock.now());
    CHECK(sessions.isInForce(5, clock.now()));
    CHECK(!sessions.isInForce(6, clock.now()));
    clock.advance(entryLease);
    CHECK(!sessions.isInForce(6, clock.now()));
    clock.advance(leaseMargin);
    CHECK(sessions.isInForce(6, clock.now()));
}

// The owner of a shard stops sending heartbeats. Until its lease has expired it may still grant tokens and place
// requests, so the shard must not be reassigned before then, and must be reassigned afterwards.
TEST_CASE("A shard is reassigned only after its owner's lease has expired", "[promise]")
{
    manual_clock_source clock;
    session_table sessions(clock.now());
    sessions.applyHeartbeat("vm1", 1, "a", heartbeatOf(wire::PROCESS_SCHEDULER, 0), clock.now());
    auto first = assignShards({ "limit:0" }, {}, sessions, clock.now());
    REQUIRE(first.size() == 1);
    std::map<std::string, wire::shard_owner> current { { "limit:0", first[0] } };
    clock.advance(schedulerLease);
    sessions.applyHeartbeat("vm2", 1, "b", heartbeatOf(wire::PROCESS_SCHEDULER, 0), clock.now());
    CHECK(assignShards({ "limit:0" }, current, sessions, clock.now()).empty());
    clock.advance(leaseMargin);
    auto moved = assignShards({ "limit:0" }, current, sessions, clock.now());
    REQUIRE(moved.size() == 1);
    CHECK(moved[0].scheduler() == "vm2");

    // A new leader does not know which leases its predecessor granted.
    session_table newLeaderSessions(clock.now());
    newLeaderSessions.applyHeartbeat("vm2", 1, "b", heartbeatOf(wire::PROCESS_SCHEDULER, 0), clock.now());
    CHECK(assignShards({ "limit:0" }, current, newLeaderSessions, clock.now()).empty());
    // A restarted owner proves that its earlier incarnation has ended.
    newLeaderSessions.applyHeartbeat("vm1", 2, "a", heartbeatOf(wire::PROCESS_SCHEDULER, 0), clock.now());
    CHECK(assignShards({ "limit:0" }, current, newLeaderSessions, clock.now()).size() == 1);
}

TEST_CASE("A lease is valid for its duration from when it was requested")
{
    mock_clock clock;
    time_point start { std::chrono::hours(5) };
    trompeloeil::sequence order;
    REQUIRE_CALL(clock, now()).IN_SEQUENCE(order).RETURN(start + milliseconds(99));
    REQUIRE_CALL(clock, now()).IN_SEQUENCE(order).RETURN(start + milliseconds(100));
    session_lease lease;
    lease.renew(start, milliseconds(100));
    lease.renew(start - milliseconds(50), milliseconds(100));
    CHECK(lease.isValid(clock.now()));
    CHECK(!lease.isValid(clock.now()));
}
