#pragma once
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Chooses which control process to ask for the leader. Each round asks every known process once; a process that names
/// another as the leader moves that one to the front of the round. Load pattern: a former leader and a follower behind the
/// same partition keep naming each other, so hints alone would never lead to the processes on the other side.
/// Pure; not thread-safe.
class leader_search {
public:
    /// Adds addresses of control processes.
    void addControls(const std::vector<std::string>& addresses);
    /// Starts a new round, after a leader was found or lost.
    void restart();
    /// Records that a process is not the leader, and the leader that it names; empty if it knows none. Returns whether the
    /// named process has not been asked in this round, so that next() returns it.
    bool onNotLeader(const std::string& asked, const std::string& named);
    /// The process to ask next; empty if none is known.
    std::string next();
    std::size_t size() const { return m_controls.size(); }
    const std::set<std::string>& controls() const { return m_controls; }

private:
    std::set<std::string> m_controls;
    std::set<std::string> m_asked;
    std::string m_named;
    std::string m_last;
};

} // namespace pistachiolatch
