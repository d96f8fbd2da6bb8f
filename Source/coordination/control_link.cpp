#include "coordination/control_link.h"

namespace pistachiolatch {

namespace {
    /// Several syncs fit into a lease, so that a lost one or an election does not end it.
    constexpr milliseconds syncInterval { 500 };
    /// An answer that takes longer means a leader that is down or cut off; the others are asked meanwhile.
    constexpr milliseconds syncTimeout { 300 };
    /// The same for a leader that left another question unanswered. Callers are content with a tenth of a second; a live
    /// leader answers within a few milliseconds.
    constexpr milliseconds suspectTimeout { 120 };
    /// Pause between two questions while no leader is known; an election takes about a second.
    constexpr milliseconds searchPause { 80 };
    /// A plan that takes longer than it was to wait is done without: an entry can place a call by itself, only less well.
    constexpr milliseconds planTimeout { 60 };
}

control_link::control_link(boost::asio::io_context& context, peer_network& network, const clock_source& clock, metrics& counters,
    link_settings settings, configuration_decoder decode, endpoint_listener& endpoints)
    : m_network(network)
    , m_clock(clock)
    , m_metrics(counters)
    , m_settings(std::move(settings))
    , m_decode(std::move(decode))
    , m_endpoints(endpoints)
    , m_timer(context)
{
    learnControls(m_settings.controls);
}

void control_link::start()
{
    syncNow(syncTimeout);
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
    m_leaving = true;
}

void control_link::learnControls(const std::vector<std::string>& addresses)
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
            syncNow(syncTimeout);
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
    sync.set_document_version(m_table ? m_table->version() : 0);
    sync.set_directory_source(m_directorySource);
    sync.set_directory_version(m_directoryVersion);
    m_endpoints.fillLoad(*sync.mutable_load());
    m_endpoints.fillCalls(*sync.mutable_calls());
    auto sentAt = m_clock.now();
    m_network.call(address, std::move(message), timeout, [this, address, sentAt](const wire::envelope* reply) { onReply(reply, address, sentAt); });
}

void control_link::onReply(const wire::envelope* reply, const std::string& asked, time_point sentAt)
{
    if (m_leaving)
        return;
    m_suspecting = false;
    if (!reply || !reply->has_entry_update()) {
        if (asked == m_leader)
            noteLeader({});
        scheduleSync(searchPause);
        return;
    }
    const auto& update = reply->entry_update();
    learnControls({ update.controls().begin(), update.controls().end() });
    if (!update.leads()) {
        noteLeader({});
        bool elsewhere = !update.leader_address().empty() && update.leader_address() != asked;
        m_hint = elsewhere ? update.leader_address() : std::string();
        scheduleSync(elsewhere ? milliseconds(1) : searchPause);
        return;
    }
    noteLeader(asked);
    takeUpdate(update);
    m_endpoints.onLoad(update.load());
    // What the leader knew was the newest when it was last confirmed; the lease counts from before that moment, so
    // that neither the way of the question nor that of the answer lengthens it.
    auto until = sentAt - milliseconds(update.confirmed_age_ms()) + m_settings.lease;
    m_validUntil = std::max(m_validUntil, until);
    scheduleSync(syncInterval);
}

void control_link::noteLeader(const std::string& leader)
{
    if (leader == m_leader)
        return;
    logEvent(leader.empty() ? "control_lost" : "control_found", { { "leader", leader.empty() ? m_leader : leader }, { "known", m_controls.size() } });
    m_metrics.count(leader.empty() ? "control_lost" : "control_found");
    m_leader = leader;
    failPlans();
}

bool control_link::onMessage(const wire::envelope& message)
{
    if (!message.has_entry_update())
        return false;
    takeUpdate(message.entry_update());
    return true;
}

void control_link::takeUpdate(const wire::entry_update& update)
{
    if (update.has_document())
        takeDocument(update.document());
    if (update.entries() > 0)
        m_entries = update.entries();
    if (update.directory_source() == 0)
        return;
    bool everything = update.directory_source() != m_directorySource;
    m_directorySource = update.directory_source();
    m_directoryVersion = update.directory_version();
    if (everything || update.endpoints_size() > 0)
        m_endpoints.onEndpoints(update.endpoints(), everything);
}

void control_link::takeDocument(const wire::document& document)
{
    // A leader that was elected late, or an update overtaken by another, may carry an older document. What this
    // process showed once stays shown.
    if (m_table && document.version() <= m_table->version())
        return;
    auto decoded = m_decode(document.body());
    if (!decoded) {
        logEvent("document_unreadable", { { "version", document.version() }, { "error", decoded.error().message } });
        m_metrics.count("document_unreadable");
        return;
    }
    logEvent("configuration_applied", { { "version", document.version() }, { "before", m_table ? m_table->version() : 0 }, { "routes", decoded.value().routes.size() } });
    m_table = std::make_shared<route_table>(std::move(decoded.value()));
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
    release.set_generated(ended.generated);
    release.set_generating_ms(static_cast<std::uint32_t>(ended.generating.count()));
    for (const auto& id : ended.outcomes.succeeded)
        release.add_succeeded(id);
    for (const auto& id : ended.outcomes.failed)
        release.add_failed(id);
    m_network.send(m_leader, std::move(message));
}

void control_link::tellUnreachable(const std::string& endpoint, std::uint64_t born)
{
    if (m_leader.empty())
        return;
    wire::envelope message;
    message.mutable_endpoint_unreachable()->set_id(endpoint);
    message.mutable_endpoint_unreachable()->set_born_ms(born);
    m_network.send(m_leader, std::move(message));
}

void control_link::sayGoodbye()
{
    if (m_leader.empty())
        return;
    wire::envelope message;
    message.mutable_entry_sync()->set_leaving(true);
    m_network.send(m_leader, std::move(message));
}

} // namespace pistachiolatch
