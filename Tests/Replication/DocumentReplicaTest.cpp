#include "replication/replication.h"
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <filesystem>

using namespace pistachiolatch;

namespace {
constexpr int firstPort = 23610;

/// One replica in this process, with its own network and folder.
class test_replica {
public:
    test_replica(boost::asio::io_context& context, const clock_source& clock, int number, std::vector<std::string> initialVoters)
        : m_context(context)
        , m_clock(clock)
        , m_address(fmt::format("127.0.5.{}:{}", number, firstPort))
        , m_folder(fmt::format("{}/replica-{}-{}", std::filesystem::temp_directory_path().string(), ::getpid(), number))
        , m_initialVoters(std::move(initialVoters))
    {
        wipe();
    }
    ~test_replica()
    {
        stop();
        std::filesystem::remove_all(m_folder);
    }

    void start(bool firstStart)
    {
        m_network = std::make_unique<peer_network>(m_context, m_clock, m_metrics);
        m_network->onMessage([this](const wire::envelope& message, const peer_network::peer& from) { m_replica->onMessage(message, from); });
        replica_events events;
        events.documentChanged = [] {};
        events.leadershipChanged = [](bool) {};
        m_replica = std::make_unique<document_replica>(m_context, *m_network, m_clock, m_metrics, replica_settings { m_folder, { m_address, m_initialVoters, firstStart } }, std::move(events));
        m_replica->addPeers(m_initialVoters);
        REQUIRE(m_network->listen(m_address));
        m_network->start();
        m_replica->start();
        REQUIRE(m_replica->hasStorage());
    }

    void stop()
    {
        if (!m_replica)
            return;
        CHECK(m_replica->hasStorage());
        m_replica->stop();
        m_network->stop();
        // Posted handlers still refer to this replica's network and must run before it is destroyed.
        m_context.poll();
        m_context.restart();
        m_replica.reset();
        m_network.reset();
    }

    void wipe()
    {
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder);
    }

    document_replica& replica() { return *m_replica; }
    bool isRunning() const { return m_replica != nullptr; }
    const std::string& address() const { return m_address; }

private:
    boost::asio::io_context& m_context;
    const clock_source& m_clock;
    metrics m_metrics;
    std::string m_address;
    std::string m_folder;
    std::vector<std::string> m_initialVoters;
    std::unique_ptr<peer_network> m_network;
    std::unique_ptr<document_replica> m_replica;
};

class replica_cluster {
public:
    explicit replica_cluster(int count)
    {
        std::vector<std::string> initialVoters;
        for (int i = 1; i <= 3; ++i)
            initialVoters.push_back(fmt::format("127.0.5.{}:{}", i, firstPort));
        for (int i = 1; i <= count; ++i)
            replicas.push_back(std::make_unique<test_replica>(context, clock, i, initialVoters));
        for (auto& one : replicas)
            one->start(true);
    }

    /// Runs the replicas until the condition holds; fails after the timeout.
    void runUntil(const std::function<bool()>& condition, std::chrono::seconds timeout = std::chrono::seconds(15))
    {
        auto end = clock.now() + timeout;
        while (!condition()) {
            REQUIRE(clock.now() < end);
            context.restart();
            context.run_for(milliseconds(20));
        }
    }

    test_replica* leader()
    {
        for (auto& one : replicas) {
            if (one->isRunning() && one->replica().isLeader())
                return one.get();
        }
        return nullptr;
    }

    std::size_t voters() { return leader() ? leader()->replica().voters() : 0; }

    /// Submits a document at a replica and waits until it is accepted.
    void submit(test_replica& replica, std::uint64_t version, const std::string& body)
    {
        bool accepted = false;
        bool waiting = false;
        runUntil([&] {
            if (accepted || waiting)
                return accepted;
            waiting = true;
            wire::document document;
            document.set_version(version);
            document.set_body(body);
            replica.replica().submit(document, [&](submit_result outcome) {
                waiting = false;
                accepted = !outcome.unavailable;
            });
            return accepted;
        });
    }

    boost::asio::io_context context { 1 };
    boottime_clock_source clock;
    std::vector<std::unique_ptr<test_replica>> replicas;
};
}

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
