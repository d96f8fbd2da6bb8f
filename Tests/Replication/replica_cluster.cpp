#include "Replication/replica_cluster.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <unistd.h>

namespace pistachiolatch::test {

namespace {
    constexpr int firstPort = 23610;
}

test_replica::test_replica(boost::asio::io_context& context, const clock_source& clock, int number, std::vector<std::string> initialVoters)
    : m_context(context)
    , m_clock(clock)
    , m_address(fmt::format("127.0.5.{}:{}", number, firstPort))
    , m_folder(fmt::format("{}/replica-{}-{}", std::filesystem::temp_directory_path().string(), ::getpid(), number))
    , m_initialVoters(std::move(initialVoters))
{
    wipe();
}

test_replica::~test_replica()
{
    stop();
    std::filesystem::remove_all(m_folder);
}

void test_replica::start(bool firstStart)
{
    m_evacuationChanges = 0;
    m_network = std::make_unique<peer_network>(m_context, m_clock, m_metrics);
    m_network->onMessage([this](const wire::envelope& message, const peer_network::peer& from) { m_replica->onMessage(message, from); });
    replica_events events;
    events.documentChanged = [] {};
    events.evacuationsChanged = [this] { ++m_evacuationChanges; };
    events.leadershipChanged = [](bool) {};
    m_replica = std::make_unique<document_replica>(m_context, *m_network, m_clock, m_metrics, replica_settings { m_folder, { m_address, m_initialVoters, firstStart } }, std::move(events));
    m_replica->addPeers(m_initialVoters);
    REQUIRE(m_network->listen(m_address));
    m_network->start();
    m_replica->start();
    REQUIRE(m_replica->hasStorage());
}

void test_replica::stop()
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

void test_replica::wipe()
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
}

replica_cluster::replica_cluster(int count)
{
    std::vector<std::string> initialVoters;
    for (int i = 1; i <= 3; ++i)
        initialVoters.push_back(fmt::format("127.0.5.{}:{}", i, firstPort));
    for (int i = 1; i <= count; ++i)
        replicas.push_back(std::make_unique<test_replica>(context, clock, i, initialVoters));
    for (auto& one : replicas)
        one->start(true);
}

void replica_cluster::runUntil(const std::function<bool()>& condition, std::chrono::seconds timeout)
{
    auto end = clock.now() + timeout;
    while (!condition()) {
        REQUIRE(clock.now() < end);
        context.restart();
        context.run_for(milliseconds(20));
    }
}

test_replica* replica_cluster::leader()
{
    for (auto& one : replicas) {
        if (one->isRunning() && one->replica().isLeader())
            return one.get();
    }
    return nullptr;
}

void replica_cluster::retryUntilAccepted(const std::function<void(std::function<void(bool)>)>& submit)
{
    bool accepted = false;
    bool waiting = false;
    runUntil([&] {
        if (accepted || waiting)
            return accepted;
        waiting = true;
        submit([&](bool outcome) {
            waiting = false;
            accepted = outcome;
        });
        return accepted;
    });
}

void replica_cluster::submit(test_replica& replica, std::uint64_t version, const std::string& body)
{
    wire::document document;
    document.set_version(version);
    document.set_body(body);
    retryUntilAccepted([&](auto complete) { replica.replica().submit(document, [complete](submit_result outcome) { complete(!outcome.unavailable); }); });
}

void replica_cluster::evacuate(test_replica& replica, const std::string& dataCentre, bool evacuated)
{
    retryUntilAccepted([&](auto complete) {
        replica.replica().submitEvacuation(dataCentre, evacuated, [complete](wire::evacuation_result outcome) { complete(outcome == wire::EVACUATION_ACCEPTED); });
    });
}

} // namespace pistachiolatch::test
