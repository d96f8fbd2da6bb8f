#include "coordination/control_link.h"

namespace pistachiolatch {

namespace {
    /// Several syncs fit into a lease, so that a lost one or an election does not end it.
    constexpr milliseconds syncInterval { 500 };
    /// An answer that takes longer means a leader that is down or cut off; the others are asked meanwhile.
    constexpr milliseconds syncTimeout { 300 };
    /// The same on a link whose answers take long at all times: as many round trips, up to a bound.
    constexpr int silentRoundTrips = 4;
    constexpr milliseconds longestSyncTimeout { 1000 };
    /// An answer is good for this long after others were asked. Dropped as late, the answers of a slow link never count,
    /// and the entry serves nobody for as long as the link stays slow.
    constexpr milliseconds lateAnswer { 2500 };
    /// The same for a leader that left another question unanswered. Callers are content with a tenth of a second; a live
    /// leader answers within a few milliseconds.
    constexpr milliseconds suspectTimeout { 120 };
    /// Share of the newest answer in the learnt round trip, in eighths.
    constexpr int newestEighths = 1;
    /// Pause between two questions while no leader is known; an election takes about a second.
    constexpr milliseconds searchPause { 80 };
    /// Share of the bound on changes for which an entry goes on with a superseded configuration; the rest is for the way of
    /// the leader's word and for calls that were admitted just before. In quarters.
    constexpr int supersededQuarters = 3;
    /// A plan that takes longer than it was to wait is done without: an entry can place a call by itself, only less well.
    constexpr milliseconds planTimeout { 60 };
}

control_link::control_link(boost::asio::io_context& context, peer_network& network, const clock_source& clock, metrics& counters,
    control_link_settings settings, configuration_decoder decode, endpoint_listener& endpoints)
    : m_network(network)
    , m_clock(clock)
    , m_metrics(counters)
    , m_settings(std::move(settings))
    , m_decode(std::move(decode))
    , m_endpoints(endpoints)
    , m_timer(context)
    , m_silenceTimer(context)
    , m_fetchTimer(context)
{
    addControls(m_settings.controls);
}

void control_link::start()
{
    syncNow(silenceAfter());
}

milliseconds control_link::silenceAfter() const
{
    return std::clamp(m_roundTrip * silentRoundTrips, syncTimeout, longestSyncTimeout);
}

void control_link::suspectLeader()
{
    if (m_suspecting || m_leader.empty() || m_leaving)
        return;
    m_suspecting = true;
    m_timer.cancel();
    syncNow(suspectTimeout);
}

void control_link::stop()
{
    m_timer.cancel();
    m_silenceTimer.cancel();
    m_fetchTimer.cancel();
    m_leaving = true;
}

void control_link::addControls(const std::vector<std::string>& addresses)
{
    m_controls.insert(addresses.begin(), addresses.end());
}

std::string control_link::nextControl()
{
    if (!m_leader.empty())
        return m_leader;
    if (!m_hint.empty())
        return std::exchange(m_hint, {});
    if (m_controls.empty())
        return {};
    auto next = m_controls.upper_bound(m_lastAsked);
    return next == m_controls.end() ? *m_controls.begin() : *next;
}

void control_link::scheduleSync(milliseconds delay)
{
    if (m_leaving)
        return;
    m_timer.expires_after(delay);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            syncNow(silenceAfter());
    });
}

void control_link::syncNow(milliseconds timeout)
{
    auto address = nextControl();
    if (address.empty()) {
        scheduleSync(syncInterval);
        return;
    }
    m_lastAsked = address;
    wire::envelope message;
    auto& sync = *message.mutable_entry_sync();
    sync.set_document_version(m_fetch.held().version());
    sync.set_takes_pieces(true);
    sync.set_directory_source(m_directorySource);
    sync.set_directory_version(m_directoryVersion);
    for (const auto& [fingerprint, certain] : m_blocked) {
        auto* block = sync.mutable_blocked()->add_requests();
        block->set_fingerprint(fingerprint);
        block->set_certain(certain);
    }
    m_endpoints.fillLoad(*sync.mutable_load());
    m_endpoints.fillCalls(*sync.mutable_calls());
    sync_question question { ++m_lastSync, address, m_clock.now() };
    m_awaitedSync = question.number;
    m_silenceTimer.expires_after(timeout);
    m_silenceTimer.async_wait([this, question](boost::system::error_code error) {
        if (!error && m_awaitedSync == question.number)
            onSilence(question);
    });
    m_network.call(address, std::move(message), lateAnswer, [this, question](const wire::envelope* reply) { onReply(reply, question); });
}

void control_link::onSilence(const sync_question& question)
{
    m_awaitedSync = 0;
    m_suspecting = false;
    if (question.asked == m_leader)
        noteLeader({});
    scheduleSync(searchPause);
}

void control_link::onReply(const wire::envelope* reply, const sync_question& question)
{
    if (m_leaving)
        return;
    bool awaited = m_awaitedSync == question.number;
    if (awaited)
        m_silenceTimer.cancel();
    if (!reply || !reply->has_entry_update()) {
        if (awaited)
            onSilence(question);
        return;
    }
    if (awaited) {
        m_awaitedSync = 0;
        m_suspecting = false;
    }
    const auto& update = reply->entry_update();
    auto took = std::chrono::duration_cast<milliseconds>(m_clock.now() - question.sentAt);
    m_roundTrip += (took - m_roundTrip) * newestEighths / 8;
    addControls({ update.controls().begin(), update.controls().end() });
    if (!update.leads()) {
        if (awaited)
            onOtherLeader(update, question);
        return;
    }
    if (awaited || m_leader.empty())
        noteLeader(question.asked);
    takeUpdate(update, question.sentAt);
    m_endpoints.onLoad(update.load());
    // What the leader knew was the newest when it was last confirmed; the lease counts from before that moment, so
    // that neither the way of the question nor that of the answer lengthens it.
    m_lease.vouch(update.document_version(), question.sentAt - milliseconds(update.confirmed_age_ms()) + m_settings.lease);
    if (awaited)
        scheduleSync(syncInterval);
}

void control_link::onOtherLeader(const wire::entry_update& update, const sync_question& question)
{
    if (question.asked == m_leader)
        noteLeader({});
    if (!m_leader.empty()) {
        scheduleSync(syncInterval);
        return;
    }
    bool elsewhere = !update.leader_address().empty() && update.leader_address() != question.asked;
    m_hint = elsewhere ? update.leader_address() : std::string();
    scheduleSync(elsewhere ? milliseconds(1) : searchPause);
}

void control_link::noteLeader(const std::string& leader)
{
    if (leader == m_leader)
        return;
    logEvent(leader.empty() ? "control_lost" : "control_found", { { "leader", leader.empty() ? m_leader : leader }, { "known", m_controls.size() } });
    m_metrics.count(leader.empty() ? "control_lost" : "control_found");
    m_leader = leader;
    failPlans();
    m_fetch.leaderChanged();
    fetchMore();
}

bool control_link::onMessage(const wire::envelope& message)
{
    if (message.has_document_piece())
        takePiece(message.document_piece());
    else if (message.has_entry_update())
        takeUpdate(message.entry_update(), m_clock.now());
    else
        return false;
    return true;
}

void control_link::takeUpdate(const wire::entry_update& update, time_point agesFrom)
{
    // A leader of an earlier version sends the document whole.
    if (update.has_document() && m_fetch.takeWhole(update.document()))
        applyDocument();
    if (m_fetch.announce(update.document_version()))
        logEvent("configuration_announced", { { "version", update.document_version() }, { "held", m_fetch.held().version() }, { "age_ms", update.document_age_ms() } });
    auto acceptedAt = agesFrom - milliseconds(update.document_age_ms());
    m_lease.supersede(update.document_version(), acceptedAt + m_settings.changeBound * supersededQuarters / 4);
    fetchMore();
    if (update.entries() > 0)
        m_entries = update.entries();
    if (update.has_blocked()) {
        std::map<std::uint64_t, bool> blocked;
        for (const auto& block : update.blocked().requests())
            blocked[block.fingerprint()] = block.certain();
        if (blocked != m_blocked)
            logEvent("blocks_updated", { { "blocked", blocked.size() } });
        m_blocked = std::move(blocked);
    }
    if (update.directory_source() == 0)
        return;
    bool everything = update.directory_source() != m_directorySource;
    m_directorySource = update.directory_source();
    m_directoryVersion = update.directory_version();
    if (everything || update.endpoints_size() > 0)
        m_endpoints.onEndpoints(update.endpoints(), everything);
    if (!update.more_endpoints() || m_leader.empty())
        return;
    wire::envelope message;
    message.mutable_directory_ask()->set_source(m_directorySource);
    message.mutable_directory_ask()->set_version(m_directoryVersion);
    m_network.send(m_leader, std::move(message));
}

void control_link::takePiece(const wire::document_piece& piece)
{
    auto outcome = m_fetch.take(piece, m_clock.now());
    if (outcome == piece_outcome::Damaged)
        m_metrics.count("document_damaged");
    if (outcome == piece_outcome::Complete)
        applyDocument();
    if (outcome == piece_outcome::Complete && !m_fetch.wanted() && !m_leader.empty()) {
        wire::envelope message;
        *message.mutable_document_ask() = m_fetch.acknowledgement();
        m_network.send(m_leader, std::move(message));
    }
    fetchMore();
}

void control_link::fetchMore()
{
    if (m_leader.empty() || m_leaving)
        return;
    if (auto ask = m_fetch.due(m_clock.now())) {
        wire::envelope message;
        *message.mutable_document_ask() = std::move(*ask);
        m_network.send(m_leader, std::move(message));
    }
    auto due = m_fetch.nextDue();
    if (due == time_point::max()) {
        m_fetchTimer.cancel();
        return;
    }
    m_fetchTimer.expires_after(due - m_clock.now());
    m_fetchTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            fetchMore();
    });
}

void control_link::applyDocument()
{
    const auto& document = m_fetch.held();
    auto decoded = m_decode(document.body());
    if (!decoded) {
        // Its lease ends: a configuration that can't be read may withdraw keys that the one in force here has.
        logEvent("document_unreadable", { { "version", document.version() }, { "error", decoded.error().message } });
        m_metrics.count("document_unreadable");
        return;
    }
    logEvent("configuration_applied", { { "version", document.version() }, { "before", m_table ? m_table->version() : 0 }, { "routes", decoded.value().routes.size() } });
    m_table = std::make_shared<route_table>(std::move(decoded.value()));
    m_lease.hold(document.version());
}

void control_link::plan(wire::engine_plan_request ask, std::function<void(std::optional<wire::engine_plan_reply>)> handler)
{
    if (m_leader.empty()) {
        handler(std::nullopt);
        return;
    }
    wire::envelope message;
    auto patience = milliseconds(ask.patience_ms());
    *message.mutable_engine_plan_request() = std::move(ask);
    auto id = ++m_lastPlan;
    m_plans[id] = std::move(handler);
    m_network.call(m_leader, std::move(message), patience + planTimeout, [this, id](const wire::envelope* reply) {
        auto found = m_plans.find(id);
        if (found == m_plans.end())
            return;
        auto asked = std::move(found->second);
        m_plans.erase(found);
        bool planned = reply && reply->has_engine_plan_reply() && !reply->engine_plan_reply().unavailable();
        asked(planned ? std::optional(reply->engine_plan_reply()) : std::nullopt);
    });
}

void control_link::failPlans()
{
    // A question that waits for memory at a leader that is gone would wait to its end for nothing.
    auto plans = std::exchange(m_plans, {});
    for (auto& [id, handler] : plans)
        handler(std::nullopt);
}

void control_link::release(const ended_try& ended)
{
    if (m_leader.empty())
        return;
    wire::envelope message;
    auto& release = *message.mutable_engine_release();
    release.set_call_id(ended.callId);
    release.set_generated(ended.figures.generated);
    release.set_generating_ms(static_cast<std::uint32_t>(ended.figures.generating.count()));
    release.set_read_tokens(ended.figures.readTokens);
    release.set_reading_ms(static_cast<std::uint32_t>(ended.figures.reading.count()));
    release.set_first_event_ms(static_cast<std::uint32_t>(ended.figures.firstEvent.count()));
    for (const auto& id : ended.outcomes.succeeded)
        release.add_succeeded(id);
    for (const auto& id : ended.outcomes.failed)
        release.add_failed(id);
    for (const auto& id : ended.outcomes.refused)
        release.add_refused(id);
    m_network.send(m_leader, std::move(message));
}

void control_link::reportUnreachable(const std::string& endpoint, std::uint64_t born)
{
    if (m_leader.empty())
        return;
    wire::envelope message;
    message.mutable_endpoint_unreachable()->set_id(endpoint);
    message.mutable_endpoint_unreachable()->set_born_ms(born);
    m_network.send(m_leader, std::move(message));
}

void control_link::tellCrash(const wire::crash_report& report, std::function<void(std::uint32_t)> handler)
{
    if (m_leader.empty()) {
        handler(0);
        return;
    }
    wire::envelope message;
    *message.mutable_crash() = report;
    m_network.call(m_leader, std::move(message), planTimeout, [handler = std::move(handler)](const wire::envelope* reply) {
        handler(reply && reply->has_crash_reply() ? reply->crash_reply().crashes() : 0);
    });
}

request_block control_link::blockOf(std::uint64_t fingerprint) const
{
    auto found = m_blocked.find(fingerprint);
    if (found == m_blocked.end())
        return request_block::None;
    return found->second ? request_block::Certain : request_block::Suspected;
}

void control_link::sendLeaving()
{
    if (m_leader.empty())
        return;
    wire::envelope message;
    message.mutable_entry_sync()->set_leaving(true);
    m_network.send(m_leader, std::move(message));
}

} // namespace pistachiolatch
