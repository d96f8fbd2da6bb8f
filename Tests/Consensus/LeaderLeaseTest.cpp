#include "consensus/consensus.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace pistachiolatch;

namespace {
wire::replica_id makeId(const std::string& vm)
{
    wire::replica_id id;
    id.set_vm(vm);
    id.set_incarnation(1);
    return id;
}

/// A log of two replicas, the first of which leads, with a link that delays messages to the second.
class slow_follower {
public:
    explicit slow_follower(milliseconds delay)
        : m_delay(delay)
    {
        wire::replica_set voters;
        *voters.add_voters() = makeId("vm1");
        *voters.add_voters() = makeId("vm2");
        leader.bootstrap(voters);
        follower.bootstrap(voters);
        while (!leader.hasCommittedInTerm())
            pass(milliseconds(10));
    }

    /// Lets the time pass and exchanges the messages that are due.
    void pass(duration time)
    {
        now += time;
        leader.tick(now);
        for (auto& message : leader.takeReady().messages)
            m_toFollower.push_back({ now + m_delay, std::move(message) });
        while (!m_toFollower.empty() && m_toFollower.front().dueAt <= now) {
            follower.step(m_toFollower.front().message, now);
            m_toFollower.pop_front();
        }
        for (const auto& message : follower.takeReady().messages)
            leader.step(message, now);
    }

    time_point now { std::chrono::hours(1) };
    raft_core leader { makeId("vm1"), raft_settings {}, 1, {}, now };
    raft_core follower { makeId("vm2"), raft_settings {}, 2, {}, now };

private:
    struct delayed_message {
        time_point dueAt;
        wire::raft_message message;
    };
    milliseconds m_delay;
    std::deque<delayed_message> m_toFollower;
};
}

// Guards against a leader that steps down, although its followers reply in time, because commands arrive faster than
// they do.
TEST_CASE("A leader keeps its lease while commands arrive faster than acknowledgements", "[promise]")
{
    slow_follower replicas(milliseconds(20));
    auto term = replicas.leader.term();
    int stepsWithoutLease = 0;
    constexpr int steps = 8000;
    for (int step = 0; step < steps; ++step) {
        replicas.leader.propose("command");
        replicas.pass(std::chrono::microseconds(250));
        stepsWithoutLease += replicas.leader.leaseValid(replicas.now) ? 0 : 1;
    }
    CHECK(stepsWithoutLease == 0);
    CHECK(replicas.leader.role() == raft_role::Leader);
    CHECK(replicas.leader.term() == term);
}
