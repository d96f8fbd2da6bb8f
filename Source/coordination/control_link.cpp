#include "coordination/control_link.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Several syncs fit into a lease, so that a lost one or an election does not let it expire.
    constexpr milliseconds syncInterval { 500 };
    /// Without a reply for this long, the leader counts as down or cut off and the other control processes are asked.
    constexpr milliseconds minSyncTimeout { 300 };
    /// The timeout grows with the average round trip, up to a bound, for slow links.
    constexpr int syncTimeoutRoundTrips = 4;
    constexpr milliseconds maxSyncTimeout { 1000 };
    /// A reply is still accepted for this long, although other control processes were asked meanwhile. If late replies
    /// were dropped, an entry on a slow link would never receive any and would refuse all requests.
    constexpr milliseconds syncReplyLifetime { 2500 };
    /// Sync timeout for a leader that left another request unanswered. Callers tolerate a tenth of a second; a live leader
    /// replies within a few milliseconds.
    constexpr milliseconds probeTimeout { 120 };
    /// Weight of the newest sample in the average round trip, in eighths.
    constexpr int roundTripWeightEighths = 1;
    /// Interval of requests while no leader is known; an election takes about a second.
    constexpr milliseconds leaderSearchInterval { 80 };
    /// Share of the bound on changes, in quarters, for which an entry keeps using a superseded configuration. The rest covers
    /// network delay and calls that were admitted just before.
    constexpr int supersededShareQuarters = 3;
    /// Time for the leader's reply beyond any wait that was requested. Without a plan the entry places the call itself, only
    /// with less information.
    constexpr milliseconds leaderReplyTimeout { 60 };
    constexpr milliseconds pathProbeTimeout { 1000 };
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
    , m_syncTimeoutTimer(context)
    , m_fetchTimer(context)
    , m_limits(generateIncarnation())
    , m_origins(network, clock, [this] { return known_controls { { m_search.controls().begin(), m_search.controls().end() }, m_leader }; })
{
    addControls(m_settings.controls);
}

void control_link::start()
{
    sendSync(syncTimeout());
}

milliseconds control_link::syncTimeout() const
{
    return std::clamp(m_roundTrip * syncTimeoutRoundTrips, minSyncTimeout, maxSyncTimeout);
}

void control_link::probeLeader()
{
    if (m_probing || m_leader.empty() || m_leaving)
        return;
    m_probing = true;
    m_timer.cancel();
    sendSync(probeTimeout);
}

void control_link::stop()
{
    m_timer.cancel();
    m_syncTimeoutTimer.cancel();
    m_fetchTimer.cancel();
    m_leaving = true;
}

void control_link::addControls(const std::vector<std::string>& addresses)
{
    m_search.addControls(addresses);
}

void control_link::scheduleSync(milliseconds delay)
{
    if (m_leaving)
        return;
    m_timer.expires_after(delay);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            sendSync(syncTimeout());
    });
}

void control_link::sendSync(milliseconds timeout)
{
    auto address = m_leader.empty() ? m_search.next() : m_leader;
    if (address.empty()) {
        scheduleSync(syncInterval);
        return;
    }
    wire::envelope message;
    auto& sync = *message.mutable_entry_sync();
    sync.set_document_version(m_fetch.document().version());
    sync.set_takes_pieces(true);
    m_updates.fillHeld(sync);
    for (const auto& [fingerprint, certain] : m_blocked) {
        auto* block = sync.mutable_blocked()->add_requests();
        block->set_fingerprint(fingerprint);
        block->set_certain(certain);
    }
    m_parts.fillHeld(*sync.mutable_blocked(), m_clock.now());
    m_parts.history().fillStatuses(*sync.mutable_prompt_parts(), m_clock.now());
    sync.set_evacuation_revision(m_evacuations.revision());
    m_crashes.expire(m_clock.now());
    m_crashes.fillUnreported(*sync.mutable_crashes(), m_clock.now());
    m_requestSuccesses.fillSuccesses(*sync.mutable_request_successes(), m_crashes.unreportedRequests(), m_clock.now());
    m_limits.fillUnreported(*sync.mutable_limits(), m_clock.now());
    m_origins.fillUnreported(*sync.mutable_origins());
    m_endpoints.fillLoad(*sync.mutable_load());
    m_endpoints.fillCalls(*sync.mutable_calls());
    if (m_relays)
        *sync.mutable_relay() = m_relays->offer();
    sync_request request { ++m_lastSync, address, m_clock.now() };
    m_pendingSync = request.number;
    m_syncTimeoutTimer.expires_after(timeout);
    m_syncTimeoutTimer.async_wait([this, request](boost::system::error_code error) {
        if (!error && m_pendingSync == request.number)
            onSyncTimeout(request);
    });
    m_network.call(address, std::move(message), syncReplyLifetime, [this, request](const wire::envelope* reply) { onSyncReply(reply, request); });
}

void control_link::onSyncTimeout(const sync_request& request)
{
    m_pendingSync = 0;
    m_probing = false;
    if (request.address == m_leader)
        setLeader({});
    scheduleSync(leaderSearchInterval);
}

void control_link::onSyncReply(const wire::envelope* reply, const sync_request& request)
{
    if (m_leaving)
        return;
    bool isPending = m_pendingSync == request.number;
    if (isPending)
        m_syncTimeoutTimer.cancel();
    if (!reply || !reply->has_entry_update()) {
        if (isPending)
            onSyncTimeout(request);
        return;
    }
    if (isPending) {
        m_pendingSync = 0;
        m_probing = false;
    }
    const auto& update = reply->entry_update();
    if (update.leads() && !admit(update)) {
        if (isPending)
            onNotLeader(update, request);
        return;
    }
    auto roundTrip = std::chrono::duration_cast<milliseconds>(m_clock.now() - request.sentAt);
    m_roundTrip += (roundTrip - m_roundTrip) * roundTripWeightEighths / 8;
    addControls({ update.controls().begin(), update.controls().end() });
    if (!update.leads()) {
        if (isPending)
            onNotLeader(update, request);
        return;
    }
    if (isPending || m_leader.empty())
        setLeader(request.address);
    applyUpdate(update, request.sentAt);
    if (request.address == m_leader) {
        m_crashes.markReported(request.sentAt);
        m_limits.markReported(request.sentAt);
        m_origins.markReported(request.sentAt);
    }
    m_endpoints.onLoad(update.load());
    if (m_relays && update.has_relays())
        m_relays->onOffers(update.relays());
    // The version was the newest when the leader last confirmed its leadership. The lease starts at the send time minus
    // the age of that confirmation, so that network delay never extends it.
    m_lease.confirm(update.document_version(), request.sentAt - milliseconds(update.confirmed_age_ms()) + m_settings.lease);
    if (isPending)
        scheduleSync(syncInterval);
}

void control_link::onNotLeader(const wire::entry_update& update, const sync_request& request)
{
    if (request.address == m_leader)
        setLeader({});
    if (!m_leader.empty()) {
        scheduleSync(syncInterval);
        return;
    }
    bool hasHint = m_search.onNotLeader(request.address, update.leader_address());
    scheduleSync(hasHint ? milliseconds(1) : leaderSearchInterval);
}

void control_link::setLeader(const std::string& leader)
{
    if (leader == m_leader)
        return;
    logEvent(leader.empty() ? "control_lost" : "control_found", { { "leader", leader.empty() ? m_leader : leader }, { "known", m_search.size() } });
    m_metrics.count(leader.empty() ? "control_lost" : "control_found");
    m_leader = leader;
    m_search.restart();
    m_queuedServices.clear();
    m_crashes.onLeaderChanged();
    m_limits.onLeaderChanged();
    m_origins.onLeaderChanged();
    failPlanRequests();
    m_fetch.onLeaderChanged();
    continueFetch();
}

bool control_link::onMessage(const wire::envelope& message)
{
    if (message.has_document_piece())
        handlePiece(message.document_piece());
    else if (!message.has_entry_update())
        return false;
    else if (admit(message.entry_update()))
        applyUpdate(message.entry_update(), m_clock.now());
    return true;
}

bool control_link::admit(const wire::entry_update& update)
{
    if (m_updates.admit(update))
        return true;
    logEvent("update_outdated", { { "term", update.term() }, { "known_term", m_updates.term() }, { "directory_version", update.directory_version() }, { "leader", m_leader } });
    m_metrics.count("update_outdated");
    return false;
}

void control_link::applyUpdate(const wire::entry_update& update, time_point agesFrom)
{
    // Leaders of earlier versions send the whole document.
    if (update.has_document() && m_fetch.replaceDocument(update.document()))
        applyDocument();
    if (m_fetch.announce(update.document_version()))
        logEvent("configuration_announced", { { "version", update.document_version() }, { "held", m_fetch.document().version() }, { "age_ms", update.document_age_ms() } });
    auto acceptedAt = agesFrom - milliseconds(update.document_age_ms());
    m_lease.supersede(update.document_version(), acceptedAt + m_settings.changeBound * supersededShareQuarters / 4);
    continueFetch();
    m_queuedServices = { update.queued_services().begin(), update.queued_services().end() };
    if (update.entries() > 0) {
        m_entries = update.entries();
        if (m_entryCountHandler)
            m_entryCountHandler(m_entries);
    }
    if (update.has_blocked()) {
        std::map<std::uint64_t, bool> blocked;
        for (const auto& block : update.blocked().requests())
            blocked[block.fingerprint()] = block.certain();
        if (blocked != m_blocked || m_parts.blockCount() != static_cast<std::size_t>(update.blocked().parts_size()))
            logEvent("blocks_updated", { { "blocked", blocked.size() }, { "blocked_parts", update.blocked().parts_size() } });
        m_blocked = std::move(blocked);
        m_updates.takeBlocks(update);
        bool hasKnownPart = m_parts.apply(update.blocked(), m_clock.now());
        bool hasKnownRequest = m_requestSuccesses.setSuspects(update.blocked().suspected_requests());
        if (hasKnownPart || hasKnownRequest)
            sendCrashKnowledge();
    }
    if (update.has_evacuations() && m_evacuations.load(update.evacuations())) {
        auto evacuated = m_evacuations.evacuated();
        logEvent("evacuations_updated", { { "revision", m_evacuations.revision() }, { "evacuated", fmt::format("{}", fmt::join(evacuated, ",")) } });
        m_metrics.gauge("data_centres_evacuated", static_cast<double>(evacuated.size()));
        m_endpoints.onEvacuated(evacuated);
    }
    applyDirectory(update);
}

void control_link::applyDirectory(const wire::entry_update& update)
{
    auto step = m_updates.takeDirectory(update);
    if (step == directory_step::None)
        return;
    if (step == directory_step::Gap) {
        logEvent("directory_incomplete", { { "base", update.directory_base() }, { "held", m_updates.nextRequest().version() }, { "leader", m_leader } });
        m_metrics.count("directory_incomplete");
    } else {
        for (const auto& row : update.endpoints())
            m_limits.onRow(row, m_clock.now());
        if (step == directory_step::Begins || update.endpoints_size() > 0)
            m_endpoints.onEndpoints(update.endpoints(), step == directory_step::Begins);
    }
    bool isMissingMore = step == directory_step::Gap || update.more_endpoints();
    if (!isMissingMore || m_leader.empty())
        return;
    wire::envelope message;
    *message.mutable_directory_ask() = m_updates.nextRequest();
    m_network.send(m_leader, std::move(message));
}

void control_link::handlePiece(const wire::document_piece& piece)
{
    auto outcome = m_fetch.handlePiece(piece, m_clock.now());
    if (outcome == piece_outcome::Corrupted)
        m_metrics.count("document_damaged");
    if (outcome == piece_outcome::Complete)
        applyDocument();
    if (outcome == piece_outcome::Complete && !m_fetch.isBehind() && !m_leader.empty()) {
        wire::envelope message;
        *message.mutable_document_ask() = m_fetch.acknowledgement();
        m_network.send(m_leader, std::move(message));
    }
    continueFetch();
}

void control_link::continueFetch()
{
    if (m_leader.empty() || m_leaving)
        return;
    if (auto request = m_fetch.nextRequest(m_clock.now())) {
        wire::envelope message;
        *message.mutable_document_ask() = std::move(*request);
        m_network.send(m_leader, std::move(message));
    }
    auto due = m_fetch.nextRequestAt();
    if (due == time_point::max()) {
        m_fetchTimer.cancel();
        return;
    }
    m_fetchTimer.expires_after(due - m_clock.now());
    m_fetchTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            continueFetch();
    });
}

void control_link::applyDocument()
{
    const auto& document = m_fetch.document();
    auto decoded = m_decode(document.body());
    if (!decoded) {
        // The lease is not renewed: the unreadable configuration may withdraw keys that the applied one accepts.
        logEvent("document_unreadable", { { "version", document.version() }, { "error", decoded.error().message } });
        m_metrics.count("document_unreadable");
        return;
    }
    logEvent("configuration_applied", { { "version", document.version() }, { "before", m_table ? m_table->version() : 0 }, { "routes", decoded.value().routes.size() } });
    m_table = std::make_shared<route_table>(std::move(decoded.value()));
    m_lease.setApplied(document.version());
}

void control_link::requestPlan(wire::engine_plan_request request, std::function<void(std::optional<wire::engine_plan_reply>)> handler)
{
    if (m_leader.empty()) {
        handler(std::nullopt);
        return;
    }
    wire::envelope message;
    auto patience = milliseconds(request.patience_ms());
    *message.mutable_engine_plan_request() = std::move(request);
    auto id = ++m_lastPlan;
    m_plans[id] = std::move(handler);
    m_network.call(m_leader, std::move(message), patience + leaderReplyTimeout, [this, id](const wire::envelope* reply) {
        auto found = m_plans.find(id);
        if (found == m_plans.end())
            return;
        auto complete = std::move(found->second);
        m_plans.erase(found);
        bool planned = reply && reply->has_engine_plan_reply() && !reply->engine_plan_reply().unavailable();
        complete(planned ? std::optional(reply->engine_plan_reply()) : std::nullopt);
    });
}

void control_link::probePath(std::function<void(std::optional<path_sample>)> handler)
{
    // Any control process answers, also while none leads.
    const auto& controls = m_search.controls();
    auto next = controls.upper_bound(m_lastProbed);
    if (next == controls.end())
        next = controls.begin();
    if (next == controls.end() || m_leaving) {
        handler(std::nullopt);
        return;
    }
    auto address = m_leader.empty() ? *next : m_leader;
    m_lastProbed = address;
    wire::envelope message;
    message.mutable_ping();
    m_network.call(address, std::move(message), pathProbeTimeout, [handler = std::move(handler), address, sentAt = m_clock.now()](const wire::envelope* reply) {
        if (!reply) {
            handler(std::nullopt);
            return;
        }
        time_point receivedAt { std::chrono::microseconds(reply->pong().received_us()) };
        handler(path_sample { address, sentAt, receivedAt });
    });
}

void control_link::failPlanRequests()
{
    // The former leader won't reply any more, so waiting for engine memory there would only delay the calls.
    auto plans = std::exchange(m_plans, {});
    for (auto& [id, handler] : plans)
        handler(std::nullopt);
}

void control_link::reportFinished(const finished_attempt& attempt)
{
    if (m_leader.empty())
        return;
    wire::envelope message;
    auto& release = *message.mutable_engine_release();
    release.set_call_id(attempt.callId);
    release.set_generated(attempt.measurements.generatedTokens);
    release.set_generating_ms(saturatingCast<std::uint32_t>(attempt.measurements.generationTime.count()));
    release.set_read_tokens(attempt.measurements.prefillTokens);
    release.set_reading_ms(saturatingCast<std::uint32_t>(attempt.measurements.prefillTime.count()));
    release.set_first_event_ms(saturatingCast<std::uint32_t>(attempt.measurements.firstEventDelay.count()));
    for (const auto& id : attempt.outcomes.succeeded)
        release.add_succeeded(id);
    for (const auto& id : attempt.outcomes.failed)
        release.add_failed(id);
    for (const auto& id : attempt.outcomes.refused)
        release.add_refused(id);
    if (attempt.stated.slots() > 0)
        *release.mutable_stated() = attempt.stated;
    if (attempt.prefillStated.slots() > 0)
        *release.mutable_prefill_stated() = attempt.prefillStated;
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

void control_link::onResponse(const std::string& endpoint, std::uint64_t incarnation, std::optional<double> limit, time_point sentAt)
{
    if (!m_limits.onResponse(endpoint, incarnation, limit, sentAt, m_clock.now()))
        return;
    logEvent("endpoint_limit_named", { { "endpoint", endpoint }, { "limited", limit ? 1 : 0 }, { "calls_per_second", fmt::format("{:.3f}", limit.value_or(0)) }, { "leader", m_leader } });
    m_metrics.count("endpoint_limit_named");
    if (m_leader.empty())
        return;
    wire::envelope message;
    *message.mutable_endpoint_limit() = m_limits.statement(endpoint, m_clock.now());
    m_network.send(m_leader, std::move(message));
}

void control_link::reportCrash(const wire::crash_report& report, std::function<void(std::uint32_t)> handler)
{
    m_crashes.add(report, m_clock.now());
    auto seen = countSeenCrashes(report.fingerprint());
    logEvent("crash_seen", { { "request", report.request_id() }, { "endpoint", report.endpoint() }, { "fingerprint", report.fingerprint() }, { "crashes", seen }, { "leader", m_leader } });
    if (m_leader.empty()) {
        handler(seen);
        return;
    }
    wire::envelope message;
    *message.mutable_crash() = report;
    m_network.call(m_leader, std::move(message), leaderReplyTimeout, [handler = std::move(handler), seen](const wire::envelope* reply) {
        handler(std::max(seen, reply && reply->has_crash_reply() ? reply->crash_reply().crashes() : 0));
    });
}

std::uint32_t control_link::countSeenCrashes(std::uint64_t fingerprint) const
{
    return m_crashes.unreportedCrashes(fingerprint, m_requestSuccesses.lastBegunAt(fingerprint));
}

request_block control_link::blockOf(std::uint64_t fingerprint) const
{
    auto found = m_blocked.find(fingerprint);
    if (found == m_blocked.end())
        return countSeenCrashes(fingerprint) >= crash_tracker::crashesToBlock ? request_block::Suspected : request_block::None;
    return found->second ? request_block::Certain : request_block::Suspected;
}

request_block control_link::blockOfParts(const std::vector<std::uint64_t>& parts)
{
    if (parts.empty())
        return request_block::None;
    auto block = m_parts.blockOf(parts, m_clock.now());
    if (block != request_block::None || !m_leader.empty() || m_crashes.empty())
        return block;
    bool isSuspected = std::any_of(parts.begin(), parts.end(), [this](auto part) {
        return m_crashes.crashMoments(part, m_parts.history().lastSuccessAt(part)) >= crash_tracker::crashesToSuspectPart;
    });
    return isSuspected ? request_block::Suspected : request_block::None;
}

void control_link::recordPartsSucceeded(const std::vector<std::uint64_t>& parts)
{
    if (m_parts.recordSuccess(parts, m_clock.now()))
        sendCrashKnowledge();
}

void control_link::recordRequestSucceeded(std::uint64_t fingerprint, time_point begunAt)
{
    if (m_requestSuccesses.recordSuccess(fingerprint, begunAt, m_clock.now()))
        sendCrashKnowledge();
}

void control_link::sendCrashKnowledge()
{
    if (m_leader.empty())
        return;
    wire::envelope message;
    auto& report = *message.mutable_prompt_parts();
    m_parts.history().fillStatuses(*report.mutable_statuses(), m_clock.now());
    m_requestSuccesses.fillSuccesses(*report.mutable_requests(), m_crashes.unreportedRequests(), m_clock.now());
    m_network.send(m_leader, std::move(message));
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
