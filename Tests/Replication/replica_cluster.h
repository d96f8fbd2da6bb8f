#pragma once
#include "replication/replication.h"
#include <boost/asio.hpp>
#include <memory>

namespace pistachiolatch::test {

/// One replica in this process, with its own network and folder.
class test_replica {
public:
    test_replica(boost::asio::io_context& context, const clock_source& clock, int number, std::vector<std::string> initialVoters);
    ~test_replica();
    test_replica(const test_replica&) = delete;
    test_replica& operator=(const test_replica&) = delete;

    void start(bool firstStart);
    void stop();
    /// Removes its files. Precondition: it is stopped.
    void wipe();

    document_replica& replica() { return *m_replica; }
    peer_network& network() { return *m_network; }
    bool isRunning() const { return m_replica != nullptr; }
    const std::string& address() const { return m_address; }
    /// How often its evacuations changed since it was started.
    int evacuationChanges() const { return m_evacuationChanges; }

private:
    boost::asio::io_context& m_context;
    const clock_source& m_clock;
    metrics m_metrics;
    std::string m_address;
    std::string m_folder;
    std::vector<std::string> m_initialVoters;
    int m_evacuationChanges = 0;
    std::unique_ptr<peer_network> m_network;
    std::unique_ptr<document_replica> m_replica;
};

/// Replicas that run in one thread; the first three create the log.
class replica_cluster {
public:
    explicit replica_cluster(int count);

    /// Runs the replicas until the condition holds; fails after the timeout.
    void runUntil(const std::function<bool()>& condition, std::chrono::seconds timeout = std::chrono::seconds(15));
    /// The leader, or null if there is none.
    test_replica* leader();
    /// Number of voters that the leader knows; 0 without a leader.
    std::size_t voters() { return leader() ? leader()->replica().voters() : 0; }
    /// Submits again until it is accepted. The function reports each outcome through the callback that it receives.
    void retryUntilAccepted(const std::function<void(std::function<void(bool accepted)>)>& submit);
    /// Submits a document at a replica and waits until it is accepted.
    void submit(test_replica& replica, std::uint64_t version, const std::string& body);
    /// Orders or withdraws an evacuation at a replica, again until it is accepted.
    void evacuate(test_replica& replica, const std::string& dataCentre, bool evacuated);

    boost::asio::io_context context { 1 };
    boottime_clock_source clock;
    std::vector<std::unique_ptr<test_replica>> replicas;
};

} // namespace pistachiolatch::test
