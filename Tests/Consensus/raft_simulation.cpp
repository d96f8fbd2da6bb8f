#include "Consensus/raft_simulation.h"

#include <algorithm>

namespace pistachiolatch::test {

namespace {
    constexpr std::size_t nodeCount = 5;
    constexpr milliseconds stepLength { 10 };
    constexpr std::uint64_t snapshotAfter = 20;
}

raft_simulation::raft_simulation(std::uint64_t seed)
    : m_random(seed)
{
    m_nodes.resize(nodeCount);
    for (std::size_t i = 0; i < nodeCount; ++i) {
        m_nodes[i].id.set_vm("vm" + std::to_string(i + 1));
        m_nodes[i].id.set_incarnation(1);
        m_nodes[i].diskless = i >= 3;
        restart(m_nodes[i]);
    }
    m_nodes[0].core->bootstrap();
    drain(m_nodes[0]);
}

void raft_simulation::fail(const std::string& problem)
{
    if (m_problem.empty())
        m_problem = problem;
}

void raft_simulation::restart(node& one)
{
    raft_settings settings;
    // Small enough for most snapshots to go in several.
    settings.snapshotPieceBytes = 512;
    one.core = std::make_unique<raft_core>(one.id, settings, m_random(), raft_persistent_state { one.stored.hardState, one.stored.snapshot, one.stored.entries }, m_now);
    one.applied.clear();
    one.appliedIndex = one.stored.snapshot.index();
    std::string state = one.stored.snapshot.state();
    for (std::size_t begin = 0; begin < state.size();) {
        auto end = state.find('\n', begin);
        one.applied.push_back(state.substr(begin, end - begin));
        begin = end + 1;
    }
}

void raft_simulation::wipe(node& one)
{
    // A wiped replica comes back under a new incarnation, as a diskless one does at every start.
    one.stored = {};
    one.id.set_incarnation(one.id.incarnation() + 1);
    ++m_wipes;
    restart(one);
}

void raft_simulation::persist(node& one, const raft_ready& ready)
{
    if (ready.hardState)
        one.stored.hardState = *ready.hardState;
    if (ready.snapshot) {
        one.stored.snapshot = *ready.snapshot;
        one.stored.entries.clear();
    }
    for (const auto& entry : ready.append) {
        auto& entries = one.stored.entries;
        while (!entries.empty() && entries.back().index() >= entry.index())
            entries.pop_back();
        entries.push_back(entry);
    }
}

void raft_simulation::apply(node& one, const wire::log_entry& entry)
{
    if (entry.index() != one.appliedIndex + 1)
        fail("an entry was applied out of order");
    one.appliedIndex = entry.index();
    auto content = std::to_string(entry.term()) + "/" + entry.data();
    auto known = m_committed.emplace(entry.index(), content).first;
    if (known->second != content)
        fail("two replicas applied different entries at index " + std::to_string(entry.index()));
    if (entry.kind() == wire::ENTRY_COMMAND)
        one.applied.push_back(entry.data());
    auto proposed = m_proposed.find({ entry.index(), entry.term() });
    if (proposed != m_proposed.end() && one.core->role() == raft_role::Leader)
        m_acknowledged.insert(proposed->second);
}

void raft_simulation::drain(node& one)
{
    for (int round = 0; round < 4; ++round) {
        auto ready = one.core->takeReady();
        persist(one, ready);
        if (ready.snapshot) {
            auto core = std::move(one.core);
            restart(one);
            one.core = std::move(core);
        }
        for (auto& message : ready.messages)
            m_wire.push_back({ std::move(message), m_now + stepLength * pick(6) });
        for (const auto& entry : ready.committed)
            apply(one, entry);
    }
    if (one.core->role() == raft_role::Leader) {
        auto known = m_leaderOfTerm.emplace(one.core->term(), keyOf(one.id)).first;
        if (known->second != keyOf(one.id))
            fail("term " + std::to_string(one.core->term()) + " has two leaders");
    }
    if (one.appliedIndex < one.core->log().baseIndex() + snapshotAfter)
        return;
    std::string state;
    for (const auto& command : one.applied)
        state += command + "\n";
    one.core->compact(one.appliedIndex, state);
    one.stored.snapshot = one.core->snapshot();
    std::erase_if(one.stored.entries, [&](const auto& entry) { return entry.index() <= one.appliedIndex; });
}

void raft_simulation::deliver()
{
    std::vector<in_flight> due;
    std::erase_if(m_wire, [&](in_flight& one) {
        if (one.due > m_now)
            return false;
        due.push_back(std::move(one));
        return true;
    });
    std::shuffle(due.begin(), due.end(), m_random);
    for (auto& one : due) {
        if (m_faults && pick(100) < 5)
            continue;
        if (m_faults && pick(100) < 3)
            m_wire.push_back({ one.message, m_now + stepLength * pick(50) });
        auto cut = [&](const wire::replica_id& id) {
            auto found = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& node) { return node.id.vm() == id.vm(); });
            return found->cut;
        };
        if (cut(one.message.from()) || cut(one.message.to()) || m_cutLinks.count({ one.message.from().vm(), one.message.to().vm() }))
            continue;
        for (auto& node : m_nodes) {
            if (node.id.vm() != one.message.to().vm())
                continue;
            node.core->step(one.message, m_now);
            drain(node);
        }
    }
}

void raft_simulation::propose()
{
    for (auto& node : m_nodes) {
        if (node.core->role() != raft_role::Leader)
            continue;
        auto command = "c" + std::to_string(++m_lastCommand);
        if (auto position = node.core->propose(command))
            m_proposed[{ position->index, position->term }] = command;
        drain(node);
    }
}

std::size_t raft_simulation::repairedVoters() const
{
    // What an operator goes by: the leader says that a VM's present replica is a voter.
    std::set<replica_key> voters;
    for (const auto& node : m_nodes) {
        if (!node.core->leaseValid(m_now))
            continue;
        for (const auto& voter : node.core->members().voters())
            voters.insert(keyOf(voter));
    }
    return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto& node) { return voters.count(keyOf(node.id)) > 0; }));
}

void raft_simulation::randomFault()
{
    auto& victim = m_nodes[pick(nodeCount)];
    switch (pick(6)) {
    case 0:
        // A crash: a replica with a disk keeps what was synced; one without is wiped by it.
        if (!victim.diskless)
            restart(victim);
        break;
    case 1:
        // What five replicas promise to survive: one is lost at a time, the next right after the repair.
        if (repairedVoters() == nodeCount)
            wipe(victim);
        break;
    case 2:
        victim.cut = true;
        break;
    case 3:
    case 4: {
        // A link between two VMs, in one direction or both: a replica that does not hear the leader but reaches the others.
        const auto& other = m_nodes[pick(nodeCount)];
        m_cutLinks.insert({ other.id.vm(), victim.id.vm() });
        if (pick(2) == 0)
            m_cutLinks.insert({ victim.id.vm(), other.id.vm() });
        break;
    }
    default:
        for (auto& node : m_nodes)
            node.cut = false;
        m_cutLinks.clear();
        break;
    }
}

void raft_simulation::checkLeases()
{
    // A leader that holds a lease must be the newest: nobody else may have been elected yet.
    std::uint64_t newest = m_leaderOfTerm.empty() ? 0 : m_leaderOfTerm.rbegin()->first;
    for (const auto& node : m_nodes) {
        if (node.core->leaseValid(m_now) && node.core->term() < newest)
            fail("a leader of term " + std::to_string(node.core->term()) + " holds a lease while term " + std::to_string(newest) + " has a leader");
    }
}

void raft_simulation::step()
{
    m_now += stepLength;
    for (auto& node : m_nodes) {
        node.core->tick(m_now);
        if (node.core->shouldRequestJoin() && pick(10) == 0) {
            for (auto& other : m_nodes) {
                if (!node.cut && !other.cut)
                    other.core->handleJoinRequest(node.id, m_now);
            }
        }
        drain(node);
    }
    deliver();
    if (m_proposing && pick(8) == 0)
        propose();
    if (m_faults && pick(120) == 0)
        randomFault();
    checkLeases();
}

std::string raft_simulation::run(int steps)
{
    for (int i = 0; i < steps && m_problem.empty(); ++i)
        step();
    return m_problem;
}

std::string raft_simulation::heal()
{
    m_faults = false;
    for (auto& node : m_nodes)
        node.cut = false;
    m_cutLinks.clear();
    constexpr int healSteps = 1500;
    run(healSteps);
    // What was proposed last still travels; nothing new comes behind it.
    m_proposing = false;
    run(healSteps / 10);
    for (const auto& node : m_nodes) {
        std::set<std::string> applied(node.applied.begin(), node.applied.end());
        for (const auto& command : m_acknowledged) {
            if (!applied.count(command))
                fail("the acknowledged command " + command + " is missing at " + node.id.vm());
        }
        if (applied.size() != node.applied.size())
            fail("a command was applied twice at " + node.id.vm());
    }
    if (m_nodes[0].core->members().voters_size() != static_cast<int>(nodeCount))
        fail("not every VM became a voter again");
    return m_problem;
}

} // namespace pistachiolatch::test
