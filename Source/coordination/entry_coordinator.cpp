#include "coordination/entry_coordinator.h"

namespace pistachiolatch {

namespace {
    constexpr milliseconds expiryInterval { 500 };
    /// How long a new leader listens before it places calls. Until every entry has told what it has running, engines look
    /// empty and would be overfilled; entries place by themselves meanwhile.
    constexpr milliseconds learnCalls { 400 };
    /// An election takes about half a second; one in which votes are split, twice that.
    constexpr milliseconds electionLasts { 1500 };
    /// How long the leader may take to confirm that an endpoint leaves. Endpoints try the next VM after a second.
    constexpr milliseconds confirmTimeout { 700 };
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
    , m_blocks({ settings.directory.silentAfter })
    , m_pieceTimer(context)
    , m_planner(generateIncarnation())
    , m_planTimer(context)
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
    m_planTimer.cancel();
    m_pieceTimer.cancel();
}

void entry_coordinator::onTimer()
{
    auto now = m_clock.now();
    std::vector<peer_connection*> silent;
    for (const auto& [entry, session] : m_entries) {
        if (now - session.heardAt > m_settings.entryLease)
            silent.push_back(entry);
    }
    for (auto* entry : silent)
        forgetEntry(entry);
    auto blocksBefore = m_blocks.version();
    bool changed = m_directory.expire(now);
    m_blocks.updateFromDirectory(m_directory, now);
    if (changed || m_blocks.version() != blocksBefore)
        pushChanges();
    balanceStages();
}

bool entry_coordinator::onMessage(const wire::envelope& message, const peer_network::peer& from)
{
    switch (message.body_case()) {
    case wire::envelope::kEntrySync:
        onSync(message, from);
        return true;
    case wire::envelope::kDocumentAsk:
        onDocumentAsk(message.document_ask(), from);
        return true;
    case wire::envelope::kDirectoryAsk:
        onDirectoryAsk(message.directory_ask(), from);
        return true;
    case wire::envelope::kReportEndpoint:
        onReport(message, from);
        return true;
    case wire::envelope::kCrash:
        onCrash(message, from);
        return true;
    case wire::envelope::kEndpointUnreachable:
        if (m_directory.doubt(message.endpoint_unreachable().id(), message.endpoint_unreachable().born_ms()))
            pushChanges();
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
    default:
        return false;
    }
}

void entry_coordinator::onPeerLost(const peer_network::peer& lost)
{
    forgetEntry(lost.get());
    std::erase_if(m_waiting, [&](const auto& item) { return item.second.peer == lost; });
    std::erase_if(m_waitingPlans, [&](const auto& item) { return item.second.peer == lost; });
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
    if (m_replica.leads() && age) {
        auto& session = m_entries[from.get()];
        if (session.name.empty())
            session.name = std::to_string(++m_lastEntry);
        session.peer = from;
        session.heardAt = m_clock.now();
        session.documentVersion = sync.document_version();
        session.takesPieces = sync.takes_pieces();
        session.directorySource = sync.directory_source();
        session.directoryVersion = sync.directory_version();
        m_loads.replace(session.name, sync.load());
        // A new leader starts without blocks; during its first lease period it adopts the certain blocks that entries hold.
        if (m_clock.now() - m_leadsSince < m_settings.entryLease)
            m_blocks.adopt(sync.blocked(), m_clock.now());
        m_planner.takeCalls(session.name, { sync.calls().begin(), sync.calls().end() }, m_clock.now());
        if (sync.leaving())
            forgetEntry(from.get());
        update.set_leads(true);
        update.set_confirmed_age_ms(static_cast<std::uint32_t>(age->count()));
        if (!sync.leaving()) {
            fillUpdate(update, session);
            m_loads.fillOthers(session.name, *update.mutable_load());
        }
    }
    peer_network::reply(from, message, std::move(reply));
}

void entry_coordinator::onDocumentChanged()
{
    m_shelf.put(m_replica.document());
    configureLimits();
    pushChanges();
}

void entry_coordinator::onLeadershipChanged(bool leads)
{
    m_entries.clear();
    m_pacer.clear();
    m_loads.clear();
    m_waiting.clear();
    m_waitingPlans.clear();
    m_queue.clear();
    m_planner = engine_planner(generateIncarnation());
    m_planned = 0;
    m_limits.reset();
    m_limited.clear();
    m_blocks.clear();
    if (!leads)
        return;
    m_shelf.put(m_replica.document());
    m_leadsSince = m_clock.now();
    m_planFrom = m_leadsSince + learnCalls;
    m_limits.emplace(m_clock.now());
    configureLimits();
}

void entry_coordinator::forgetEntry(peer_connection* entry)
{
    auto found = m_entries.find(entry);
    if (found == m_entries.end())
        return;
    m_planner.forgetEntry(found->second.name);
    m_queue.forget(found->second.name);
    m_loads.forget(found->second.name);
    m_pacer.forget(entry);
    m_entries.erase(found);
}

void entry_coordinator::report(const wire::endpoint_report& report, std::function<void(bool)> handler)
{
    if (takeReport(report))
        pushChanges();
    bool leaves = report.state() != wire::ENDPOINT_SERVING;
    auto leader = m_replica.leaderAddress();
    bool leadsHere = m_replica.leads();
    for (const auto& address : m_replica.peers()) {
        if (leaves && address == leader)
            continue;
        wire::envelope message;
        *message.mutable_report_endpoint()->mutable_report() = report;
        m_network.send(address, std::move(message));
    }
    // A process cut off from the leader for long would take an endpoint's reports without anybody learning of them, and
    // the endpoint would count as silent. Unconfirmed, it turns to another process. An election is no reason: the next
    // leader hears what is reported meanwhile.
    auto now = m_clock.now();
    if (!leader.empty())
        m_leaderKnownAt = now;
    bool cutOff = leader.empty() && m_leaderKnownAt != time_point {} && now - m_leaderKnownAt > electionLasts;
    if (leadsHere || (!leaves && !cutOff)) {
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

bool entry_coordinator::takeReport(const wire::endpoint_report& report)
{
    auto now = m_clock.now();
    auto blocksBefore = m_blocks.version();
    bool changed = m_directory.take(report, now);
    m_blocks.onReport(report, now);
    if (changed)
        m_blocks.updateFromDirectory(m_directory, now);
    return changed || m_blocks.version() != blocksBefore;
}

void entry_coordinator::onCrash(const wire::envelope& message, const peer_network::peer& from)
{
    wire::envelope reply;
    auto& answer = *reply.mutable_crash_reply();
    if (m_replica.leads()) {
        auto blocksBefore = m_blocks.version();
        answer.set_crashes(m_blocks.suspect(message.crash(), m_clock.now()));
        logEvent("crash_suspected", { { "request", message.crash().request_id() }, { "endpoint", message.crash().endpoint() }, { "fingerprint", message.crash().fingerprint() }, { "crashes", answer.crashes() } });
        m_metrics.count("crash_suspected");
        if (m_blocks.version() != blocksBefore)
            pushChanges();
    }
    peer_network::reply(from, message, std::move(reply));
}

void entry_coordinator::onReport(const wire::envelope& message, const peer_network::peer& from)
{
    if (takeReport(message.report_endpoint().report()))
        pushChanges();
    if (message.call() == 0)
        return;
    wire::envelope reply;
    reply.mutable_report_endpoint_reply()->set_taken(m_replica.leads());
    peer_network::reply(from, message, std::move(reply));
}

} // namespace pistachiolatch
