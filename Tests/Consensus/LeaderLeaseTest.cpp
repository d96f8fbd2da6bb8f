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

/// Takes the output of a replica whose disk is fast: its write is complete before its messages are sent.
std::vector<wire::raft_message> takeMessages(raft_core& replica, time_point now)
{
    auto ready = replica.takeReady();
    replica.recordStored(ready.write.hardState, ready.write.end(), now);
    std::move(ready.messagesAfterWrite.begin(), ready.messagesAfterWrite.end(), std::back_inserter(ready.messages));
    return std::move(ready.messages);
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
        for (auto& message : takeMessages(leader, now))
            m_toFollower.push_back({ now + m_delay, std::move(message) });
        while (!m_toFollower.empty() && m_toFollower.front().dueAt <= now) {
            follower.step(m_toFollower.front().message, now);
            m_toFollower.pop_front();
        }
        for (const auto& message : takeMessages(follower, now))
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

namespace {
/// A log of three replicas whose disks take the same time for each write. Messages take one step.
class slow_disks {
public:
    slow_disks()
    {
        wire::replica_set voters;
        for (int i = 1; i <= 3; ++i)
            *voters.add_voters() = makeId("vm" + std::to_string(i));
        for (std::uint64_t i = 1; i <= 3; ++i) {
            replicas.push_back({ raft_core(makeId("vm" + std::to_string(i)), raft_settings {}, i, {}, now), {} });
            replicas.back().core.bootstrap(voters);
        }
    }

    void pass(duration time)
    {
        now += time;
        auto delivered = std::exchange(m_messages, {});
        for (auto& one : replicas) {
            while (!one.writes.empty() && one.writes.front().dueAt <= now) {
                auto done = std::move(one.writes.front());
                one.writes.pop_front();
                one.core.recordStored(done.hardState, done.end, now);
                send(std::move(done.messages));
            }
            for (const auto& message : delivered)
                one.core.step(message, now);
            one.core.tick(now);
            auto ready = one.core.takeReady(one.writes.empty());
            if (!ready.write.isEmpty()) {
                auto startsAt = one.writes.empty() ? now : one.writes.back().dueAt;
                one.writes.push_back({ startsAt + writeTime, ready.write.hardState, ready.write.end(), {} });
            }
            send(std::move(ready.messages));
            if (one.writes.empty())
                send(std::move(ready.messagesAfterWrite));
            else
                std::move(ready.messagesAfterWrite.begin(), ready.messagesAfterWrite.end(), std::back_inserter(one.writes.back().messages));
        }
    }

    raft_core* leader()
    {
        for (auto& one : replicas) {
            if (one.core.hasCommittedInTerm())
                return &one.core;
        }
        return nullptr;
    }

    struct pending_write {
        time_point dueAt;
        std::optional<wire::hard_state> hardState;
        log_position end;
        std::vector<wire::raft_message> messages;
    };
    struct replica {
        raft_core core;
        std::deque<pending_write> writes;
    };
    time_point now { std::chrono::hours(1) };
    duration writeTime = milliseconds(5);
    std::vector<replica> replicas;

private:
    void send(std::vector<wire::raft_message> messages) { std::move(messages.begin(), messages.end(), std::back_inserter(m_messages)); }

    std::vector<wire::raft_message> m_messages;
};
}

// Guards against a leader that loses its lead because it, or its followers, are silent while they wait for their disks, so that
// replicas with slow disks elect one leader after the other and accept no command.
TEST_CASE("A leader keeps its lead and commits while all disks are slower than an election", "[promise]")
{
    slow_disks cluster;
    constexpr milliseconds step { 10 };
    for (int i = 0; i < 1000 && !cluster.leader(); ++i)
        cluster.pass(step);
    auto* leader = cluster.leader();
    REQUIRE(leader);
    auto term = leader->term();
    cluster.writeTime = std::chrono::seconds(4);
    auto position = leader->propose("command");
    REQUIRE(position);
    int stepsWithoutLease = 0;
    bool committedEarly = false;
    auto proposedAt = cluster.now;
    while (cluster.now < proposedAt + std::chrono::seconds(20)) {
        cluster.pass(step);
        stepsWithoutLease += leader->leaseValid(cluster.now) ? 0 : 1;
        committedEarly = committedEarly || (leader->commitIndex() >= position->index && cluster.now < proposedAt + cluster.writeTime);
        if (cluster.now < proposedAt + std::chrono::seconds(10))
            leader->propose("another command");
    }
    CHECK(stepsWithoutLease == 0);
    CHECK_FALSE(committedEarly);
    CHECK(leader->term() == term);
    CHECK(leader->commitIndex() >= position->index);
}

// Guards against elections without an end: candidates that give up before the votes are stored, one after the other.
TEST_CASE("A leader is elected however slow the disks are", "[promise]")
{
    for (int writeMs : { 50, 200, 400, 600, 1000, 2000, 4000 }) {
        slow_disks cluster;
        cluster.writeTime = milliseconds(writeMs);
        auto startedAt = cluster.now;
        // A candidate's vote, the voters' votes and the first entry each wait for a disk; a split vote may need another term.
        auto bound = startedAt + std::chrono::seconds(5) + 12 * milliseconds(writeMs);
        while (!cluster.leader() && cluster.now < bound)
            cluster.pass(milliseconds(10));
        INFO("writes of " << writeMs << " ms");
        CHECK(cluster.leader());
    }
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
