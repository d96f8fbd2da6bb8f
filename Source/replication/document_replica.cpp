#include "replication/document_replica.h"

#include <cstdlib>

namespace pistachiolatch {

namespace {
    constexpr milliseconds joinInterval { 300 };
    /// 10 Mbit/s. The timeout is extended by the transfer time, since otherwise a follower could never forward a large
    /// document.
    constexpr std::size_t bytesPerMillisecond = 1250;
    milliseconds transferTime(const wire::document& document)
    {
        return milliseconds(document.body().size() / bytesPerMillisecond);
    }
    /// The log is compacted when it exceeds these limits beyond the snapshot, to bound disk usage and startup time.
    constexpr std::uint64_t maxLogBytes = 4UL * 1024 * 1024;
    constexpr std::uint64_t maxLogEntries = 400;
}

raft_settings document_replica::raftSettings()
{
    // An election takes about half a second, during which no leader plans calls or owns the limits. Network delay and disk
    // syncs take a few milliseconds, so the shortest election timeout covers seven heartbeats.
    raft_settings settings;
    settings.heartbeatInterval = milliseconds(40);
    settings.minElectionTimeout = milliseconds(300);
    settings.maxElectionTimeout = milliseconds(550);
    return settings;
}

document_replica::document_replica(boost::asio::io_context& context, peer_network& network, const clock_source& clock, metrics& counters,
    replica_settings settings, replica_events events)
    : m_network(network)
    , m_clock(clock)
    , m_metrics(counters)
    , m_executor(context.get_executor())
    , m_events(std::move(events))
    , m_settings(std::move(settings))
    , m_storageUnusableSince(clock.now())
    , m_storageTimer(context)
    , m_timer(context)
    , m_documentSince(clock.now())
{
    m_self.set_vm(vmOfAddress(m_settings.bootstrap.ownAddress));
    m_self.set_address(m_settings.bootstrap.ownAddress);
}

void document_replica::start()
{
    openStorage();
}

void document_replica::stop()
{
    m_stopped = true;
    m_storageUsable = false;
    m_timer.cancel();
    m_storageTimer.cancel();
}

raft_callbacks document_replica::effects()
{
    raft_callbacks effects;
    effects.send = [this](const wire::raft_message& message) {
        wire::envelope envelope;
        *envelope.mutable_raft() = message;
        envelope.mutable_raft()->set_supports_evacuations(true);
        m_network.send(message.to().address(), std::move(envelope));
    };
    effects.apply = [this](const wire::log_entry& entry) { apply(entry); };
    effects.restore = [this](const wire::raft_snapshot& snapshot) {
        loadSnapshot(snapshot);
        logEvent("snapshot_installed", { { "index", snapshot.index() }, { "version", m_document.version() }, { "evacuation_revision", m_evacuations.revision() } });
        m_events.documentChanged();
        m_events.evacuationsChanged();
    };
    effects.completeRead = [this](std::uint64_t id, bool done) {
        auto found = m_reads.find(id);
        if (found == m_reads.end())
            return;
        auto handler = std::move(found->second);
        m_reads.erase(found);
        handler(done ? &m_document : nullptr);
    };
    effects.writeCompleted = [this, executor = m_executor, alive = std::weak_ptr(m_alive)] {
        boost::asio::post(executor, [this, alive] {
            if (alive.lock())
                processEffects();
        });
    };
    effects.slowWrite = [](duration took) { logEvent("storage_slow", { { "ms", std::chrono::duration_cast<milliseconds>(took).count() } }); };
    return effects;
}

void document_replica::loadSnapshot(const wire::raft_snapshot& snapshot)
{
    m_applied = snapshot.index();
    if (snapshot.index() == 0)
        return;
    // The snapshot's checksum was verified, so undecodable content is a broken invariant.
    wire::replicated_state state;
    if (!state.ParseFromString(snapshot.state()))
        std::abort();
    // Files that are reopened may hold an older state than this process has already published.
    m_evacuations.load(state.evacuations());
    if (state.version() <= m_document.version())
        return;
    m_document.set_version(state.version());
    m_document.set_body(std::move(*state.mutable_body()));
    m_documentSince = m_clock.now();
}

void document_replica::apply(const wire::log_entry& entry)
{
    m_applied = entry.index();
    m_bytesSinceSnapshot += entry.data().size();
    if (entry.kind() == wire::ENTRY_MEMBERSHIP) {
        wire::replica_set members;
        members.ParseFromString(entry.data());
        logEvent("membership_committed", { { "index", entry.index() }, { "term", entry.term() }, { "voters", members.voters_size() } });
    }
    if (entry.kind() == wire::ENTRY_COMMAND) {
        wire::command command;
        // Only this program writes commands, so an undecodable one is a broken invariant.
        if (!command.ParseFromString(entry.data()))
            std::abort();
        if (command.has_document())
            setDocument(std::move(*command.mutable_document()));
        else if (command.has_evacuate())
            applyEvacuation(command.evacuate());
        else
            logEvent("command_unknown", { { "index", entry.index() }, { "term", entry.term() } });
    }
    auto found = m_pending.find(entry.index());
    if (found == m_pending.end())
        return;
    auto pending = std::move(found->second);
    m_pending.erase(found);
    // If another leader's entry was committed at this index, the command may still be committed from another replica's copy.
    pending.handler(pending.term != entry.term());
}

void document_replica::setDocument(wire::document document)
{
    if (document.version() <= m_document.version())
        return;
    logEvent("document_committed", { { "version", document.version() }, { "before", m_document.version() }, { "bytes", document.body().size() }, { "index", m_applied } });
    m_document = std::move(document);
    m_documentSince = m_clock.now();
    m_events.documentChanged();
}

milliseconds document_replica::documentAge() const
{
    return std::chrono::duration_cast<milliseconds>(m_clock.now() - m_documentSince);
}

bool document_replica::isLeader() const
{
    return m_storageUsable && core().hasCommittedInTerm() && core().leaseValid(m_clock.now());
}

std::string document_replica::leaderAddress() const
{
    if (m_storageUsable) {
        const auto& leader = core().leader();
        return leader ? leader->address() : std::string();
    }
    bool isRecent = m_clock.now() - m_observedLeader.at < raftSettings().maxElectionTimeout;
    return isRecent ? m_observedLeader.address : std::string();
}

std::optional<milliseconds> document_replica::confirmedAge() const
{
    if (!m_storageUsable)
        return std::nullopt;
    auto now = m_clock.now();
    auto at = core().leadershipConfirmedAt(now);
    if (!at)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(now - *at);
}

void document_replica::addPeers(const std::vector<std::string>& addresses)
{
    for (const auto& address : addresses) {
        if (address != m_self.address())
            m_peers.insert(address);
    }
}

std::vector<std::string> document_replica::peers() const
{
    auto all = m_peers;
    if (!m_host)
        return { all.begin(), all.end() };
    for (const auto& voter : core().members().voters()) {
        if (voter.address() != m_self.address())
            all.insert(voter.address());
    }
    return { all.begin(), all.end() };
}

std::vector<std::string> document_replica::otherVoters() const
{
    std::vector<std::string> others;
    if (!m_storageUsable)
        return others;
    for (const auto& voter : core().members().voters()) {
        if (voter.address() != m_self.address())
            others.push_back(voter.address());
    }
    return others;
}

bool document_replica::onMessage(const wire::envelope& message, const peer_network::peer& from)
{
    switch (message.body_case()) {
    case wire::envelope::kRaft:
        if (!m_storageUsable) {
            recordLeader(message.raft());
            return true;
        }
        recordSupport(message.raft());
        core().step(message.raft(), m_clock.now());
        processEffects();
        return true;
    case wire::envelope::kJoin:
        addPeers({ message.join().replica().address() });
        onJoin(message.join().replica());
        return true;
    case wire::envelope::kDocumentSubmit:
        propose(message.document_submit().document(), [from, message](submit_result outcome) {
            wire::envelope reply;
            reply.mutable_document_submit_reply()->set_unavailable(outcome.unavailable);
            reply.mutable_document_submit_reply()->set_held_version(outcome.currentVersion);
            peer_network::reply(from, message, std::move(reply));
        });
        return true;
    case wire::envelope::kEvacuationSubmit:
        proposeEvacuation(message.evacuation_submit().order(), [from, message](wire::evacuation_result outcome) {
            wire::envelope reply;
            reply.mutable_evacuation_submit_reply()->set_result(outcome);
            peer_network::reply(from, message, std::move(reply));
        });
        return true;
    case wire::envelope::kDocumentRead:
        readLocally([from, message](const wire::document* newest) {
            wire::envelope reply;
            auto& answer = *reply.mutable_document_read_reply();
            answer.set_unavailable(!newest);
            // A reader that holds the newest document needs no copy; transferring a large one could exceed the timeout.
            answer.set_held_is_newest(newest && newest->version() == message.document_read().held_version());
            if (newest && !answer.held_is_newest())
                *answer.mutable_document() = *newest;
            peer_network::reply(from, message, std::move(reply));
        });
        return true;
    default:
        return false;
    }
}

void document_replica::onJoin(const wire::replica_id& replica)
{
    // A replica that lost its disk knows only its initial addresses, and the leader may be at none of them. If the request
    // were not forwarded, it could never rejoin, and the next lost disk would cost the quorum.
    auto leader = leaderAddress();
    bool isLeaderHere = m_storageUsable && core().role() == raft_role::Leader;
    if (!isLeaderHere && !leader.empty() && leader != m_self.address() && leader != replica.address()) {
        wire::envelope message;
        *message.mutable_join()->mutable_replica() = replica;
        m_network.send(leader, std::move(message));
        return;
    }
    if (!m_storageUsable)
        return;
    core().handleJoinRequest(replica, m_clock.now());
    processEffects();
}

void document_replica::submit(wire::document document, submit_handler handler)
{
    auto leader = leaderAddress();
    if (isLeader() || leader.empty() || leader == m_self.address()) {
        propose(document, std::move(handler));
        return;
    }
    wire::envelope message;
    *message.mutable_document_submit()->mutable_document() = std::move(document);
    auto timeout = leaderCallTimeout + transferTime(message.document_submit().document());
    m_network.call(leader, std::move(message), timeout, [handler = std::move(handler)](const wire::envelope* reply) {
        if (!reply || !reply->has_document_submit_reply())
            handler({ true, 0 });
        else
            handler({ reply->document_submit_reply().unavailable(), reply->document_submit_reply().held_version() });
    });
}

void document_replica::propose(const wire::document& document, submit_handler handler)
{
    if (!isLeader()) {
        handler({ true, 0 });
        return;
    }
    // A committed document of the same or a higher version is never replaced.
    if (document.version() <= m_document.version()) {
        handler({ false, m_document.version() });
        return;
    }
    wire::command command;
    *command.mutable_document() = document;
    proposeCommand(command, [this, handler = std::move(handler)](bool lost) { handler({ lost, lost ? 0 : m_document.version() }); });
}

void document_replica::proposeCommand(const wire::command& command, std::function<void(bool)> handler)
{
    auto position = core().propose(command.SerializeAsString());
    if (!position) {
        handler(true);
        return;
    }
    m_pending[position->index] = { position->term, std::move(handler) };
    processEffects();
}

void document_replica::read(read_handler handler)
{
    auto leader = leaderAddress();
    bool isLeaderHere = m_storageUsable && core().hasCommittedInTerm();
    if (isLeaderHere || leader.empty() || leader == m_self.address()) {
        readLocally(std::move(handler));
        return;
    }
    wire::envelope message;
    message.mutable_document_read()->set_held_version(m_document.version());
    m_network.call(leader, std::move(message), leaderCallTimeout, [this, handler = std::move(handler)](const wire::envelope* reply) {
        bool known = reply && reply->has_document_read_reply() && !reply->document_read_reply().unavailable();
        if (!known)
            handler(nullptr);
        else if (reply->document_read_reply().held_is_newest())
            // A document committed meanwhile is newer, so it is valid too.
            handler(&m_document);
        else
            handler(&reply->document_read_reply().document());
    });
}

void document_replica::readLocally(read_handler handler)
{
    if (!m_storageUsable) {
        handler(nullptr);
        return;
    }
    m_reads[++m_lastRead] = std::move(handler);
    core().requestRead(m_lastRead);
    processEffects();
}

void document_replica::processEffects()
{
    if (!m_storageUsable)
        return;
    auto drained = m_host->processReady();
    if (!drained) {
        onStorageFailure(drained.error().message);
        return;
    }
    if (m_openAttempts > 0 && (m_host->hasStored() || !m_host->isWriting()))
        recordStorageUsable();
    updateLeadership();
    compactIfNeeded();
    // The callbacks above may have met a storage failure, after which nothing is due.
    if (m_storageUsable)
        scheduleTimer();
}

void document_replica::scheduleTimer()
{
    auto due = std::min(core().nextDue(), core().shouldRequestJoin() ? m_nextJoinAt : time_point::max());
    auto now = m_clock.now();
    // A timer that is due earlier reschedules itself then; restarting it for each message would cost more.
    if (m_timerDue != time_point {} && m_timerDue <= due)
        return;
    m_timerDue = due;
    m_timer.expires_after(std::max(due - now, duration(milliseconds(1))));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            onTimer();
    });
}

void document_replica::onTimer()
{
    m_timerDue = {};
    if (!m_storageUsable)
        return;
    core().tick(m_clock.now());
    sendJoin();
    processEffects();
}

void document_replica::sendJoin()
{
    if (!core().shouldRequestJoin() || m_clock.now() < m_nextJoinAt)
        return;
    m_nextJoinAt = m_clock.now() + joinInterval;
    for (const auto& address : peers()) {
        wire::envelope message;
        *message.mutable_join()->mutable_replica() = m_self;
        m_network.send(address, std::move(message));
    }
}

void document_replica::updateLeadership()
{
    // An elected replica acts as leader only after a commit in its term, when it has all acknowledged documents.
    bool isLeader = m_storageUsable && core().hasCommittedInTerm();
    if (isLeader == m_isLeader)
        return;
    m_isLeader = isLeader;
    m_metrics.count(isLeader ? "leadership_gained" : "leadership_lost");
    logEvent(isLeader ? "leadership_gained" : "leadership_lost", { { "term", term() }, { "version", m_document.version() } });
    if (!isLeader)
        failPending();
    m_events.leadershipChanged(isLeader);
}

void document_replica::failPending()
{
    auto pending = std::exchange(m_pending, {});
    for (auto& [index, one] : pending)
        one.handler(true);
    auto reads = std::exchange(m_reads, {});
    for (auto& [id, handler] : reads)
        handler(nullptr);
}

void document_replica::compactIfNeeded()
{
    if (!m_storageUsable)
        return;
    bool tooLong = m_bytesSinceSnapshot > maxLogBytes || m_applied > core().log().baseIndex() + maxLogEntries;
    if (!tooLong)
        return;
    m_bytesSinceSnapshot = 0;
    wire::replicated_state state;
    state.set_version(m_document.version());
    state.set_body(m_document.body());
    *state.mutable_evacuations() = m_evacuations.encode();
    m_host->compact(m_applied, state.SerializeAsString());
}

} // namespace pistachiolatch
