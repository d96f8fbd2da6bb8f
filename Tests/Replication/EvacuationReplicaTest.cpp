// Guards against acknowledged evacuations that are lost or reverted, after which callers' work would go to endpoints that
// are about to be switched off.
#include "Replication/replica_cluster.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
using names = std::set<std::string>;

bool allHold(replica_cluster& cluster, const names& evacuated)
{
    return std::all_of(cluster.replicas.begin(), cluster.replicas.end(), [&](const auto& one) { return !one->isRunning() || one->replica().evacuations().evacuated() == evacuated; });
}

test_replica& follower(replica_cluster& cluster)
{
    auto* leader = cluster.leader();
    return *cluster.replicas[leader == cluster.replicas[0].get() ? 1 : 0];
}

/// More commands than the log keeps before it is compacted.
constexpr std::uint64_t commandsBeyondLog = 450;
}

TEST_CASE("Evacuations reach every replica, and documents leave them as they are")
{
    replica_cluster cluster(3);
    cluster.runUntil([&] { return cluster.voters() == 3; });
    cluster.evacuate(follower(cluster), "a", true);
    cluster.submit(follower(cluster), 1, "one");
    cluster.evacuate(*cluster.leader(), "b", true);
    cluster.evacuate(follower(cluster), "a", true);
    cluster.runUntil([&] { return allHold(cluster, { "a", "b" }); });
    cluster.evacuate(follower(cluster), "a", false);
    cluster.runUntil([&] { return allHold(cluster, { "b" }); });
    CHECK(cluster.leader()->replica().document().version() == 1);
}

TEST_CASE("Evacuations survive the loss of the leader, of a disk and of all processes")
{
    replica_cluster cluster(3);
    cluster.runUntil([&] { return cluster.voters() == 3; });
    auto* leader = cluster.leader();
    cluster.evacuate(*leader, "a", true);
    leader->stop();
    leader->wipe();
    cluster.runUntil([&] { return cluster.leader() != nullptr; });
    CHECK(cluster.leader()->replica().evacuations().isEvacuated("a"));
    leader->start(false);
    cluster.runUntil([&] { return cluster.voters() == 3 && allHold(cluster, { "a" }); });
    for (auto& one : cluster.replicas)
        one->stop();
    for (auto& one : cluster.replicas)
        one->start(false);
    cluster.runUntil([&] { return cluster.leader() != nullptr && allHold(cluster, { "a" }); });
}

TEST_CASE("Evacuations are in snapshots and in the state that a wiped replica receives")
{
    replica_cluster cluster(3);
    cluster.runUntil([&] { return cluster.voters() == 3; });
    cluster.evacuate(*cluster.leader(), "a", true);
    cluster.evacuate(*cluster.leader(), "b", true);
    cluster.evacuate(*cluster.leader(), "b", false);
    for (std::uint64_t version = 1; version <= commandsBeyondLog; ++version)
        cluster.submit(*cluster.leader(), version, "document");
    auto& wiped = follower(cluster);
    wiped.stop();
    wiped.wipe();
    wiped.start(false);
    cluster.runUntil([&] { return wiped.replica().evacuations().isEvacuated("a") && wiped.replica().document().version() == commandsBeyondLog; });
    CHECK(wiped.evacuationChanges() > 0);
    CHECK_FALSE(wiped.replica().evacuations().isEvacuated("b"));
    for (auto& one : cluster.replicas)
        one->stop();
    for (auto& one : cluster.replicas)
        one->start(false);
    cluster.runUntil([&] { return cluster.leader() != nullptr && allHold(cluster, { "a" }); });
}

// Guards against a data centre that is evacuated again, or used again, by a copy of an order that the network held back.
TEST_CASE("A forwarded order that arrives after its withdrawal changes nothing")
{
    replica_cluster cluster(3);
    cluster.runUntil([&] { return cluster.voters() == 3; });
    auto& sender = follower(cluster);
    wire::envelope late;
    auto& order = *late.mutable_evacuation_submit()->mutable_order();
    order.set_data_centre("a");
    order.set_evacuated(true);
    order.set_known_revision(sender.replica().evacuations().revision());
    cluster.evacuate(*cluster.leader(), "a", true);
    cluster.evacuate(*cluster.leader(), "a", false);
    std::optional<wire::evacuation_result> result;
    sender.network().call(cluster.leader()->address(), std::move(late), milliseconds(2000), [&](const wire::envelope* reply) {
        REQUIRE(reply);
        result = reply->evacuation_submit_reply().result();
    });
    cluster.runUntil([&] { return result.has_value(); });
    CHECK(*result == wire::EVACUATION_UNAVAILABLE);
    CHECK(allHold(cluster, {}));
}

// Guards against an order that is lost in an upgrade: a replica of an earlier version leaves it out of its snapshots.
TEST_CASE("No evacuation is accepted while a voter of an earlier version takes part")
{
    replica_cluster cluster(3);
    cluster.runUntil([&] { return cluster.voters() == 3; });
    auto& leader = *cluster.leader();
    auto& sender = follower(cluster);
    wire::envelope old;
    old.mutable_raft()->set_kind(wire::RAFT_NONE);
    auto& from = *old.mutable_raft()->mutable_from();
    from.set_vm(vmOfAddress(sender.address()));
    from.set_incarnation(sender.replica().self().incarnation());
    leader.replica().onMessage(old, nullptr);
    std::optional<wire::evacuation_result> result;
    leader.replica().submitEvacuation("a", true, [&](wire::evacuation_result outcome) { result = outcome; });
    cluster.runUntil([&] { return result.has_value(); });
    CHECK(*result == wire::EVACUATION_UNAVAILABLE);
    // Its next message shows that it was upgraded.
    cluster.evacuate(leader, "a", true);
}
