#include "replication/replication.h"
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <filesystem>

using namespace pistachiolatch;

namespace {
constexpr int firstPort = 23610;

/// One replica in this process, with its own network and folder.
class replica_under_test {
public:
    replica_under_test(boost::asio::io_context& context, const clock_source& clock, int number, std::vector<std::string> founders)
        : m_context(context)
        , m_clock(clock)
        , m_address(fmt::format("127.0.5.{}:{}", number, firstPort))
        , m_folder(fmt::format("{}/replica-{}-{}", std::filesystem::temp_directory_path().string(), ::getpid(), number))
        , m_founders(std::move(founders))
    {
        wipe();
    }
    ~replica_under_test()
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
        m_replica = std::make_unique<document_replica>(m_context, *m_network, m_clock, m_metrics, replica_settings { m_folder, { m_address, m_founders, firstStart } }, std::move(events));
        m_replica->addPeers(m_founders);
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
        // Handlers that were posted still hold this replica's network; they must run before it goes.
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
    std::vector<std::string> m_founders;
    std::unique_ptr<peer_network> m_network;
    std::unique_ptr<document_replica> m_replica;
};

class fleet_of_replicas {
public:
    explicit fleet_of_replicas(int count)
    {
        std::vector<std::string> founders;
        for (int i = 1; i <= 3; ++i)
            founders.push_back(fmt::format("127.0.5.{}:{}", i, firstPort));
        for (int i = 1; i <= count; ++i)
            replicas.push_back(std::make_unique<replica_under_test>(context, clock, i, founders));
        for (auto& one : replicas)
            one->start(true);
    }

    /// Runs the replicas until the condition holds; fails when it doesn't within the time.
    void runUntil(const std::function<bool()>& condition, std::chrono::seconds within = std::chrono::seconds(15))
    {
        auto end = clock.now() + within;
        while (!condition()) {
            REQUIRE(clock.now() < end);
            context.restart();
            context.run_for(milliseconds(20));
        }
    }

    replica_under_test* leader()
    {
        for (auto& one : replicas) {
            if (one->isRunning() && one->replica().leads())
                return one.get();
        }
        return nullptr;
    }

    std::size_t voters() { return leader() ? leader()->replica().voters() : 0; }

    /// Submits a document at a replica and waits until it is accepted.
    void submit(replica_under_test& at, std::uint64_t version, const std::string& body)
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
            at.replica().submit(document, [&](submit_result outcome) {
                waiting = false;
                accepted = !outcome.unavailable;
            });
            return accepted;
        });
    }

    boost::asio::io_context context { 1 };
    boottime_clock_source clock;
    std::vector<std::unique_ptr<replica_under_test>> replicas;
};
}

// Operators see: a change that was acknowledged is gone, and nothing is accepted any more.
// Order: a VM that founded the log loses its disk while a VM that didn't found it leads; the wiped VM asks the founders
// to let it in, none of which leads, and stays outside; two more disks are lost, and only two voters of five are left.
// Why: the question to join went to the addresses of the start only. A replica that doesn't lead now hands it on.
TEST_CASE("A wiped replica gets back in though the leader is none of those it knows")
{
    fleet_of_replicas fleet(5);
    fleet.runUntil([&] { return fleet.voters() == 5; });
    auto isFounder = [&](replica_under_test* one) { return one == fleet.replicas[0].get() || one == fleet.replicas[1].get() || one == fleet.replicas[2].get(); };
    std::uint64_t version = 0;
    while (isFounder(fleet.leader())) {
        auto* before = fleet.leader();
        before->stop();
        fleet.runUntil([&] { return fleet.leader() != nullptr; });
        before->start(false);
        fleet.submit(*before, ++version, "in touch again");
    }
    fleet.submit(*fleet.leader(), ++version, "the last");
    fleet.replicas[0]->stop();
    fleet.replicas[0]->wipe();
    fleet.replicas[0]->start(false);
    fleet.runUntil([&] { return fleet.voters() == 5 && fleet.replicas[0]->replica().isVoter(); }, std::chrono::seconds(4));
    CHECK(fleet.replicas[0]->replica().document().version() == version);
}

// Operators see: two logs, each with changes of its own, after the first start.
// Order: the three founders start one after the other, the last late; the others found the log without it.
// Why: each founder writes the same first entry from its settings alone, so the late one joins the log it would have founded.
TEST_CASE("Founders that start in any order found one log")
{
    fleet_of_replicas fleet(5);
    fleet.runUntil([&] { return fleet.voters() == 5; });
    fleet.submit(*fleet.replicas[4], 3, "three");
    fleet.runUntil([&] {
        for (auto& one : fleet.replicas) {
            if (one->replica().document().version() != 3)
                return false;
        }
        return true;
    });
    // An older document is acknowledged and changes nothing; so is another one of the same version.
    fleet.submit(*fleet.replicas[3], 2, "two");
    fleet.submit(*fleet.replicas[2], 3, "another three");
    CHECK(fleet.leader()->replica().document().body() == "three");
}
