#include "replication/document_replica.h"

#include <cstdlib>

namespace pistachiolatch {

namespace {
    constexpr milliseconds joinInterval { 300 };
    /// How long a submission or a read may take at another replica. Callers try the next VM after a second.
    constexpr milliseconds forwardTimeout { 800 };
    /// What a document may take on its way beyond that, at 10 Mbit/s. A large one that always took longer than the timeout
    /// would never be accepted through a follower.
    constexpr std::size_t bytesPerMillisecond = 1250;
    milliseconds transferAllowance(const wire::document& document)
    {
        return milliseconds(document.body().size() / bytesPerMillisecond);
    }
    /// The log is cut when it holds this much behind the snapshot: a small share of the disk, and little to read at a start.
    constexpr std::uint64_t mostLogBytes = 4UL * 1024 * 1024;
    constexpr std::uint64_t mostLogEntries = 400;
}

raft_settings document_replica::electionSettings()
{
    // An election takes about half a second, for which calls go without one view of the engines and limits. Replicas stand
    // within a few milliseconds of each other and sync within as much, so that seven heartbeats fit into the shortest
    // silence that ends a lead.
    raft_settings settings;
    settings.heartbeatInterval = milliseconds(40);
    settings.minElectionTimeout = milliseconds(300);
    settings.maxElectionTimeout = milliseconds(550);
    return settings;
}

document_replica::document_replica(boost::asio::io_context& context, peer_network& network, const clock_source& clock, metrics& counters,
    replica_home home, replica_events events)
    : m_network(network)
    , m_clock(clock)
    , m_metrics(counters)
    , m_events(std::move(events))
    , m_home(std::move(home))
    , m_unusableSince(clock.now())
    , m_storageTimer(context)
    , m_timer(context)
    , m_documentSince(clock.now())
{
    m_self.set_vm(vmOfAddress(m_home.facts.ownAddress));
    m_self.set_address(m_home.facts.ownAddress);
}

void document_replica::start()
{
    openStorage();
}

void document_replica::stop()
{
    m_stopped = true;
    m_usable = false;
    m_timer.cancel();
    m_storageTimer.cancel();
}

raft_callbacks document_replica::effects()
{
    raft_callbacks effects;
    effects.send = [this](const wire::raft_message& message) {
        wire::envelope envelope;
        *envelope.mutable_raft() = message;
        m_network.send(message.to().address(), std::move(envelope));
    };
    effects.apply = [this](const wire::log_entry& entry) { apply(entry); };
    effects.restore = [this](const wire::raft_snapshot& snapshot) {
        load(snapshot);
        logEvent("snapshot_installed", { { "index", snapshot.index() }, { "version", m_document.version() } });
        m_events.documentChanged();
    };
    effects.completeRead = [this](std::uint64_t id, bool done) {
        auto found = m_reads.find(id);
        if (found == m_reads.end())
            return;
        auto handler = std::move(found->second);
        m_reads.erase(found);
        handler(done ? &m_document : nullptr);
    };
    return effects;
}

void document_replica::load(const wire::raft_snapshot& snapshot)
{
    m_applied = snapshot.index();
    if (snapshot.index() == 0)
        return;
    // The snapshot's checksum was right, so content that can't be decoded is a broken invariant.
    wire::document document;
    if (!document.ParseFromString(snapshot.state()))
        std::abort();
    // Files that are read again may hold less than what this process has shown.
    if (document.version() <= m_document.version())
        return;
    m_document = std::move(document);
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
        // Only this program writes commands: one that can't be read is a broken invariant.
        if (!command.ParseFromString(entry.data()))
            std::abort();
        take(std::move(*command.mutable_document()));
    }
    auto found = m_pending.find(entry.index());
    if (found == m_pending.end())
        return;
    auto pending = std::move(found->second);
    m_pending.erase(found);
    // Another leader's entry stands where the document was put: it is lost, though a copy may come back from a replica.
    bool lost = pending.term != entry.term();
    pending.handler({ lost, m_document.version() });
}

void document_replica::take(wire::document document)
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

bool document_replica::leads() const
{
    return m_usable && core().hasCommittedInTerm() && core().leaseValid(m_clock.now());
}

std::string document_replica::leaderAddress() const
{
    if (m_usable) {
        const auto& leader = core().leader();
        return leader ? leader->address() : std::string();
    }
    bool heardLately = m_clock.now() - m_heard.at < electionSettings().maxElectionTimeout;
    return heardLately ? m_heard.address : std::string();
}

std::optional<milliseconds> document_replica::confirmedAge() const
{
    if (!m_usable)
        return std::nullopt;
    auto now = m_clock.now();
    auto at = core().leadershipConfirmedAt(now);
    if (!at)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(now - *at);
}

void document_replica::learnPeers(const std::vector<std::string>& addresses)
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

bool document_replica::onMessage(const wire::envelope& message, const peer_network::peer& from)
{
    switch (message.body_case()) {
    case wire::envelope::kRaft:
        if (!m_usable) {
            noteLeader(message.raft());
            return true;
        }
        core().step(message.raft(), m_clock.now());
        settle();
        return true;
    case wire::envelope::kJoin:
        learnPeers({ message.join().replica().address() });
        onJoin(message.join().replica());
        return true;
    case wire::envelope::kDocumentSubmit:
        propose(message.document_submit().document(), [from, message](document_outcome outcome) {
            wire::envelope reply;
            reply.mutable_document_submit_reply()->set_unavailable(outcome.unavailable);
            reply.mutable_document_submit_reply()->set_held_version(outcome.heldVersion);
            peer_network::reply(from, message, std::move(reply));
        });
        return true;
    case wire::envelope::kDocumentRead:
        readHere([from, message](const wire::document* newest) {
            wire::envelope reply;
            auto& answer = *reply.mutable_document_read_reply();
            answer.set_unavailable(!newest);
            // A reader that holds the newest needs the word alone: a large document may take longer than the answer may.
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
    // A replica that lost its disk knows only the addresses it was started with, and the leader may be elsewhere.
    // Without the hand-over it would stay outside for good, and the next lost disk would take the quorum with it.
    auto leader = leaderAddress();
    bool leadsHere = m_usable && core().role() == raft_role::Leader;
    if (!leadsHere && !leader.empty() && leader != m_self.address() && leader != replica.address()) {
        wire::envelope message;
        *message.mutable_join()->mutable_replica() = replica;
        m_network.send(leader, std::move(message));
        return;
    }
    if (!m_usable)
        return;
    core().handleJoinRequest(replica, m_clock.now());
    settle();
}

void document_replica::submit(wire::document document, submit_handler handler)
{
    auto leader = leaderAddress();
    if (leads() || leader.empty() || leader == m_self.address()) {
        propose(document, std::move(handler));
        return;
    }
    wire::envelope message;
    *message.mutable_document_submit()->mutable_document() = std::move(document);
    auto timeout = forwardTimeout + transferAllowance(message.document_submit().document());
    m_network.call(leader, std::move(message), timeout, [handler = std::move(handler)](const wire::envelope* reply) {
        if (!reply || !reply->has_document_submit_reply())
            handler({ true, 0 });
        else
            handler({ reply->document_submit_reply().unavailable(), reply->document_submit_reply().held_version() });
    });
}

void document_replica::propose(const wire::document& document, submit_handler handler)
{
    if (!leads()) {
        handler({ true, 0 });
        return;
    }
    // A committed document of that version or a higher one stays: there is nothing to add to the log.
    if (document.version() <= m_document.version()) {
        handler({ false, m_document.version() });
        return;
    }
    wire::command command;
    *command.mutable_document() = document;
    auto position = core().propose(command.SerializeAsString());
    if (!position) {
        handler({ true, 0 });
        return;
    }
    m_pending[position->index] = { position->term, document.version(), std::move(handler) };
    settle();
}

void document_replica::read(read_handler handler)
{
    auto leader = leaderAddress();
    bool leadsHere = m_usable && core().hasCommittedInTerm();
    if (leadsHere || leader.empty() || leader == m_self.address()) {
        readHere(std::move(handler));
        return;
    }
    wire::envelope message;
    message.mutable_document_read()->set_held_version(m_document.version());
    m_network.call(leader, std::move(message), forwardTimeout, [this, handler = std::move(handler)](const wire::envelope* reply) {
        bool known = reply && reply->has_document_read_reply() && !reply->document_read_reply().unavailable();
        if (!known)
            handler(nullptr);
        else if (reply->document_read_reply().held_is_newest())
            // One that was committed meanwhile is newer still.
            handler(&m_document);
        else
            handler(&reply->document_read_reply().document());
    });
}

void document_replica::readHere(read_handler handler)
{
    if (!m_usable) {
        handler(nullptr);
        return;
    }
    m_reads[++m_lastRead] = std::move(handler);
    core().requestRead(m_lastRead);
    settle();
}

void document_replica::settle()
{
    if (!m_usable)
        return;
    auto drained = m_host->processReady();
    if (!drained) {
        onStorageFailure(drained.error().message);
        return;
    }
    followLeadership();
    if (compactIfLong())
        armTimer();
}

void document_replica::armTimer()
{
    auto due = std::min(core().nextDue(), core().shouldRequestJoin() ? m_nextJoin : time_point::max());
    auto now = m_clock.now();
    // A timer that is armed for an earlier time looks again then; arming it anew at each message would cost more.
    if (m_armedFor != time_point {} && m_armedFor <= due)
        return;
    m_armedFor = due;
    m_timer.expires_after(std::max(due - now, duration(milliseconds(1))));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            onTimer();
    });
}

void document_replica::onTimer()
{
    if (!m_usable)
        return;
    m_armedFor = {};
    core().tick(m_clock.now());
    sendJoin();
    settle();
}

void document_replica::sendJoin()
{
    if (!core().shouldRequestJoin() || m_clock.now() < m_nextJoin)
        return;
    m_nextJoin = m_clock.now() + joinInterval;
    for (const auto& address : peers()) {
        wire::envelope message;
        *message.mutable_join()->mutable_replica() = m_self;
        m_network.send(address, std::move(message));
    }
}

void document_replica::followLeadership()
{
    // This replica leads once it knows all that was ever acknowledged, not as soon as it is elected.
    bool leads = m_usable && core().hasCommittedInTerm();
    if (leads == m_leads)
        return;
    m_leads = leads;
    m_metrics.count(leads ? "leadership_gained" : "leadership_lost");
    logEvent(leads ? "leadership_gained" : "leadership_lost", { { "term", term() }, { "version", m_document.version() } });
    if (!leads)
        failPending();
    m_events.leadershipChanged(leads);
}

void document_replica::failPending()
{
    auto pending = std::exchange(m_pending, {});
    for (auto& [index, one] : pending)
        one.handler({ true, 0 });
    auto reads = std::exchange(m_reads, {});
    for (auto& [id, handler] : reads)
        handler(nullptr);
}

bool document_replica::compactIfLong()
{
    bool tooLong = m_bytesSinceSnapshot > mostLogBytes || m_applied > core().log().baseIndex() + mostLogEntries;
    if (!tooLong)
        return true;
    m_bytesSinceSnapshot = 0;
    auto compacted = m_host->compact(m_applied, m_document.SerializeAsString());
    if (!compacted)
        onStorageFailure(compacted.error().message);
    return m_usable;
}

} // namespace pistachiolatch
