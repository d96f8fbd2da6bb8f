#include "control/control_node.h"

#include "program/program_main.h"

namespace pistachiolatch {

namespace {
    constexpr std::size_t compactionThreshold = 2000;
    constexpr milliseconds joinRequestInterval { 500 };
    constexpr milliseconds confirmationTimeout { 10000 };
    constexpr milliseconds statusTimeout { 1000 };
    constexpr std::size_t maxEvents = 1000;
    /// Pauses of the control thread from this length on are logged. A leader loses its lead after one of minElectionTimeout.
    constexpr milliseconds reportedPause { 200 };
}

opened_replica makeMemoryReplica(const wire_settings& wire)
{
    wire::replica_id self;
    self.set_vm(wire.vm);
    self.set_address(wire.advertise);
    self.set_incarnation(generateIncarnation());
    return { self, replica_store(memory_log_store()), {} };
}

control_node::control_node(dependencies deps)
    : m_loop(deps.loop)
    , m_clock(deps.clock)
    , m_metrics(deps.counters)
    , m_wire(std::move(deps.wire))
    , m_openReplica(std::move(deps.open))
{
    m_metrics.gauge("storage_usable", deps.replica ? 1 : 0);
    if (!deps.replica) {
        logEvent("storage_unusable", { { "error", deps.replica.error().message } });
        m_storageFailed = true;
        m_reopenAt = m_clock.now() + storageReopenDelay;
    }
    // The placeholder doesn't take part in the log until the stored replica can be opened.
    restore(deps.replica ? std::move(deps.replica.value()) : makeMemoryReplica(m_wire));
    if (deps.bootstrap)
        core().bootstrap();
}

void control_node::restore(opened_replica replica)
{
    m_self = replica.self;
    m_state = control_state();
    m_appliedIndex = replica.restored.snapshot.index();
    if (m_appliedIndex > 0 && !m_state.load(replica.restored.snapshot.state()))
        std::abort(); // The checksum was valid, so invalid content means a broken invariant.
    raft_core core(m_self, raft_settings {}, generateIncarnation(), std::move(replica.restored), m_clock.now());
    m_host.emplace(std::move(core), std::move(replica.store), m_clock, makeCallbacks());
}

raft_callbacks control_node::makeCallbacks()
{
    raft_callbacks callbacks;
    callbacks.send = [this](const wire::raft_message& message) {
        wire::envelope envelope;
        *envelope.mutable_raft() = message;
        m_loop.wire().send(message.to().address(), envelope);
    };
    callbacks.apply = [this](const wire::log_entry& entry) { apply(entry); };
    callbacks.restore = [this](const wire::raft_snapshot& snapshot) {
        if (!m_state.load(snapshot.state()))
            std::abort();
        m_appliedIndex = snapshot.index();
        logEvent("snapshot_installed", { { "index", snapshot.index() } });
    };
    callbacks.completeRead = [this](std::uint64_t id, bool done) {
        auto found = m_pendingReads.find(id);
        if (found == m_pendingReads.end())
            return;
        auto handler = std::move(found->second);
        m_pendingReads.erase(found);
        handler(done);
    };
    // The loop ticks after each task.
    callbacks.writeCompleted = [&loop = m_loop] { loop.post([] {}); };
    callbacks.slowWrite = [](duration took) { logEvent("storage_slow", { { "ms", std::chrono::duration_cast<milliseconds>(took).count() } }); };
    return callbacks;
}

void control_node::onMessage(const wire::envelope& message)
{
    switch (message.body_case()) {
    case wire::envelope::kRaft:
        if (!m_storageFailed)
            core().step(message.raft(), m_clock.now());
        break;
    case wire::envelope::kJoin:
        if (!m_storageFailed)
            core().handleJoinRequest(message.join().replica(), m_clock.now());
        break;
    case wire::envelope::kHeartbeat:
        handleHeartbeat(message);
        break;
    case wire::envelope::kLedgerBegin:
    case wire::envelope::kLedgerFinish:
        handleLedgerCommand(message);
        break;
    case wire::envelope::kCrash:
        handleCrashReport(message);
        break;
    default:
        m_metrics.count("wire_message_unexpected");
        break;
    }
}

void control_node::tick()
{
    reportPause();
    if (m_storageFailed)
        reopenStorage();
    if (m_storageFailed)
        return;
    core().tick(m_clock.now());
    sendJoinRequest();
    processUpdates();
    if (m_isLeader) {
        updateSessions();
        processUpdates();
    }
    compactLogIfNeeded();
}

void control_node::reportPause()
{
    auto now = m_clock.now();
    auto last = std::exchange(m_lastTick, now);
    auto pause = std::chrono::duration_cast<milliseconds>(now - last);
    if (last != time_point {} && pause >= reportedPause)
        logEvent("control_paused", { { "ms", pause.count() } });
}

void control_node::processUpdates()
{
    processReady();
    updateLeadership();
}

void control_node::processReady()
{
    if (m_storageFailed)
        return;
    if (auto processed = m_host->processReady(); !processed)
        handleStorageFailure(processed.error().message);
}

void control_node::handleStorageFailure(const std::string& error)
{
    // A replica that can't sync must not acknowledge anything, so it stops taking part in the log.
    logEvent("storage_failed", { { "error", error }, { "term", core().term() } });
    m_metrics.count("storage_failed");
    m_metrics.gauge("storage_usable", 0);
    m_storageFailed = true;
    m_reopenAt = m_clock.now() + storageReopenDelay;
    failPendingRequests();
    auto reads = std::exchange(m_pendingReads, {});
    for (auto& [id, handler] : reads)
        handler(false);
}

void control_node::reopenStorage()
{
    if (m_clock.now() < m_reopenAt)
        return;
    m_reopenAt = m_clock.now() + storageReopenDelay;
    m_host->storage().close();
    auto opened = m_openReplica(true);
    if (!opened) {
        logEvent("storage_unusable", { { "error", opened.error().message } });
        return;
    }
    m_storageFailed = false;
    logEvent("storage_recovered", { { "incarnation", opened.value().self.incarnation() }, { "entries", opened.value().restored.entries.size() }, { "snapshot", opened.value().restored.snapshot.index() } });
    restore(std::move(opened.value()));
    m_metrics.gauge("storage_usable", 1);
}

void control_node::sendJoinRequest()
{
    if (!core().shouldRequestJoin() || m_clock.now() < m_nextJoinRequest)
        return;
    m_nextJoinRequest = m_clock.now() + joinRequestInterval;
    for (const auto& address : m_wire.controls) {
        if (address == m_self.address())
            continue;
        wire::envelope message;
        *message.mutable_join()->mutable_replica() = m_self;
        m_loop.wire().send(address, message);
    }
}

void control_node::propose(const wire::command& command, proposal_handler handler)
{
    auto position = core().propose(command.SerializeAsString());
    if (!position) {
        handler(nullptr);
        return;
    }
    m_pendingProposals[position->index] = { position->term, std::move(handler) };
}

void control_node::apply(const wire::log_entry& entry)
{
    m_appliedIndex = entry.index();
    if (entry.kind() == wire::ENTRY_MEMBERSHIP)
        logEvent("membership_committed", { { "index", entry.index() }, { "term", entry.term() } });
    apply_outcome outcome;
    if (entry.kind() == wire::ENTRY_COMMAND) {
        wire::command command;
        if (!command.ParseFromString(entry.data()))
            std::abort(); // Only this program writes commands, so this means a broken invariant.
        outcome = m_state.apply(command);
    }
    auto found = m_pendingProposals.find(entry.index());
    if (found == m_pendingProposals.end())
        return;
    auto pending = std::move(found->second);
    m_pendingProposals.erase(found);
    // An entry of another term at this index means that the proposal was lost.
    pending.handler(pending.term == entry.term() ? &outcome : nullptr);
}

void control_node::failPendingRequests()
{
    auto proposals = std::exchange(m_pendingProposals, {});
    for (auto& [index, proposal] : proposals)
        proposal.handler(nullptr);
    auto confirmations = std::exchange(m_pendingConfirmations, {});
    for (auto& confirmation : confirmations) {
        logEvent("change_unconfirmed", { { "revision", confirmation.revision }, { "why", m_storageFailed ? "storage_failed" : "leadership_lost" } });
        confirmation.handler(false);
    }
}

void control_node::updateLeadership()
{
    // A newly elected leader acts as such only after committing in its term: only then does it know every acknowledged entry.
    bool isLeader = !m_storageFailed && core().hasCommittedInTerm();
    if (isLeader == m_isLeader)
        return;
    m_isLeader = isLeader;
    m_assignmentPending = false;
    if (!isLeader) {
        auto why = m_storageFailed ? "storage_failed" : core().term() > m_leaderTerm ? "newer_term"
                                                                                     : "no_quorum";
        logEvent("leadership_lost", { { "term", core().term() }, { "led_term", m_leaderTerm }, { "why", why } });
        m_sessions.reset();
        failPendingRequests();
        return;
    }
    m_sessions.emplace(m_clock.now());
    m_pushedRevision = m_state.revision();
    m_pushedShards = m_state.shardVersion();
    m_pushedPoison = m_state.poisonVersion();
    m_pushedLive = 0;
    m_leaderSince = m_clock.now();
    m_leaderTerm = core().term();
    m_metrics.count("leadership_gained");
    addEvent(m_self.vm(), fmt::format("became leader of the control log in term {}", core().term()));
}

void control_node::compactLogIfNeeded()
{
    if (m_storageFailed || m_appliedIndex < core().log().baseIndex() + compactionThreshold)
        return;
    m_host->compact(m_appliedIndex, m_state.save());
}

void control_node::submit(wire::submit_batch batch, std::function<void(submit_response)> handler)
{
    if (!m_isLeader || !core().leaseValid(m_clock.now())) {
        handler({ "not_leader", {}, false });
        return;
    }
    auto common = m_sessions->commonSchemaVersion(newestSchemaVersion);
    for (const auto& record : batch.records()) {
        // A process that can't decode a record would ignore it while others apply it.
        if (record.removed() || record.schema_version() <= common)
            continue;
        handler({ "", { submit_status::Invalid, 0, fmt::format("{} \"{}\": schema_version {} is not yet understood by every process (all know up to {}); finish the upgrade first", record.kind(), record.name(), record.schema_version(), common) }, false });
        return;
    }
    wire::command command;
    *command.mutable_submit() = std::move(batch);
    propose(command, [this, handler = std::move(handler)](const apply_outcome* outcome) {
        if (!outcome) {
            handler({ "outcome_unknown", {}, false });
            return;
        }
        const auto& submitted = *outcome->submit;
        if (submitted.status == submit_status::Conflict || submitted.status == submit_status::Invalid) {
            handler({ "", submitted, false });
            return;
        }
        addEvent(m_self.vm(), fmt::format("accepted revision {}", submitted.revision));
        m_pendingConfirmations.push_back({ submitted.revision, m_clock.now() + confirmationTimeout, [handler, submitted](bool inForce) { handler({ "", submitted, inForce }); } });
    });
    processUpdates();
}

void control_node::readThroughQuorum(std::function<void(bool)> handler)
{
    if (m_storageFailed) {
        handler(false);
        return;
    }
    m_pendingReads[++m_lastReadId] = std::move(handler);
    core().requestRead(m_lastReadId);
    processUpdates();
}

void control_node::handleLedgerCommand(const wire::envelope& message)
{
    auto sendReply = [this, call = message](wire::ledger_reply reply) {
        wire::envelope envelope;
        *envelope.mutable_ledger_reply() = std::move(reply);
        m_loop.wire().reply(call, envelope);
    };
    wire::ledger_reply unavailable;
    unavailable.set_unavailable(true);
    if (!m_isLeader) {
        sendReply(unavailable);
        return;
    }
    wire::command command;
    if (message.has_ledger_begin())
        *command.mutable_ledger_begin() = message.ledger_begin();
    else
        *command.mutable_ledger_finish() = message.ledger_finish();
    propose(command, [this, sendReply, unavailable](const apply_outcome* outcome) {
        if (!outcome) {
            sendReply(unavailable);
            return;
        }
        auto reply = *outcome->ledger;
        // The entry that ran the call has terminated, so its outcome will never be reported.
        bool orphaned = reply.state() == wire::LEDGER_RUNNING && !reply.granted() && !reply.owner().empty()
            && m_sessions && m_sessions->earlierLeasesExpired(m_clock.now()) && !m_sessions->isLive(reply.owner(), reply.owner_incarnation());
        if (orphaned)
            reply.set_state(wire::LEDGER_UNKNOWN);
        sendReply(std::move(reply));
    });
}

void control_node::handleCrashReport(const wire::envelope& message)
{
    if (!m_isLeader)
        return;
    wire::command command;
    *command.mutable_crash() = message.crash();
    command.mutable_crash()->set_now_ms(wallClock().count());
    propose(command, [this, call = message](const apply_outcome* outcome) {
        if (!outcome)
            return;
        addEvent(call.sender(), fmt::format("endpoint {} crashed while running request {} (crash {} of this request)", call.crash().endpoint(), call.crash().request_id(), *outcome->crashes));
        wire::envelope envelope;
        envelope.mutable_crash_reply()->set_crashes(*outcome->crashes);
        m_loop.wire().reply(call, envelope);
    });
}

void control_node::addEvent(const std::string& process, const std::string& text)
{
    wire::process_event event;
    event.set_at_ms(wallClock().count());
    event.set_process(process);
    event.set_text(text);
    storeEvent(event);
}

void control_node::storeEvent(const wire::process_event& event)
{
    m_events.push_back(event);
    if (m_events.size() > maxEvents)
        m_events.pop_front();
    logEvent("noted", { { "process", event.process() }, { "text", event.text() } });
}

void control_node::explain(const std::string& requestId, std::function<void(std::optional<std::vector<std::string>>)> handler)
{
    // A request id starts with the name of the VM whose entry assigned it.
    auto vm = requestId.substr(0, requestId.find('.'));
    std::string address;
    if (m_sessions) {
        for (const auto& [key, session] : m_sessions->sessions()) {
            if (session.process.kind() == wire::PROCESS_ENTRY && session.process.name() == vm)
                address = session.process.address();
        }
    }
    if (address.empty()) {
        handler(std::nullopt);
        return;
    }
    wire::envelope message;
    message.mutable_explain()->set_request_id(requestId);
    m_loop.call(address, message, statusTimeout, [handler](const wire::envelope* reply) {
        if (!reply || !reply->has_explain_reply()) {
            handler(std::nullopt);
            return;
        }
        const auto& lines = reply->explain_reply().lines();
        handler(std::vector<std::string>(lines.begin(), lines.end()));
    });
}

void control_node::requestSchedulerStatus(std::function<void(std::vector<std::string>)> handler)
{
    struct collected_status {
        std::size_t pendingReplies = 0;
        std::vector<std::string> lines;
    };
    auto collected = std::make_shared<collected_status>();
    std::vector<std::string> addresses;
    for (const auto& process : m_sessions ? m_sessions->liveProcesses() : std::vector<wire::live_process>()) {
        if (process.kind() == wire::PROCESS_SCHEDULER)
            addresses.push_back(process.address());
    }
    collected->pendingReplies = addresses.size();
    if (addresses.empty())
        handler({});
    for (const auto& address : addresses) {
        wire::envelope message;
        message.mutable_scheduler_status();
        m_loop.call(address, message, statusTimeout, [collected, handler](const wire::envelope* reply) {
            if (reply && reply->has_scheduler_status_reply())
                collected->lines.insert(collected->lines.end(), reply->scheduler_status_reply().lines().begin(), reply->scheduler_status_reply().lines().end());
            if (--collected->pendingReplies == 0)
                handler(collected->lines);
        });
    }
}
} // namespace pistachiolatch
