#include "coordination/entry_coordinator.h"

#include "coordination/crash_journal.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace pistachiolatch {

namespace {
    constexpr milliseconds expiryInterval { 500 };
    /// Delay before a new leader answers plan requests. Until every entry has reported its running calls, engines look idle
    /// and would be overloaded; entries place calls themselves meanwhile.
    constexpr milliseconds planningDelay { 400 };
    /// An election takes about half a second, twice that if votes are split.
    constexpr milliseconds electionDuration { 1500 };
    /// Timeout of the leader's confirmation that an endpoint leaves. Endpoints try the next VM after a second.
    constexpr milliseconds confirmTimeout { 700 };
    /// Unchanged relay offers are sent again after this time, in case an entry dropped a late reply.
    constexpr milliseconds relaysResendInterval { 5000 };
    /// Delay before entries are told of endpoints that serve, so that many of them go in one message.
    constexpr milliseconds announcementDelay { 50 };
}

static block_settings makeBlockSettings(const coordinator_settings& settings)
{
    block_settings blocks;
    blocks.silentAfter = settings.directory.silentAfter;
    // A report that the endpoint sent before the crash may still arrive for a while, so the next one tells.
    blocks.parts.reportOverdue = maxAnnouncementDelay + settings.reportInterval * 5 / 4;
    return blocks;
}

entry_coordinator::entry_coordinator(boost::asio::io_context& context, peer_network& network, document_replica& replica, const clock_source& clock,
    metrics& counters, coordinator_settings settings, configuration_decoder decode)
    : m_context(context)
    , m_network(network)
    , m_replica(replica)
    , m_clock(clock)
    , m_metrics(counters)
    , m_settings(settings)
    , m_decode(std::move(decode))
    , m_directory(generateIncarnation(), settings.directory)
    , m_blocks(makeBlockSettings(settings))
    , m_origins(context, network, clock, counters, [this] { return m_replica.isLeader() ? m_replica.peers() : std::vector<std::string>(); })
    , m_pieceTimer(context)
    , m_planner(generateIncarnation())
    , m_slotPlanner(generateIncarnation())
    , m_planTimer { boost::asio::steady_timer(context) }
    , m_slotTimer { boost::asio::steady_timer(context) }
    , m_announcementTimer { boost::asio::steady_timer(context) }
    , m_retries(settings.retries)
    , m_timer(context)
    , m_limitTimer(context)
{
}

void entry_coordinator::start()
{
    m_timer.expires_after(expiryInterval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        onTimer();
        start();
    });
}

void entry_coordinator::stop()
{
    m_timer.cancel();
    m_limitTimer.cancel();
    m_planTimer.timer.cancel();
    m_slotTimer.timer.cancel();
    m_announcementTimer.timer.cancel();
    m_pieceTimer.cancel();
    m_origins.stop();
}

void entry_coordinator::armTimer(one_shot_timer& timer, milliseconds delay, void (entry_coordinator::*action)())
{
    if (std::exchange(timer.armed, true))
        return;
    timer.timer.expires_after(delay);
    timer.timer.async_wait([this, &timer, action](boost::system::error_code error) {
        timer.armed = false;
        if (!error)
            (this->*action)();
    });
}

void entry_coordinator::onTimer()
{
    auto now = m_clock.now();
    m_origins.onTimer();
    releaseHeldReports();
    for (const auto& report : m_versions.heldVersions())
        confirmVersion(report);
    std::vector<peer_connection*> expired;
    for (const auto& [entry, session] : m_entries) {
        if (now - session.lastSyncAt > m_settings.entryLease)
            expired.push_back(entry);
    }
    for (auto* entry : expired)
        removeEntry(entry);
    auto blocksBefore = m_blocks.version();
    bool changed = m_directory.expire(now);
    updateBlocks();
    if (changed || m_blocks.version() != blocksBefore)
        pushChanges();
    balanceStages();
    if (m_replica.isLeader()) {
        updateQueuedServices();
        reportOrganisationWaits();
    }
}

bool entry_coordinator::onMessage(const wire::envelope& message, const peer_network::peer& from)
{
    switch (message.body_case()) {
    case wire::envelope::kEntrySync:
        onSync(message, from);
        return true;
    case wire::envelope::kDocumentAsk:
        onDocumentRequest(message.document_ask(), from);
        return true;
    case wire::envelope::kDirectoryAsk:
        onDirectoryRequest(message.directory_ask(), from);
        return true;
    case wire::envelope::kReportEndpoint:
        onReport(message, from);
        return true;
    case wire::envelope::kCrash:
        onCrash(message, from);
        return true;
    case wire::envelope::kPromptParts:
        recordSuccesses(message.prompt_parts().requests());
        if (auto session = m_entries.find(from.get()); session != m_entries.end())
            recordPartStatuses(message.prompt_parts().statuses(), session->second);
        return true;
    case wire::envelope::kEndpointUnreachable:
        if (m_directory.markUnreachable(message.endpoint_unreachable().id(), message.endpoint_unreachable().born_ms()))
            pushChanges();
        return true;
    case wire::envelope::kEndpointLimit:
        applyLimit(message.endpoint_limit());
        return true;
    case wire::envelope::kEnginePlanRequest:
        onPlanRequest(message, from);
        return true;
    case wire::envelope::kEngineRelease:
        onRelease(message, from);
        return true;
    case wire::envelope::kLimit:
        onLimitRequest(message, from);
        return true;
    case wire::envelope::kRetryRequest:
        onRetryRequest(message, from);
        return true;
    default:
        return m_origins.onMessage(message, from);
    }
}

void entry_coordinator::onPeerLost(const peer_network::peer& lost)
{
    removeEntry(lost.get());
    std::erase_if(m_pendingLimits, [&](const auto& item) { return item.second.peer == lost; });
    std::erase_if(m_pendingPlans, [&](const auto& item) { return item.second.peer == lost; });
}

void entry_coordinator::onSync(const wire::envelope& message, const peer_network::peer& from)
{
    const auto& sync = message.entry_sync();
    wire::envelope reply;
    auto& update = *reply.mutable_entry_update();
    update.set_leader_address(m_replica.leaderAddress());
    for (const auto& address : m_replica.peers())
        update.add_controls(address);
    auto age = m_replica.confirmedAge();
    // An entry that follows a leader of a later term knows that this process doesn't lead any more.
    if (m_replica.isLeader() && age && sync.term() <= m_replica.term()) {
        auto& session = m_entries[from.get()];
        if (session.name.empty()) {
            session.number = ++m_lastEntryNumber;
            session.name = std::to_string(session.number);
        }
        session.peer = from;
        session.lastSyncAt = m_clock.now();
        session.documentVersion = sync.document_version();
        session.supportsPieces = sync.takes_pieces();
        session.directorySource = sync.directory_source();
        session.directoryVersion = sync.directory_version();
        if (sync.term() > 0)
            session.blocksVersion = sync.blocks_source() == m_directory.source() ? std::optional(sync.blocks_version()) : std::nullopt;
        session.evacuationRevision = sync.evacuation_revision();
        m_loads.replace(session.name, sync.load());
        m_relays.update(session.name, sync.relay());
        // A control process that was restarted knows no blocks. During its first lease period it adopts those of entries.
        if (m_clock.now() - m_leaderSince < m_settings.entryLease)
            m_blocks.adopt(sync.blocked(), m_clock.now());
        m_blocks.extend(sync.blocked(), m_clock.now());
        // First, so that no crash counts in between that they take back.
        recordSuccesses(sync.request_successes());
        for (const auto& crash : sync.crashes())
            recordCrash(crash);
        recordPartStatuses(sync.prompt_parts(), session);
        for (const auto& limit : sync.limits())
            applyLimit(limit);
        for (const auto& origin : sync.origins())
            m_origins.record(origin);
        std::vector<wire::running_call> calls(sync.calls().begin(), sync.calls().end());
        updatePlanner();
        m_planner.replaceCalls(session.name, calls, m_clock.now());
        m_slotPlanner.replaceCalls(session.name, calls, { sync.load().begin(), sync.load().end() }, m_clock.now());
        updateQueuedServices();
        if (sync.leaving())
            removeEntry(from.get());
        update.set_leads(true);
        update.set_confirmed_age_ms(saturatingCast<std::uint32_t>(age->count()));
        if (!sync.leaving()) {
            fillUpdate(update, session);
            m_loads.fillOthers(session.name, *update.mutable_load());
            // Sent with replies only: when many entries are cut off at once, each change would go to all of them.
            bool mayBeLost = m_clock.now() - session.relaysSentAt > relaysResendInterval;
            if (session.relaysVersion != m_relays.version() || mayBeLost) {
                *update.mutable_relays() = m_relays.offersFor(session.name);
                session.relaysVersion = m_relays.version();
                session.relaysSentAt = m_clock.now();
            }
        }
    }
    peer_network::reply(from, message, std::move(reply));
}

void entry_coordinator::onDocumentChanged()
{
    m_documents.store(m_replica.document());
    applyConfiguration();
    pushChanges();
}

void entry_coordinator::onEvacuationsChanged()
{
    updateEvacuated();
    pushChanges();
}

void entry_coordinator::updateEvacuated()
{
    auto evacuated = m_replica.evacuations().evacuated();
    m_metrics.gauge("data_centres_evacuated", static_cast<double>(evacuated.size()));
    m_planner.setEvacuated(evacuated);
    m_slotPlanner.setEvacuated(evacuated);
    std::set<std::string> withdrawn;
    std::set_difference(m_evacuated.begin(), m_evacuated.end(), evacuated.begin(), evacuated.end(), std::inserter(withdrawn, withdrawn.end()));
    if (!withdrawn.empty())
        assumeCold(withdrawn);
    m_evacuated = std::move(evacuated);
}

void entry_coordinator::assumeCold(const std::set<std::string>& dataCentres)
{
    auto coldUntil = m_clock.now() + m_settings.reportInterval + announcementDelay;
    updatePlanner();
    for (const auto& row : m_directory.changesSince(0)) {
        const auto& report = row.report();
        if (!dataCentres.count(report.data_centre()))
            continue;
        m_planner.coldStarts().assumeCold(report.id(), coldUntil);
        m_slotPlanner.coldStarts().assumeCold(report.id(), coldUntil);
    }
}

void entry_coordinator::announceEndpoints()
{
    if (m_replica.isLeader())
        updateQueuedServices();
    pushChanges();
}

void entry_coordinator::onLeadershipChanged(bool isLeader)
{
    m_entries.clear();
    m_pacer.clear();
    m_loads.clear();
    m_relays.clear();
    m_pendingLimits.clear();
    m_pendingPlans.clear();
    m_planQueue.clear();
    m_slotQueue.clear();
    m_organisationWaits.clear();
    publishOrganisationWaits({});
    m_slotPlanner = slot_planner(generateIncarnation());
    m_planner = engine_planner(generateIncarnation());
    m_plannerVersion = 0;
    updateEvacuated();
    m_limits.reset();
    m_limitedOrganisations.clear();
    m_blocks.setLeading(isLeader, m_clock.now());
    if (!isLeader)
        return;
    m_documents.store(m_replica.document());
    m_leaderSince = m_clock.now();
    m_planningStartsAt = m_leaderSince + planningDelay;
    m_limits.emplace(m_clock.now());
    m_limitEpoch = generateIncarnation();
    m_retries.reset(m_replica.document().version() > 0, m_clock.now());
    applyConfiguration();
}

void entry_coordinator::removeEntry(peer_connection* entry)
{
    auto found = m_entries.find(entry);
    if (found == m_entries.end())
        return;
    m_planner.removeEntry(found->second.name);
    m_planQueue.removeEntry(found->second.name);
    m_slotPlanner.removeEntry(found->second.name);
    m_slotQueue.removeEntry(found->second.name);
    m_loads.remove(found->second.name);
    m_relays.remove(found->second.name);
    m_pacer.remove(entry);
    m_entries.erase(found);
}

void entry_coordinator::handleReport(const wire::endpoint_report& report, std::function<void(bool)> handler)
{
    if (applyReport(report))
        pushReported(report);
    if (m_replica.voters() == 1)
        releaseHeldReports();
    bool isLeaving = report.state() != wire::ENDPOINT_SERVING;
    auto leader = m_replica.leaderAddress();
    bool isLeader = m_replica.isLeader();
    for (const auto& address : m_replica.peers()) {
        if (isLeaving && address == leader)
            continue;
        wire::envelope message;
        *message.mutable_report_endpoint()->mutable_report() = report;
        m_network.send(address, std::move(message));
    }
    // If this process stays cut off from the leader, reports don't reach it and the endpoint would count as silent.
    // Without a confirmation the endpoint reports to another process. During an election reports are still confirmed, since
    // the next leader receives them.
    auto now = m_clock.now();
    if (!leader.empty())
        m_leaderKnownAt = now;
    bool cutOff = leader.empty() && m_leaderKnownAt != time_point {} && now - m_leaderKnownAt > electionDuration;
    if (isLeader || (!isLeaving && !cutOff)) {
        handler(true);
        return;
    }
    if (leader.empty()) {
        handler(false);
        return;
    }
    wire::envelope message;
    *message.mutable_report_endpoint()->mutable_report() = report;
    m_network.call(leader, std::move(message), confirmTimeout, [handler = std::move(handler)](const wire::envelope* reply) {
        handler(reply && reply->has_report_endpoint_reply() && reply->report_endpoint_reply().taken());
    });
}

void entry_coordinator::pushReported(const wire::endpoint_report& report)
{
    // An endpoint expects no new work once its leaving is confirmed.
    if (report.state() == wire::ENDPOINT_SERVING)
        armTimer(m_announcementTimer, announcementDelay, &entry_coordinator::announceEndpoints);
    else
        pushChanges();
}

bool entry_coordinator::applyReport(const wire::endpoint_report& report)
{
    auto now = m_clock.now();
    auto blocksBefore = m_blocks.version();
    m_origins.onReport(report);
    bool isHeld = report.state() == wire::ENDPOINT_SERVING && !m_versions.isKnown(report);
    if (isHeld) {
        m_versions.hold(report);
        confirmVersion(report);
    } else {
        m_versions.drop(report.id());
    }
    auto reassertionsBefore = m_directory.reassertions();
    bool changed = !isHeld && m_directory.applyReport(report, now);
    if (m_directory.reassertions() != reassertionsBefore) {
        m_metrics.count("endpoint_reasserted");
        logEvent("endpoint_reasserted", { { "endpoint", report.id() }, { "born", report.born_ms() }, { "sequence", report.sequence() }, { "address", report.address() }, { "service", report.service() } });
    }
    m_blocks.onReport(report, now);
    if (changed)
        updateBlocks();
    return changed || m_blocks.version() != blocksBefore;
}

void entry_coordinator::confirmVersion(const wire::endpoint_report& report)
{
    if (!m_versions.shouldAsk(report, m_clock.now()))
        return;
    for (const auto& address : m_replica.otherVoters()) {
        wire::envelope message;
        *message.mutable_report_endpoint()->mutable_report() = report;
        m_network.call(address, std::move(message), confirmTimeout, [this, address, report](const wire::envelope* reply) {
            if (!reply || !reply->has_report_endpoint_reply())
                return;
            m_versions.recordKnownAt(address, report);
            releaseHeldReports();
        });
    }
}

void entry_coordinator::releaseHeldReports()
{
    auto majority = m_replica.voters() / 2 + 1;
    auto released = m_versions.release(m_replica.otherVoters(), m_replica.isVoter() ? majority - 1 : majority);
    if (released.empty())
        return;
    logEvent("software_versions_known", { { "endpoints", released.size() }, { "service", released.front().service() }, { "software_version", released.front().software_version() } });
    m_metrics.count("software_versions_known");
    for (const auto& report : released) {
        if (applyReport(report))
            pushReported(report);
    }
}

void entry_coordinator::applyLimit(const wire::endpoint_limit& limit)
{
    if (!m_replica.isLeader() || !m_directory.applyLimit(limit, m_clock.now()))
        return;
    logEvent("endpoint_limit_applied", { { "endpoint", limit.id() }, { "limited", limit.limited() ? 1 : 0 }, { "calls_per_second", fmt::format("{:.3f}", limit.calls_per_second()) }, { "age_ms", limit.age_ms() } });
    m_metrics.count("endpoint_limit_applied");
    armTimer(m_announcementTimer, announcementDelay, &entry_coordinator::announceEndpoints);
}

void entry_coordinator::updateBlocks()
{
    auto leaderSince = m_replica.isLeader() ? m_leaderSince : time_point::max();
    m_blocks.updateFromDirectory(m_directory, leaderSince, m_clock.now());
}

void entry_coordinator::onCrash(const wire::envelope& message, const peer_network::peer& from)
{
    recordCrash(message.crash());
    if (message.call() == 0)
        return;
    wire::envelope reply;
    reply.mutable_crash_reply()->set_crashes(m_blocks.crashCount(message.crash().fingerprint()));
    peer_network::reply(from, message, std::move(reply));
}

void entry_coordinator::recordCrash(wire::crash_report report)
{
    // Entries of earlier versions pass on what the caller sent, and control processes of earlier versions can't read it.
    report.set_request_id(toPlainIdentifier(report.request_id(), maxReportedRequestIdBytes));
    auto blocksBefore = m_blocks.version();
    if (!m_blocks.addSuspectedCrash(report, m_clock.now()) || !m_replica.isLeader())
        return;
    logEvent("crash_suspected", { { "request", report.request_id() }, { "endpoint", report.endpoint() }, { "fingerprint", report.fingerprint() }, { "crashes", m_blocks.crashCount(report.fingerprint()) }, { "age_ms", report.age_ms() } });
    m_metrics.count("crash_suspected");
    wire::envelope message;
    *message.mutable_crash() = std::move(report);
    sendToPeers(message);
    if (m_blocks.version() != blocksBefore)
        pushChanges();
}

void entry_coordinator::sendToPeers(const wire::envelope& message)
{
    for (const auto& address : m_replica.peers())
        m_network.send(address, message);
}

void entry_coordinator::recordPartStatuses(const google::protobuf::RepeatedPtrField<wire::prompt_part_status>& statuses, const entry_session& session)
{
    auto blocksBefore = m_blocks.version();
    m_blocks.recordStatuses(session.number, statuses, m_clock.now());
    if (m_blocks.version() != blocksBefore)
        pushChanges();
}

void entry_coordinator::recordSuccesses(const google::protobuf::RepeatedPtrField<wire::request_success>& successes)
{
    auto blocksBefore = m_blocks.version();
    if (!m_blocks.recordSuccesses(successes, m_clock.now()) || !m_replica.isLeader())
        return;
    logEvent("crash_taken_back", { { "requests_told", successes.size() }, { "suspected", m_blocks.blocks().suspected_requests_size() }, { "blocked", m_blocks.blocks().requests_size() } });
    m_metrics.count("crash_taken_back");
    wire::envelope message;
    *message.mutable_prompt_parts()->mutable_requests() = successes;
    sendToPeers(message);
    if (m_blocks.version() != blocksBefore)
        pushChanges();
}

void entry_coordinator::onReport(const wire::envelope& message, const peer_network::peer& from)
{
    const auto& report = message.report_endpoint().report();
    auto valid = checkReport(report);
    if (!valid) {
        m_metrics.count("report_invalid");
        logEvent("report_invalid", { { "peer", from->peerAddress() }, { "error", valid.error().message } });
    } else if (applyReport(report)) {
        pushReported(report);
    }
    if (message.call() == 0)
        return;
    wire::envelope reply;
    reply.mutable_report_endpoint_reply()->set_taken(valid && m_replica.isLeader());
    peer_network::reply(from, message, std::move(reply));
}

} // namespace pistachiolatch
