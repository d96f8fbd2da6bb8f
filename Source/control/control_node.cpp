#include "control/control_node.h"

#include "program/program_main.h"

namespace pistachiolatch {

namespace {
    constexpr std::size_t logEntriesKept = 2000;
    constexpr milliseconds joinInterval { 500 };
    constexpr milliseconds forceTimeout { 10000 };
    constexpr milliseconds explainTimeout { 1000 };
    constexpr std::size_t mostEventsKept = 1000;
}

opened_replica memoryReplica(const wire_settings& wire)
{
    wire::replica_id self;
    self.set_vm(wire.vm);
    self.set_address(wire.advertise);
    self.set_incarnation(generateIncarnation());
    return { self, replica_store(memory_log_store()), {} };
}

control_node::control_node(parts given)
    : m_loop(given.loop)
    , m_clock(given.clock)
    , m_metrics(given.counters)
    , m_wire(std::move(given.wire))
    , m_open(std::move(given.open))
{
    m_metrics.gauge("storage_usable", given.replica ? 1 : 0);
    if (!given.replica) {
        logEvent("storage_unusable", { { "error", given.replica.error().message } });
        m_storageFailed = true;
        m_reopenAt = m_clock.now() + reopenPause;
    }
    // The placeholder takes no part in the log until the stored replica can be opened.
    restore(given.replica ? std::move(given.replica.value()) : memoryReplica(m_wire));
    if (given.bootstrap)
        core().bootstrap();
}

void control_node::restore(opened_replica replica)
{
    m_self = replica.self;
    m_state = control_state();
    m_applied = replica.restored.snapshot.index();
    if (m_applied > 0 && !m_state.load(replica.restored.snapshot.state()))
        std::abort(); // The snapshot's checksum was right, so its content is a broken invariant.
    raft_core core(m_self, raft_settings {}, generateIncarnation(), std::move(replica.restored), m_clock.now());
    m_host.emplace(std::move(core), std::move(replica.store), effects());
}

raft_effects control_node::effects()
{
    raft_effects effects;
    effects.send = [this](const wire::raft_message& message) {
        wire::envelope envelope;
        *envelope.mutable_raft() = message;
        m_loop.wire().send(message.to().address(), envelope);
    };
    effects.apply = [this](const wire::log_entry& entry) { apply(entry); };
    effects.restore = [this](const wire::raft_snapshot& snapshot) {
        if (!m_state.load(snapshot.state()))
            std::abort();
        m_applied = snapshot.index();
        logEvent("snapshot_installed", { { "index", snapshot.index() } });
    };
    effects.read = [this](std::uint64_t id, bool done) {
        auto found = m_reads.find(id);
        if (found == m_reads.end())
            return;
        auto answer = std::move(found->second);
        m_reads.erase(found);
        answer(done);
    };
    return effects;
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
            core().join(message.join().replica(), m_clock.now());
        break;
    case wire::envelope::kHeartbeat:
        onHeartbeat(message);
        break;
    case wire::envelope::kLedgerBegin:
    case wire::envelope::kLedgerFinish:
        onLedger(message);
        break;
    case wire::envelope::kCrash:
        onCrash(message);
        break;
    default:
        m_metrics.count("wire_message_unexpected");
        break;
    }
}

void control_node::tick()
{
    if (m_storageFailed)
        reopenStorage();
    if (m_storageFailed)
        return;
    core().tick(m_clock.now());
    sendJoin();
    settle();
    if (m_leads) {
        stepSessions();
        settle();
    }
    compactIfLong();
}

void control_node::settle()
{
    drain();
    followLeadership();
}

void control_node::drain()
{
    if (m_storageFailed)
        return;
    auto drained = m_host->drain();
    if (!drained)
        onStorageFailure(drained.error().message);
}

void control_node::onStorageFailure(const std::string& why)
{
    // A replica that can't sync can't keep its word; it takes no part before it acknowledges anything more.
    logEvent("storage_failed", { { "error", why }, { "term", core().term() } });
    m_metrics.count("storage_failed");
    m_metrics.gauge("storage_usable", 0);
    m_storageFailed = true;
    m_reopenAt = m_clock.now() + reopenPause;
    failPending();
    auto reads = std::exchange(m_reads, {});
    for (auto& [id, answer] : reads)
        answer(false);
}

void control_node::reopenStorage()
{
    if (m_clock.now() < m_reopenAt)
        return;
    m_reopenAt = m_clock.now() + reopenPause;
    m_host->storage().close();
    auto opened = m_open(true);
    if (!opened) {
        logEvent("storage_unusable", { { "error", opened.error().message } });
        return;
    }
    m_storageFailed = false;
    logEvent("storage_recovered", { { "incarnation", opened.value().self.incarnation() }, { "entries", opened.value().restored.entries.size() }, { "snapshot", opened.value().restored.snapshot.index() } });
    restore(std::move(opened.value()));
    m_metrics.gauge("storage_usable", 1);
}

void control_node::sendJoin()
{
    if (!core().wantsToJoin() || m_clock.now() < m_nextJoin)
        return;
    m_nextJoin = m_clock.now() + joinInterval;
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
    m_pending[position->index] = { position->term, std::move(handler) };
}

void control_node::apply(const wire::log_entry& entry)
{
    m_applied = entry.index();
    if (entry.kind() == wire::ENTRY_MEMBERSHIP)
        logEvent("membership_committed", { { "index", entry.index() }, { "term", entry.term() } });
    apply_outcome outcome;
    if (entry.kind() == wire::ENTRY_COMMAND) {
        wire::command command;
        if (!command.ParseFromString(entry.data()))
            std::abort(); // Only this program writes commands: a broken invariant.
        outcome = m_state.apply(command);
    }
    auto found = m_pending.find(entry.index());
    if (found == m_pending.end())
        return;
    auto pending = std::move(found->second);
    m_pending.erase(found);
    // Another leader's entry stands where the proposal was: the proposal is lost.
    pending.handler(pending.term == entry.term() ? &outcome : nullptr);
}

void control_node::failPending()
{
    auto pending = std::exchange(m_pending, {});
    for (auto& [index, one] : pending)
        one.handler(nullptr);
    auto awaiting = std::exchange(m_awaiting, {});
    for (auto& one : awaiting) {
        logEvent("change_unconfirmed", { { "revision", one.revision }, { "why", m_storageFailed ? "storage_failed" : "leadership_lost" } });
        one.answer(false);
    }
}

void control_node::followLeadership()
{
    // This replica leads once it knows all that was ever acknowledged, not as soon as it is elected.
    bool leads = !m_storageFailed && core().hasCommittedInTerm();
    if (leads == m_leads)
        return;
    m_leads = leads;
    m_assigning = false;
    if (!leads) {
        logEvent("leadership_lost", { { "term", core().term() } });
        m_sessions.reset();
        failPending();
        return;
    }
    m_sessions.emplace(m_clock.now());
    m_pushedRevision = m_state.revision();
    m_pushedShards = m_state.shardVersion();
    m_pushedPoison = m_state.poisonVersion();
    m_pushedLive = 0;
    m_shardsWantedSince = m_clock.now();
    m_metrics.count("leadership_gained");
    noteEvent(m_self.vm(), fmt::format("leads the control log in term {}", core().term()));
}

void control_node::compactIfLong()
{
    if (m_storageFailed || m_applied < core().log().baseIndex() + logEntriesKept)
        return;
    auto compacted = m_host->compact(m_applied, m_state.save());
    if (compacted)
        return;
    onStorageFailure(compacted.error().message);
    followLeadership();
}

void control_node::submit(wire::submit_batch batch, std::function<void(submit_answer)> answer)
{
    if (!m_leads || !core().leaseValid(m_clock.now())) {
        answer({ "not_leader", {}, false });
        return;
    }
    auto common = m_sessions->commonSchemaVersion(newestSchemaVersion);
    for (const auto& record : batch.records()) {
        // A process that can't decode a record would go on without it while others act on it.
        if (record.removed() || record.schema_version() <= common)
            continue;
        answer({ "", { submit_status::Invalid, 0, fmt::format("{} \"{}\": schema_version {} is not yet understood by every process (all know up to {}); finish the upgrade first", record.kind(), record.name(), record.schema_version(), common) }, false });
        return;
    }
    wire::command command;
    *command.mutable_submit() = std::move(batch);
    propose(command, [this, answer = std::move(answer)](const apply_outcome* outcome) {
        if (!outcome) {
            answer({ "outcome_unknown", {}, false });
            return;
        }
        const auto& submitted = *outcome->submit;
        if (submitted.status == submit_status::Conflict || submitted.status == submit_status::Invalid) {
            answer({ "", submitted, false });
            return;
        }
        noteEvent(m_self.vm(), fmt::format("accepted revision {}", submitted.revision));
        m_awaiting.push_back({ submitted.revision, m_clock.now() + forceTimeout, [answer, submitted](bool inForce) { answer({ "", submitted, inForce }); } });
    });
    settle();
}

void control_node::readThroughQuorum(std::function<void(bool)> answer)
{
    if (m_storageFailed) {
        answer(false);
        return;
    }
    m_reads[++m_lastRead] = std::move(answer);
    core().read(m_lastRead);
    settle();
}

void control_node::onLedger(const wire::envelope& message)
{
    auto answer = [this, call = message](wire::ledger_reply reply) {
        wire::envelope envelope;
        *envelope.mutable_ledger_reply() = std::move(reply);
        m_loop.wire().reply(call, envelope);
    };
    wire::ledger_reply unavailable;
    unavailable.set_unavailable(true);
    if (!m_leads) {
        answer(unavailable);
        return;
    }
    wire::command command;
    if (message.has_ledger_begin())
        *command.mutable_ledger_begin() = message.ledger_begin();
    else
        *command.mutable_ledger_finish() = message.ledger_finish();
    propose(command, [this, answer, unavailable](const apply_outcome* outcome) {
        if (!outcome) {
            answer(unavailable);
            return;
        }
        auto reply = *outcome->ledger;
        // The entry that ran the call is gone, so nobody will ever tell how it ended.
        bool orphaned = reply.state() == wire::LEDGER_RUNNING && !reply.granted() && !reply.owner().empty()
            && m_sessions && m_sessions->settled(m_clock.now()) && !m_sessions->isLive(reply.owner(), reply.owner_incarnation());
        if (orphaned)
            reply.set_state(wire::LEDGER_UNKNOWN);
        answer(std::move(reply));
    });
}

void control_node::onCrash(const wire::envelope& message)
{
    if (!m_leads)
        return;
    wire::command command;
    *command.mutable_crash() = message.crash();
    command.mutable_crash()->set_now_ms(wallClock().count());
    propose(command, [this, call = message](const apply_outcome* outcome) {
        if (!outcome)
            return;
        noteEvent(call.sender(), fmt::format("endpoint {} crashed on request {} (crash {} of this request)", call.crash().endpoint(), call.crash().request_id(), *outcome->crashes));
        wire::envelope envelope;
        envelope.mutable_crash_reply()->set_crashes(*outcome->crashes);
        m_loop.wire().reply(call, envelope);
    });
}

void control_node::noteEvent(const std::string& process, const std::string& text)
{
    wire::process_event event;
    event.set_at_ms(wallClock().count());
    event.set_process(process);
    event.set_text(text);
    keepEvent(event);
}

void control_node::keepEvent(const wire::process_event& event)
{
    m_events.push_back(event);
    if (m_events.size() > mostEventsKept)
        m_events.pop_front();
    logEvent("noted", { { "process", event.process() }, { "text", event.text() } });
}

void control_node::explain(const std::string& requestId, std::function<void(std::optional<std::vector<std::string>>)> answer)
{
    // A request id begins with the name of the VM whose entry gave it.
    auto vm = requestId.substr(0, requestId.find('.'));
    std::string address;
    if (m_sessions) {
        for (const auto& [key, one] : m_sessions->sessions()) {
            if (one.process.kind() == wire::PROCESS_ENTRY && one.process.name() == vm)
                address = one.process.address();
        }
    }
    if (address.empty()) {
        answer(std::nullopt);
        return;
    }
    wire::envelope message;
    message.mutable_explain()->set_request_id(requestId);
    m_loop.call(address, message, explainTimeout, [answer](const wire::envelope* reply) {
        if (!reply || !reply->has_explain_reply()) {
            answer(std::nullopt);
            return;
        }
        const auto& lines = reply->explain_reply().lines();
        answer(std::vector<std::string>(lines.begin(), lines.end()));
    });
}

void control_node::schedulerLines(std::function<void(std::vector<std::string>)> answer)
{
    struct gathering {
        std::size_t open = 0;
        std::vector<std::string> lines;
    };
    auto gathered = std::make_shared<gathering>();
    std::vector<std::string> addresses;
    for (const auto& process : m_sessions ? m_sessions->live() : std::vector<wire::live_process>()) {
        if (process.kind() == wire::PROCESS_SCHEDULER)
            addresses.push_back(process.address());
    }
    gathered->open = addresses.size();
    if (addresses.empty())
        answer({});
    for (const auto& address : addresses) {
        wire::envelope message;
        message.mutable_scheduler_status();
        m_loop.call(address, message, explainTimeout, [gathered, answer](const wire::envelope* reply) {
            if (reply && reply->has_scheduler_status_reply())
                gathered->lines.insert(gathered->lines.end(), reply->scheduler_status_reply().lines().begin(), reply->scheduler_status_reply().lines().end());
            if (--gathered->open == 0)
                answer(gathered->lines);
        });
    }
}
} // namespace pistachiolatch
