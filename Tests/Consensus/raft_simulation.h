#pragma once
#include "consensus/consensus.h"
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch::test {

/// Runs several raft_cores deterministically from one seed while messages are lost, duplicated, delayed and reordered, disks are
/// slow, and replicas crash, are wiped, isolated and replaced. Checks the safety properties of Raft after every step.
class raft_simulation {
public:
    explicit raft_simulation(std::uint64_t seed);

    /// Runs the steps. Returns the first violated property, or an empty string.
    std::string run(int steps);
    /// Ends all faults, runs until the replicas have recovered and checks their state. Returns the first violated
    /// property, or an empty string.
    std::string recover();
    std::size_t acknowledged() const { return m_acknowledged.size(); }
    std::size_t leaders() const { return m_leaderOfTerm.size(); }
    std::size_t wipes() const { return m_wipes; }
    /// Writes that were under way when their replica crashed.
    std::size_t lostWrites() const { return m_lostWrites; }

private:
    struct disk {
        wire::hard_state hardState;
        wire::raft_snapshot snapshot;
        std::vector<wire::log_entry> entries;
    };
    /// A write that a node's disk has not completed.
    struct pending_write {
        raft_write write;
        /// The entries after the snapshot that the write contains, if it compacts the log.
        std::vector<wire::log_entry> remaining;
        log_position end;
        time_point due;
        std::vector<wire::raft_message> messages;
    };
    struct node {
        wire::replica_id id;
        disk stored;
        std::unique_ptr<raft_core> core;
        std::vector<std::string> applied;
        std::uint64_t appliedIndex = 0;
        std::deque<pending_write> writes;
        time_point diskFreeAt {};
        bool isolated = false;
        bool diskless = false;
    };
    struct in_flight_message {
        wire::raft_message message;
        time_point due;
    };

    void step();
    void processReady(node& replica);
    void process(node& replica, raft_ready ready);
    static void store(node& replica, const pending_write& pending);
    void push(node& replica, pending_write pending);
    void completeWrites(node& replica);
    void crash(node& replica);
    void loadApplied(node& replica, const wire::raft_snapshot& snapshot);
    void compact(node& replica);
    void sendAll(std::vector<wire::raft_message> messages);
    void apply(node& replica, const wire::log_entry& entry);
    void restart(node& replica);
    void wipe(node& replica);
    void deliver();
    void propose();
    void injectFault();
    void checkLeases();
    void fail(const std::string& description);
    std::size_t countCurrentVoters() const;
    std::uint64_t randomBelow(std::uint64_t bound) { return m_random() % bound; }

    std::mt19937_64 m_random;
    time_point m_now { std::chrono::hours(1) };
    std::vector<node> m_nodes;
    std::vector<in_flight_message> m_messages;
    std::map<std::uint64_t, replica_key> m_leaderOfTerm;
    std::map<std::uint64_t, std::string> m_committed;
    std::set<std::string> m_acknowledged;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> m_proposed;
    std::uint64_t m_lastCommand = 0;
    std::size_t m_wipes = 0;
    std::size_t m_lostWrites = 0;
    /// Sender and receiver VMs between which every message is lost.
    std::set<std::pair<std::string, std::string>> m_brokenLinks;
    bool m_injectsFaults = true;
    bool m_proposes = true;
    std::string m_failure;
};

} // namespace pistachiolatch::test
