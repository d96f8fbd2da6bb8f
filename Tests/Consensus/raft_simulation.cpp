#include "Consensus/raft_simulation.h"

#include <algorithm>

namespace pistachiolatch::test {

namespace {
    constexpr std::size_t nodeCount = 5;
    constexpr milliseconds stepLength { 10 };
    constexpr std::uint64_t snapshotInterval = 20;
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
    processReady(m_nodes[0]);
    // A first replica that crashes before it has stored the log has to be bootstrapped again.
    m_nodes[0].writes.front().due = m_now;
    m_nodes[0].diskFreeAt = m_now;
    processReady(m_nodes[0]);
}

void raft_simulation::fail(const std::string& description)
{
    if (m_failure.empty())
        m_failure = description;
}

void raft_simulation::restart(node& replica)
{
    raft_settings settings;
    // Small enough that most snapshots are sent in several pieces.
    settings.snapshotPieceBytes = 512;
    replica.core = std::make_unique<raft_core>(replica.id, settings, m_random(), raft_persistent_state { replica.stored.hardState, replica.stored.snapshot, replica.stored.entries }, m_now);
    loadApplied(replica, replica.stored.snapshot);
}

void raft_simulation::loadApplied(node& replica, const wire::raft_snapshot& snapshot)
{
    replica.applied.clear();
    replica.appliedIndex = snapshot.index();
    const auto& state = snapshot.state();
    for (std::size_t begin = 0; begin < state.size();) {
        auto end = state.find('\n', begin);
        replica.applied.push_back(state.substr(begin, end - begin));
        begin = end + 1;
    }
}

void raft_simulation::wipe(node& replica)
{
    // A wiped replica returns with a new incarnation, as a diskless replica does at every start.
    replica.stored = {};
    replica.writes.clear();
    replica.diskFreeAt = m_now;
    replica.id.set_incarnation(replica.id.incarnation() + 1);
    ++m_wipes;
    restart(replica);
}

void raft_simulation::crash(node& replica)
{
    // The disk may have completed some of the writes, but nothing that they promise was sent.
    auto completed = randomBelow(replica.writes.size() + 1);
    for (std::size_t i = 0; i < completed; ++i)
        store(replica, replica.writes[i]);
    if (completed < replica.writes.size()) {
        auto torn = replica.writes[completed];
        torn.write.append.resize(randomBelow(torn.write.append.size() + 1));
        store(replica, torn);
    }
    m_lostWrites += replica.writes.size() - completed;
    replica.writes.clear();
    restart(replica);
}

void raft_simulation::store(node& replica, const pending_write& pending)
{
    const auto& write = pending.write;
    if (write.hardState)
        replica.stored.hardState = *write.hardState;
    if (write.snapshot) {
        replica.stored.snapshot = *write.snapshot;
        replica.stored.entries = pending.remaining;
    }
    for (const auto& entry : write.append) {
        auto& entries = replica.stored.entries;
        while (!entries.empty() && entries.back().index() >= entry.index())
            entries.pop_back();
        entries.push_back(entry);
    }
}

void raft_simulation::push(node& replica, pending_write pending)
{
    // Mostly faster than a heartbeat; now and then longer than an election takes.
    auto steps = m_injectsFaults && randomBelow(40) == 0 ? randomBelow(150) : randomBelow(4);
    replica.diskFreeAt = std::max(replica.diskFreeAt, m_now) + stepLength * steps;
    pending.due = replica.diskFreeAt;
    replica.writes.push_back(std::move(pending));
}

void raft_simulation::completeWrites(node& replica)
{
    while (!replica.writes.empty() && replica.writes.front().due <= m_now) {
        auto done = std::move(replica.writes.front());
        replica.writes.pop_front();
        store(replica, done);
        replica.core->recordStored(done.write.hardState, done.end, m_now);
        sendAll(std::move(done.messages));
    }
}

void raft_simulation::sendAll(std::vector<wire::raft_message> messages)
{
    for (auto& message : messages)
        m_messages.push_back({ std::move(message), m_now + stepLength * randomBelow(6) });
}

void raft_simulation::apply(node& replica, const wire::log_entry& entry)
{
    if (entry.index() != replica.appliedIndex + 1)
        fail("an entry was applied out of order");
    replica.appliedIndex = entry.index();
    auto content = std::to_string(entry.term()) + "/" + entry.data();
    auto known = m_committed.emplace(entry.index(), content).first;
    if (known->second != content)
        fail("two replicas applied different entries at index " + std::to_string(entry.index()));
    if (entry.kind() == wire::ENTRY_COMMAND)
        replica.applied.push_back(entry.data());
    auto proposed = m_proposed.find({ entry.index(), entry.term() });
    if (proposed != m_proposed.end() && replica.core->role() == raft_role::Leader)
        m_acknowledged.insert(proposed->second);
}

void raft_simulation::processReady(node& replica)
{
    for (int round = 0; round < 4; ++round) {
        completeWrites(replica);
        process(replica, replica.core->takeReady(replica.writes.empty()));
    }
    if (replica.core->role() == raft_role::Leader) {
        auto known = m_leaderOfTerm.emplace(replica.core->term(), keyOf(replica.id)).first;
        if (known->second != keyOf(replica.id))
            fail("term " + std::to_string(replica.core->term()) + " has two leaders");
    }
    if (replica.appliedIndex >= replica.core->log().baseIndex() + snapshotInterval)
        compact(replica);
}

void raft_simulation::process(node& replica, raft_ready ready)
{
    if (ready.write.snapshot)
        loadApplied(replica, *ready.write.snapshot);
    if (auto end = ready.write.end(); !ready.write.isEmpty())
        push(replica, { std::move(ready.write), {}, end, {}, {} });
    sendAll(std::move(ready.messages));
    if (replica.writes.empty())
        sendAll(std::move(ready.messagesAfterWrite));
    else
        std::move(ready.messagesAfterWrite.begin(), ready.messagesAfterWrite.end(), std::back_inserter(replica.writes.back().messages));
    for (const auto& entry : ready.committed)
        apply(replica, entry);
}

void raft_simulation::compact(node& replica)
{
    process(replica, replica.core->takeReady());
    std::string state;
    for (const auto& command : replica.applied)
        state += command + "\n";
    if (!replica.core->compact(replica.appliedIndex, state))
        return;
    const auto& log = replica.core->log();
    pending_write pending;
    pending.write.snapshot = replica.core->snapshot();
    pending.end = { log.lastIndex(), log.termAt(log.lastIndex()) };
    for (auto i = log.firstIndex(); i <= log.lastIndex(); ++i)
        pending.remaining.push_back(log.at(i));
    push(replica, std::move(pending));
}

void raft_simulation::deliver()
{
    std::vector<in_flight_message> due;
    std::erase_if(m_messages, [&](in_flight_message& pending) {
        if (pending.due > m_now)
            return false;
        due.push_back(std::move(pending));
        return true;
    });
    std::shuffle(due.begin(), due.end(), m_random);
    for (auto& delivery : due) {
        if (m_injectsFaults && randomBelow(100) < 5)
            continue;
        if (m_injectsFaults && randomBelow(100) < 3)
            m_messages.push_back({ delivery.message, m_now + stepLength * randomBelow(50) });
        auto isolated = [&](const wire::replica_id& id) {
            auto found = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& node) { return node.id.vm() == id.vm(); });
            return found->isolated;
        };
        if (isolated(delivery.message.from()) || isolated(delivery.message.to()) || m_brokenLinks.count({ delivery.message.from().vm(), delivery.message.to().vm() }))
            continue;
        for (auto& node : m_nodes) {
            if (node.id.vm() != delivery.message.to().vm())
                continue;
            node.core->step(delivery.message, m_now);
            processReady(node);
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
        processReady(node);
    }
}

std::size_t raft_simulation::countCurrentVoters() const
{
    // Counts the VMs whose current replica is a voter according to the leader, which is what operators see.
    std::set<replica_key> voters;
    for (const auto& node : m_nodes) {
        if (!node.core->leaseValid(m_now))
            continue;
        for (const auto& voter : node.core->members().voters())
            voters.insert(keyOf(voter));
    }
    return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto& node) { return voters.count(keyOf(node.id)) > 0; }));
}

void raft_simulation::injectFault()
{
    auto& victim = m_nodes[randomBelow(nodeCount)];
    switch (randomBelow(7)) {
    case 0:
        // A crash. Replicas with a disk keep what they synced; those without one can only be wiped (next case).
        if (!victim.diskless)
            crash(victim);
        break;
    case 1:
        // Five replicas must survive the loss of one at a time, the next one right after the previous one is replaced.
        if (countCurrentVoters() == nodeCount)
            wipe(victim);
        break;
    case 2:
        victim.isolated = true;
        break;
    case 3:
    case 4: {
        // A link fails in one or both directions, for example a replica loses the leader but still reaches the others.
        const auto& other = m_nodes[randomBelow(nodeCount)];
        m_brokenLinks.insert({ other.id.vm(), victim.id.vm() });
        if (randomBelow(2) == 0)
            m_brokenLinks.insert({ victim.id.vm(), other.id.vm() });
        break;
    }
    case 5:
        // A power failure. All that was promised before must be on the disks.
        for (auto& node : m_nodes) {
            if (!node.diskless)
                crash(node);
        }
        break;
    default:
        for (auto& node : m_nodes)
            node.isolated = false;
        m_brokenLinks.clear();
        break;
    }
}

void raft_simulation::checkLeases()
{
    // No newer leader may have been elected while a leader has a valid lease.
    std::uint64_t newest = m_leaderOfTerm.empty() ? 0 : m_leaderOfTerm.rbegin()->first;
    for (const auto& node : m_nodes) {
        if (node.core->leaseValid(m_now) && node.core->term() < newest)
            fail("a leader of term " + std::to_string(node.core->term()) + " has a valid lease while term " + std::to_string(newest) + " has a leader");
    }
}

void raft_simulation::step()
{
    m_now += stepLength;
    for (auto& node : m_nodes) {
        node.core->tick(m_now);
        if (node.core->shouldRequestJoin() && randomBelow(10) == 0) {
            for (auto& other : m_nodes) {
                if (!node.isolated && !other.isolated)
                    other.core->handleJoinRequest(node.id, m_now);
            }
        }
        processReady(node);
    }
    deliver();
    if (m_proposes && randomBelow(8) == 0)
        propose();
    if (m_injectsFaults && randomBelow(120) == 0)
        injectFault();
    checkLeases();
}

std::string raft_simulation::run(int steps)
{
    for (int i = 0; i < steps && m_failure.empty(); ++i)
        step();
    return m_failure;
}

std::string raft_simulation::recover()
{
    m_injectsFaults = false;
    for (auto& node : m_nodes)
        node.isolated = false;
    m_brokenLinks.clear();
    constexpr int recoverySteps = 1500;
    run(recoverySteps);
    // Stop proposing and let the last proposals reach every replica.
    m_proposes = false;
    run(recoverySteps / 10);
    for (const auto& node : m_nodes) {
        std::set<std::string> applied(node.applied.begin(), node.applied.end());
        for (const auto& command : m_acknowledged) {
            if (!applied.count(command))
                fail("acknowledged command " + command + " is missing on " + node.id.vm());
        }
        if (applied.size() != node.applied.size())
            fail("a command was applied twice on " + node.id.vm());
    }
    if (m_nodes[0].core->members().voters_size() != static_cast<int>(nodeCount))
        fail("not every VM has become a voter again");
    return m_failure;
}

} // namespace pistachiolatch::test
