#pragma once
#include "forwarding/call_admission.h"
#include "forwarding/call_forwarder.h"
#include "forwarding/intake_gate.h"
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <set>

namespace pistachiolatch {

struct gateway_settings {
    std::string listen;
    /// How long new connections are accepted after a shutdown was requested: load balancers need time to notice that
    /// this entry is no longer ready.
    milliseconds acceptWhileDraining { 2500 };
    /// If there are more connections, those are closed that have waited longest for a request, or for the rest of one.
    std::size_t maxConnections = 4096;
};

/// The HTTP server of an entry: reads callers' requests and serves each with a call_forwarder.
/// Used on the context's thread.
template <call_codec Codec>
class call_gateway {
public:
    call_gateway(forwarding_context shared, gateway_settings settings);

    /// Errors: address in use.
    result<void> listen();
    /// Starts the shutdown: each response closes its connection; new connections are accepted for acceptWhileDraining. Calls that are not
    /// complete shortly before the given time are answered then, since the process may end at that time.
    void drain(time_point until);
    /// Whether the shutdown that drain() started is complete.
    bool isDrained() const { return !m_acceptor.is_open() && m_active == 0; }
    void stop();

private:
    struct caller_state {
        std::shared_ptr<caller_connection> connection;
        std::optional<request_reader> reader;
        /// When the connection started to wait for a request, or to receive a head or a body.
        time_point phaseStartedAt;
        /// The longest times that were in force since then. Callers rely on the configuration that they know.
        milliseconds headerTimeout { 0 };
        milliseconds idleTimeout { 0 };
        /// Whether a request has begun to arrive that is not complete.
        bool receiving = false;
        bool inCall = false;
        /// Whether a request on it was refused, so that what still arrives is dropped.
        bool isRefused = false;
        /// Whether a request was read on the connection.
        bool open = false;
        /// What its first request will probably send, until that is known.
        send_commitment expectedBytes;
        /// The call being served, or null between calls.
        call_forwarder<Codec>* call = nullptr;
    };
    using caller_ptr = std::shared_ptr<caller_state>;

    void accept();
    /// Takes a new connection in, or turns it away unread.
    void handleAccepted(boost::asio::ip::tcp::socket socket);
    /// Starts to measure how late the event loop is, unless that is being done.
    void measureLoopDelay();
    void reportTurnedAway();
    task_of<void> serveConnection(caller_ptr caller);
    /// Starts to measure how long the connection waits for a request, or takes to receive a part of it.
    void startPhase(caller_state& caller, bool receiving) const;
    task_of<std::optional<caller_request>> readRequest(caller_ptr caller);
    /// Why a request whose body has not arrived should be refused without reading it, if so.
    std::optional<reason> findEarlyRefusal(const caller_request& head, const request_metadata& metadata) const;
    /// Answers a request whose rest is not read, and lets the caller read the answer.
    task_of<void> refuseUnread(const caller_ptr& caller, reason cause, const std::string& error, const request_metadata& metadata);
    /// Ends callers that hold most of a buffer budget that is used up.
    void endStalled();
    /// Ends a caller, or the call on its connection, because the budget needs what it holds.
    void endHolder(const caller_ptr& caller, const buffer_budget::stalled_holder& stalled);
    /// Closes the connection that has waited longest for its caller. Returns whether there was one.
    bool displaceCaller();
    /// Whether the shutdown is so advanced that a new call might not complete before the process ends.
    bool rejectsNewCalls() const { return m_shared.draining && m_shared.clock.now() - m_drainStartedAt > m_settings.acceptWhileDraining; }
    void closeExpired();
    /// Whether a caller that sends nothing, or too slowly, should be cut off.
    static bool hasReadTimedOut(const caller_state& caller, time_point now);
    /// Whether nothing of another request has arrived.
    static bool isIdle(const caller_state& caller);
    void scheduleExpiryCheck();
    caller_limits limits() const;

    forwarding_context m_shared;
    gateway_settings m_settings;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_expiryTimer;
    intake_gate m_gate;
    boost::asio::steady_timer m_loopTimer;
    bool m_measuringLoop = false;
    unsigned m_turnedAway = 0;
    unsigned m_takenIn = 0;
    unsigned m_displaced = 0;
    /// By cause, so that many refusals for one don't hide others.
    std::map<reason, log_limiter> m_refusalLogs;
    log_limiter m_stalledLog;
    std::set<caller_ptr> m_callers;
    time_point m_drainStartedAt {};
    /// When calls are answered at the latest, once a shutdown was requested.
    time_point m_answerBy = time_point::max();
    unsigned m_active = 0;
    bool m_stopped = false;
};

namespace gateway_detail {
    constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    /// How often connections are checked for timeouts, which are seconds long.
    constexpr milliseconds expiryCheckInterval { 500 };
    /// How long a caller may take nothing of what is written to it. Closing a blocked connection frees its endpoint.
    constexpr milliseconds maxWriteIdleTime { 10000 };
    constexpr milliseconds acceptRetryDelay { 20 };
    /// Time for answers to be written before the process ends.
    constexpr milliseconds answerTime { 100 };
    /// Retry-After while the buffers are full. Holders that make no progress have been ended by then.
    constexpr milliseconds buffersRetryAfter { 2000 };
    constexpr milliseconds loopMeasurement { 5 };
    /// A caller that connects without a request to send doesn't count as one that is about to.
    constexpr milliseconds maxExpectationTime { 250 };
}

template <call_codec Codec>
call_gateway<Codec>::call_gateway(forwarding_context shared, gateway_settings settings)
    : m_shared(shared)
    , m_settings(std::move(settings))
    , m_acceptor(shared.context)
    , m_expiryTimer(shared.context)
    , m_loopTimer(shared.context)
{
}

template <call_codec Codec>
result<void> call_gateway<Codec>::listen()
{
    BOOST_OUTCOME_TRYV(listenOn(m_acceptor, m_settings.listen));
    accept();
    scheduleExpiryCheck();
    return ok();
}

template <call_codec Codec>
void call_gateway<Codec>::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
        if (m_stopped || !m_acceptor.is_open())
            return;
        if (error) {
            // Probably out of file descriptors: retry after other connections had time to close.
            auto timer = std::make_shared<boost::asio::steady_timer>(m_shared.context, gateway_detail::acceptRetryDelay);
            timer->async_wait([this, timer](boost::system::error_code) { accept(); });
            return;
        }
        handleAccepted(std::move(socket));
        // Callers that are turned away must learn it at once, also while each turn of the event loop takes long.
        acceptWaiting(
            m_acceptor, [this]() -> boost::asio::io_context& { return m_shared.context; }, [this](boost::asio::ip::tcp::socket next) { handleAccepted(std::move(next)); });
        accept();
    });
}

template <call_codec Codec>
void call_gateway<Codec>::handleAccepted(boost::asio::ip::tcp::socket socket)
{
    measureLoopDelay();
    auto& budget = m_shared.bufferBudget;
    bool hasRoom = budget.fits(request_reader::connectionBytes) || budget.makeRoom(0, request_reader::connectionBytes, m_shared.clock.now()) > 0;
    hasRoom = hasRoom && (m_callers.size() < m_settings.maxConnections || displaceCaller());
    if (!hasRoom || !m_gate.admit(m_shared.sendWindow.backlog(), m_shared.clock.now())) {
        // Closed without having been read, so that the caller may send any request again.
        ++m_turnedAway;
        m_shared.counters.count("connections_turned_away");
        return;
    }
    ++m_takenIn;
    auto caller = std::make_shared<caller_state>();
    auto onEnd = [this, weak = std::weak_ptr<caller_state>(caller)](const buffer_budget::stalled_holder& stalled) {
        boost::asio::post(m_shared.context, [this, weak, stalled] {
            auto ended = weak.lock();
            if (ended && !m_stopped)
                endHolder(ended, stalled);
        });
    };
    caller->connection = std::make_shared<caller_connection>(std::move(socket), m_shared.clock, budget, std::move(onEnd));
    caller->reader.emplace(caller->connection->socket(), budget, caller->connection->holder(), m_shared.clock);
    caller->phaseStartedAt = m_shared.clock.now();
    caller->expectedBytes = send_commitment(m_shared.sendWindow, m_shared.sendWindow.meanCallBytes());
    m_callers.insert(caller);
    boost::asio::co_spawn(m_shared.context, serveConnection(caller), boost::asio::detached);
}

template <call_codec Codec>
bool call_gateway<Codec>::displaceCaller()
{
    caller_ptr longest;
    // One whose request was refused has its answer; then those go that have waited longest.
    auto isBefore = [](const caller_state& a, const caller_state& b) { return std::pair(!a.isRefused, a.phaseStartedAt) < std::pair(!b.isRefused, b.phaseStartedAt); };
    for (const auto& caller : m_callers) {
        bool isWaiting = !caller->inCall && !caller->connection->isClosed();
        if (isWaiting && (!longest || isBefore(*caller, *longest)))
            longest = caller;
    }
    if (!longest)
        return false;
    longest->connection->close();
    ++m_displaced;
    m_shared.counters.count("connections_displaced");
    return true;
}

template <call_codec Codec>
void call_gateway<Codec>::measureLoopDelay()
{
    if (std::exchange(m_measuringLoop, true))
        return;
    auto dueAt = m_shared.clock.now() + gateway_detail::loopMeasurement;
    m_loopTimer.expires_after(gateway_detail::loopMeasurement);
    m_loopTimer.async_wait([this, dueAt](boost::system::error_code error) {
        m_measuringLoop = false;
        if (error)
            return;
        auto now = m_shared.clock.now();
        auto delay = std::max(duration(0), now - dueAt);
        m_gate.recordLoopDelay(delay, now);
        m_shared.counters.observe("event_loop_delay_seconds", delay);
    });
}

template <call_codec Codec>
void call_gateway<Codec>::reportTurnedAway()
{
    auto toMs = [](duration time) { return std::chrono::duration_cast<milliseconds>(time).count(); };
    auto turnedAway = std::exchange(m_turnedAway, 0);
    auto takenIn = std::exchange(m_takenIn, 0);
    if (auto displaced = std::exchange(m_displaced, 0); displaced > 0)
        logEvent("connections_displaced", { { "address", m_settings.listen }, { "count", displaced }, { "connections", m_callers.size() }, { "limit", m_settings.maxConnections } });
    auto suppressed = m_stalledLog.takeSuppressed();
    for (auto& [cause, limiter] : m_refusalLogs)
        suppressed += limiter.takeSuppressed();
    if (suppressed > 0)
        logEvent("refusals_not_logged", { { "lines", suppressed } });
    const auto& window = m_shared.sendWindow;
    if (turnedAway > 0 || window.isLimited())
        logEvent("entry_crowded", { { "turned_away", turnedAway }, { "taken_in", takenIn }, { "sheds_open", m_shared.crowded ? 1 : 0 }, { "connections", m_callers.size() }, { "calls", m_active }, { "loop_delay_ms", toMs(m_gate.loopDelay()) }, { "rate", fmt::format("{:.1f}", m_gate.rate().value_or(0)) }, { "link_backlog_ms", toMs(window.backlog()) }, { "link_delay_ms", toMs(window.delay()) }, { "link_bytes_per_s", std::lround(window.bytesPerSecond()) }, { "link_window", window.window() } });
}

template <call_codec Codec>
caller_limits call_gateway<Codec>::limits() const
{
    const auto& table = m_shared.link.routeTable();
    return table ? table->source().limits : caller_limits {};
}

template <call_codec Codec>
task_of<void> call_gateway<Codec>::serveConnection(caller_ptr caller)
{
    while (!caller->connection->isClosed()) {
        auto request = co_await readRequest(caller);
        if (!request)
            break;
        m_gate.recordRead(std::exchange(caller->open, true), m_shared.clock.now());
        // Connections that are never idle can't be displaced; they close after their calls while new ones need the place.
        bool isFull = m_callers.size() >= m_settings.maxConnections;
        m_shared.crowded = isFull || m_gate.shedsOpenConnections(m_shared.sendWindow.backlog());
        caller->expectedBytes = {};
        caller->inCall = true;
        ++m_active;
        bool keepAlive = false;
        bool reject = rejectsNewCalls();
        {
            call_forwarder<Codec> call(m_shared, caller->connection, std::move(*request), caller->reader->takeCharge());
            if (reject) {
                co_await call.rejectForShutdown();
            } else {
                caller->call = &call;
                call.answerBy(m_answerBy);
                keepAlive = co_await call.run();
                caller->call = nullptr;
            }
        }
        --m_active;
        caller->inCall = false;
        if (!keepAlive)
            break;
    }
    caller->connection->close();
    m_callers.erase(caller);
}

template <call_codec Codec>
void call_gateway<Codec>::startPhase(caller_state& caller, bool receiving) const
{
    auto bounds = limits();
    caller.phaseStartedAt = m_shared.clock.now();
    caller.headerTimeout = bounds.headerTimeout;
    caller.idleTimeout = bounds.idleTimeout;
    caller.receiving = receiving;
}

template <call_codec Codec>
task_of<std::optional<caller_request>> call_gateway<Codec>::readRequest(caller_ptr caller)
{
    namespace http = boost::beast::http;
    auto& reader = *caller->reader;
    startPhase(*caller, false);
    auto outcome = co_await reader.waitForRequest();
    if (!outcome.isReceived())
        co_return std::nullopt;
    startPhase(*caller, true);
    // The configuration may have changed while the connection was idle.
    auto bounds = limits();
    outcome = co_await reader.readHead(bounds.headerBytes);
    startPhase(*caller, true);
    request_metadata metadata;
    if (outcome.isReceived()) {
        metadata = Codec::parseRequest(reader.head());
        if (!m_shared.bufferBudget.takesNewCalls())
            outcome = { read_outcome::status::Refused, reason::BuffersFull, {} };
    }
    if (outcome.isReceived() && reader.hasUnreadBody()) {
        if (auto refusal = findEarlyRefusal(reader.head(), metadata))
            outcome = { read_outcome::status::Refused, *refusal, {} };
    }
    if (outcome.isReceived() && reader.hasUnreadBody()) {
        if (reader.head()[http::field::expect] == "100-continue") {
            std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
            bool written = co_await caller->connection->write(std::move(interim));
            if (!written)
                co_return std::nullopt;
        }
        outcome = co_await reader.readBody(bounds.bodyBytes);
    }
    if (outcome.isReceived())
        co_return reader.release();
    if (outcome.end == read_outcome::status::Refused)
        co_await refuseUnread(caller, outcome.cause, outcome.error, metadata);
    co_return std::nullopt;
}

template <call_codec Codec>
std::optional<reason> call_gateway<Codec>::findEarlyRefusal(const caller_request& head, const request_metadata& metadata) const
{
    // Calls that come before the first configuration wait for it.
    if (!m_shared.link.hasCurrentConfiguration() || !m_shared.link.routeTable())
        return std::nullopt;
    return admitCall(*m_shared.link.routeTable(), head, metadata).refusal;
}

template <call_codec Codec>
task_of<void> call_gateway<Codec>::refuseUnread(const caller_ptr& caller, reason cause, const std::string& error, const request_metadata& metadata)
{
    caller->reader->drop();
    caller->isRefused = true;
    m_shared.counters.countRefusal(cause);
    const auto& budget = m_shared.bufferBudget;
    // What names any other request may be what can't be read.
    constexpr std::array soundRequests { reason::BuffersFull, reason::NotFound, reason::MissingKey, reason::UnknownKey };
    bool isReadable = std::find(soundRequests.begin(), soundRequests.end(), cause) != soundRequests.end();
    if (m_refusalLogs[cause].admit(m_shared.clock.now())) {
        if (isReadable)
            logEvent("request_refused_unread", { { "request", metadata.id }, { "why", reasonName(cause) }, { "held", budget.held() }, { "limit", budget.limit() } });
        else
            logEvent("request_unreadable", { { "why", reasonName(cause) }, { "error", error.empty() ? std::string(reasonAdvice(cause)) : error } });
    }
    error_response response { cause, httpStatus(cause), cause == reason::BuffersFull ? std::optional(gateway_detail::buffersRetryAfter) : std::nullopt };
    request_metadata named;
    named.withoutBody = metadata.withoutBody;
    if (isReadable)
        named = metadata;
    auto bytes = Codec::encodeErrorResponse(named, response, true);
    bool written = co_await caller->connection->write(std::move(bytes));
    if (!written)
        co_return;
    // Closing with unread data would reset the connection before the caller has received the response.
    boost::system::error_code ignored;
    caller->connection->socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    startPhase(*caller, true);
    co_await caller->reader->discardInput();
}

template <call_codec Codec>
void call_gateway<Codec>::scheduleExpiryCheck()
{
    m_expiryTimer.expires_after(gateway_detail::expiryCheckInterval);
    m_expiryTimer.async_wait([this](boost::system::error_code error) {
        if (error || m_stopped)
            return;
        closeExpired();
        scheduleExpiryCheck();
    });
}

template <call_codec Codec>
void call_gateway<Codec>::closeExpired()
{
    auto now = m_shared.clock.now();
    auto bounds = limits();
    bool stopAccepting = rejectsNewCalls();
    if (stopAccepting && m_acceptor.is_open()) {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }
    for (const auto& caller : std::set<caller_ptr>(m_callers)) {
        auto& connection = *caller->connection;
        if (!caller->receiving && now - caller->phaseStartedAt > gateway_detail::maxExpectationTime)
            caller->expectedBytes = {};
        auto writeIdleTime = connection.measureWriteIdleTime();
        bool writeTimedOut = writeIdleTime > gateway_detail::maxWriteIdleTime;
        caller->headerTimeout = std::max(caller->headerTimeout, bounds.headerTimeout);
        caller->idleTimeout = std::max(caller->idleTimeout, bounds.idleTimeout);
        bool readTimedOut = hasReadTimedOut(*caller, now);
        bool idleInShutdown = stopAccepting && isIdle(*caller);
        if (writeTimedOut)
            logEvent("caller_write_timeout", { { "request", caller->call ? caller->call->requestId() : std::string() }, { "idle_ms", std::chrono::duration_cast<milliseconds>(writeIdleTime).count() } });
        if (writeTimedOut || readTimedOut || idleInShutdown)
            connection.close();
    }
    endStalled();
    m_shared.pool.closeExpired();
    reportTurnedAway();
}

template <call_codec Codec>
bool call_gateway<Codec>::hasReadTimedOut(const caller_state& caller, time_point now)
{
    if (caller.inCall)
        return false;
    auto waited = now - caller.phaseStartedAt;
    return caller.receiving ? waited > caller.headerTimeout * 2 : waited > caller.idleTimeout && isIdle(caller);
}

template <call_codec Codec>
bool call_gateway<Codec>::isIdle(const caller_state& caller)
{
    boost::system::error_code ignored;
    return !caller.inCall && !caller.receiving && caller.connection->socket().available(ignored) == 0;
}

template <call_codec Codec>
void call_gateway<Codec>::endStalled()
{
    auto& budget = m_shared.bufferBudget;
    m_shared.counters.gauge("buffered_bytes", static_cast<double>(budget.held()));
    auto now = m_shared.clock.now();
    while (budget.endStalled(now))
        m_shared.counters.count("stalled_holders_ended");
}

template <call_codec Codec>
void call_gateway<Codec>::endHolder(const caller_ptr& caller, const buffer_budget::stalled_holder& stalled)
{
    const auto& budget = m_shared.bufferBudget;
    if (m_stalledLog.admit(m_shared.clock.now()))
        logEvent("stalled_holder_ended", { { "request", caller->call ? caller->call->requestId() : std::string() }, { "bytes", stalled.bytes }, { "idle_ms", std::chrono::duration_cast<milliseconds>(stalled.idleTime).count() }, { "held", budget.held() }, { "limit", budget.limit() } });
    if (caller->call)
        caller->call->end();
    else if (caller->receiving && !caller->isRefused)
        caller->reader->refuse();
    else
        caller->connection->close();
}

template <call_codec Codec>
void call_gateway<Codec>::drain(time_point until)
{
    m_drainStartedAt = m_shared.clock.now();
    m_answerBy = std::max(m_drainStartedAt, until - gateway_detail::answerTime);
    for (const auto& caller : m_callers) {
        if (caller->call)
            caller->call->answerBy(m_answerBy);
    }
}

template <call_codec Codec>
void call_gateway<Codec>::stop()
{
    m_stopped = true;
    m_expiryTimer.cancel();
    m_loopTimer.cancel();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& caller : std::set<caller_ptr>(m_callers)) {
        if (caller->call)
            caller->call->handleShutdown();
        caller->connection->close();
    }
}

} // namespace pistachiolatch
