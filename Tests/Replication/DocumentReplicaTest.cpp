#include "Replication/replica_cluster.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

// Guards against losing the quorum and acknowledged changes after several lost disks: a wiped initial voter knows only the
// initial voters. If its join request is not forwarded to a leader that is none of them, it never rejoins.
TEST_CASE("A wiped replica rejoins although it does not know the leader")
{
    replica_cluster cluster(5);
    cluster.runUntil([&] { return cluster.voters() == 5; });
    auto isInitialVoter = [&](test_replica* one) { return one == cluster.replicas[0].get() || one == cluster.replicas[1].get() || one == cluster.replicas[2].get(); };
    std::uint64_t version = 0;
    while (isInitialVoter(cluster.leader())) {
        auto* before = cluster.leader();
        before->stop();
        cluster.runUntil([&] { return cluster.leader() != nullptr; });
        before->start(false);
        cluster.submit(*before, ++version, "reconnected");
    }
    cluster.submit(*cluster.leader(), ++version, "last");
    cluster.replicas[0]->stop();
    cluster.replicas[0]->wipe();
    cluster.replicas[0]->start(false);
    cluster.runUntil([&] { return cluster.voters() == 5 && cluster.replicas[0]->replica().isVoter(); }, std::chrono::seconds(4));
    CHECK(cluster.replicas[0]->replica().document().version() == version);
}

// Guards against a second log with changes of its own when one of the initial voters starts late: each of them must create
// the same first entry from its settings alone.
TEST_CASE("Initial voters that start in any order create one log")
{
    replica_cluster cluster(5);
    cluster.runUntil([&] { return cluster.voters() == 5; });
    cluster.submit(*cluster.replicas[4], 3, "three");
    cluster.runUntil([&] {
        for (auto& one : cluster.replicas) {
            if (one->replica().document().version() != 3)
                return false;
        }
        return true;
    });
    // An older document or another one of the same version is acknowledged and changes nothing.
    cluster.submit(*cluster.replicas[3], 2, "two");
    cluster.submit(*cluster.replicas[2], 3, "another three");
    CHECK(cluster.leader()->replica().document().body() == "three");
}
