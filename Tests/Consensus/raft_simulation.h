#pragma once
#include "consensus/consensus.h"
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch::test {

/// Drives several raft_cores with messages that are lost, doubled, delayed and reordered, replicas that crash, are
/// wiped, cut off and replaced, all from one seed, and checks after every step what must always hold.
class raft_simulation {
public:
    explicit raft_simulation(std::uint64_t seed);

    /// Runs that many steps. Returns the first promise that was broken, or an empty text.
    std::string run(int steps);
    /// Ends all faults, lets time pass, and returns what then still fails to come about.
    std::string heal();
    std::size_t acknowledged() const { return m_acknowledged.size(); }
    std::size_t leaders() const { return m_leaderOfTerm.size(); }
    std::size_t wipes() const { return m_wipes; }

private:
    struct disk {
        wire::hard_state hardState;
        wire::raft_snapshot snapshot;
        std::vector<wire::log_entry> entries;
    };
    struct node {
        wire::replica_id id;
        disk stored;
        std::unique_ptr<raft_core> core;
        std::vector<std::string> applied;
        std::uint64_t appliedIndex = 0;
        bool cut = false;
        bool diskless = false;
    };
    struct in_flight {
        wire::raft_message message;
        time_point due;
    };

    void step();
    void drain(node& one);
    void persist(node& one, const raft_ready& ready);
    void apply(node& one, const wire::log_entry& entry);
    void restart(node& one);
    void wipe(node& one);
    void deliver();
    void propose();
    void randomFault();
    void checkLeases();
    void fail(const std::string& problem);
    std::size_t repairedVoters() const;
    std::uint64_t pick(std::uint64_t bound) { return m_random() % bound; }

    std::mt19937_64 m_random;
    time_point m_now { std::chrono::hours(1) };
    std::vector<node> m_nodes;
    std::vector<in_flight> m_wire;
    std::map<std::uint64_t, replica_key> m_leaderOfTerm;
    std::map<std::uint64_t, std::string> m_committed;
    std::set<std::string> m_acknowledged;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> m_proposed;
    std::uint64_t m_lastCommand = 0;
    std::size_t m_wipes = 0;
    /// Directions between two VMs that lose everything.
    std::set<std::pair<std::string, std::string>> m_cutLinks;
    bool m_faults = true;
    bool m_proposing = true;
    std::string m_problem;
};

} // namespace pistachiolatch::test
