#pragma once
#include "forwarding/call_forwarder.h"
#include "forwarding/intake_gate.h"
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <set>

namespace pistachiolatch {

struct gateway_settings {
    std::string listen;
    /// How long new connections are accepted after a shutdown was requested: load balancers need time to notice that
    /// this entry is no longer ready.
    milliseconds acceptWhileDraining { 2500 };
};

/// The HTTP server of an entry: reads callers' requests and serves each with a call_forwarder.
/// Used on the context's thread.
template <call_codec Codec>
class call_gateway {
public:
    call_gateway(forwarding_context shared, gateway_settings settings);

    /// Errors: address in use.
    result<void> listen();
    /// Starts the shutdown: each response closes its connection; new connections are accepted for acceptWhileDraining.
    void drain();
    /// Whether the shutdown that drain() started is complete.
    bool isDrained() const { return !m_acceptor.is_open() && m_active == 0; }
    void stop();

private:
    struct caller_state {
        std::shared_ptr<caller_connection> connection;
        /// When the connection started to wait for a request, or to receive a head or a body.
        time_point phaseStartedAt;
        /// The longest times that were in force since then. Callers rely on the configuration that they know.
        milliseconds headerTimeout { 0 };
        milliseconds idleTimeout { 0 };
        /// Whether a request has begun to arrive that is not complete.
        bool receiving = false;
        bool inCall = false;
        /// Whether the rest of a request stays unread for lack of room, and whether to refuse it.
        bool awaitsRoom = false;
        bool isRefused = false;
        /// The request that is being read, and the copy that will be sent to an endpoint.
        buffer_charge request;
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
    /// Reads the body, accounted to the caller, and no more of it while the buffer budget has no room.
    task_of<boost::system::error_code> readBody(const caller_ptr& caller, boost::beast::http::request_parser<boost::beast::http::string_body>& parser);
    /// Refuses a request because the buffers are full.
    task_of<void> refuseForBuffers(const caller_ptr& caller, boost::beast::http::request_parser<boost::beast::http::string_body>& parser);
    /// Answers a request whose rest is not read, and lets the caller read the answer.
    task_of<void> refuseUnread(const caller_ptr& caller, const error_response& error, const request_metadata& metadata);
    /// Ends callers that hold most of a buffer budget that is used up.
    void endStalled();
    task_of<void> sendParseError(const caller_ptr& caller, boost::system::error_code error);
    task_of<void> refuseUnreadable(const caller_ptr& caller, reason cause, const std::string& error);
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
    std::set<caller_ptr> m_callers;
    time_point m_drainStartedAt {};
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
    /// Retry-After while the buffers are full. Holders that make no progress have been ended by then.
    constexpr milliseconds buffersRetryAfter { 2000 };
    /// Connections accepted in one turn of the event loop.
    constexpr int maxAcceptBatch = 64;
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
    m_acceptor.non_blocking(true);
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
        for (int i = 0; i < gateway_detail::maxAcceptBatch; ++i) {
            boost::asio::ip::tcp::socket next(m_shared.context);
            m_acceptor.accept(next, error);
            if (error)
                break;
            handleAccepted(std::move(next));
        }
        accept();
    });
}

template <call_codec Codec>
void call_gateway<Codec>::handleAccepted(boost::asio::ip::tcp::socket socket)
{
    measureLoopDelay();
    if (!m_gate.admit(m_shared.sendWindow.backlog(), m_shared.clock.now()) || !m_shared.bufferBudget.takesNewCalls()) {
        // Closed without having been read, so that the caller may send any request again.
        ++m_turnedAway;
        m_shared.counters.count("connections_turned_away");
        return;
    }
    ++m_takenIn;
    auto caller = std::make_shared<caller_state>();
    caller->connection = std::make_shared<caller_connection>(std::move(socket), m_shared.clock, m_shared.bufferBudget);
    caller->expectedBytes = send_commitment(m_shared.sendWindow, m_shared.sendWindow.meanCallBytes());
    m_callers.insert(caller);
    boost::asio::co_spawn(m_shared.context, serveConnection(caller), boost::asio::detached);
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
        m_shared.crowded = m_gate.shedsOpenConnections(m_shared.sendWindow.backlog());
        caller->expectedBytes = {};
        caller->inCall = true;
        ++m_active;
        bool keepAlive = false;
        bool reject = rejectsNewCalls();
        {
            call_forwarder<Codec> call(m_shared, caller->connection, std::move(*request), std::move(caller->request));
            if (reject) {
                co_await call.rejectForShutdown();
            } else {
                caller->call = &call;
                keepAlive = co_await call.run();
                caller->call = nullptr;
            }
        }
        --m_active;
        caller->inCall = false;
        if (!keepAlive)
            break;
    }
    caller->request.clear();
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
    auto& connection = *caller->connection;
    startPhase(*caller, false);
    if (connection.buffer().size() == 0) {
        auto [waitError] = co_await connection.socket().async_wait(boost::asio::socket_base::wait_read, gateway_detail::asTuple);
        if (waitError)
            co_return std::nullopt;
    }
    startPhase(*caller, true);
    // The configuration may have changed while the connection was idle.
    auto bounds = limits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(bounds.headerBytes);
    parser.body_limit(bounds.bodyBytes);
    auto error = co_await readHead(connection.socket(), connection.buffer(), bounds.headerBytes);
    if (!error) {
        auto fault = findFramingFault({ static_cast<const char*>(connection.buffer().data().data()), connection.buffer().size() });
        if (fault) {
            co_await refuseUnreadable(caller, *fault, "");
            co_return std::nullopt;
        }
        auto [headError, headBytes] = co_await http::async_read_header(connection.socket(), connection.buffer(), parser, gateway_detail::asTuple);
        error = headError;
    }
    startPhase(*caller, true);
    if (!error && !m_shared.bufferBudget.takesNewCalls()) {
        co_await refuseForBuffers(caller, parser);
        co_return std::nullopt;
    }
    if (!error && parser.get()[http::field::expect] == "100-continue") {
        std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        bool written = co_await connection.write(std::move(interim));
        if (!written)
            co_return std::nullopt;
    }
    if (!error && !parser.is_done()) {
        error = co_await readBody(caller, parser);
    }
    if (caller->isRefused) {
        co_await refuseForBuffers(caller, parser);
        co_return std::nullopt;
    }
    if (!error) {
        caller->request.setWait(buffer_budget::wait_for::Turn, m_shared.clock.now());
        co_return parser.release();
    }
    co_await sendParseError(caller, error);
    co_return std::nullopt;
}

template <call_codec Codec>
task_of<boost::system::error_code> call_gateway<Codec>::readBody(const caller_ptr& caller, boost::beast::http::request_parser<boost::beast::http::string_body>& parser)
{
    namespace http = boost::beast::http;
    auto& connection = *caller->connection;
    boost::asio::steady_timer timer(m_shared.context);
    caller->request = buffer_charge(m_shared.bufferBudget, connection.holder(), buffer_budget::wait_for::Caller);
    connection.buffer().max_size(maxFieldBytes);
    parser.eager(true);
    while (!parser.is_done()) {
        while (!m_shared.bufferBudget.mayGrow(connection.holder(), m_shared.clock.now()) && !connection.isClosed() && !caller->isRefused) {
            caller->awaitsRoom = true;
            timer.expires_after(forwarding_detail::bufferRetryInterval);
            co_await timer.async_wait(gateway_detail::asTuple);
        }
        caller->awaitsRoom = false;
        if (caller->isRefused)
            co_return boost::system::error_code();
        auto [error, bytes] = co_await http::async_read_some(connection.socket(), connection.buffer(), parser, gateway_detail::asTuple);
        caller->request.resize(parser.get().body().size() * 2, m_shared.clock.now());
        if (error)
            co_return error;
    }
    co_return boost::system::error_code();
}

template <call_codec Codec>
task_of<void> call_gateway<Codec>::sendParseError(const caller_ptr& caller, boost::system::error_code error)
{
    namespace http = boost::beast::http;
    bool isMalformed = error.category() == make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream && error != http::error::partial_message;
    if (!isMalformed || caller->connection->isClosed())
        co_return;
    auto cause = error == http::error::header_limit ? reason::HeaderTooLarge : error == http::error::body_limit ? reason::BodyTooLarge
                                                                                                                : reason::BadRequest;
    co_await refuseUnreadable(caller, cause, error.message());
}

template <call_codec Codec>
task_of<void> call_gateway<Codec>::refuseUnreadable(const caller_ptr& caller, reason cause, const std::string& error)
{
    m_shared.counters.countRefusal(cause);
    logEvent("request_unreadable", { { "why", reasonName(cause) }, { "error", error.empty() ? std::string(reasonAdvice(cause)) : error } });
    error_response response { cause, httpStatus(cause), std::nullopt };
    request_metadata unknown;
    co_await refuseUnread(caller, response, unknown);
}

template <call_codec Codec>
task_of<void> call_gateway<Codec>::refuseForBuffers(const caller_ptr& caller, boost::beast::http::request_parser<boost::beast::http::string_body>& parser)
{
    auto metadata = Codec::parseRequest(parser.get());
    caller->request.clear();
    std::string().swap(parser.get().body());
    m_shared.counters.countRefusal(reason::BuffersFull);
    logEvent("request_refused_unread", { { "request", metadata.id }, { "why", reasonName(reason::BuffersFull) }, { "held", m_shared.bufferBudget.held() }, { "limit", m_shared.bufferBudget.limit() } });
    error_response full { reason::BuffersFull, httpStatus(reason::BuffersFull), gateway_detail::buffersRetryAfter };
    co_await refuseUnread(caller, full, metadata);
}

template <call_codec Codec>
task_of<void> call_gateway<Codec>::refuseUnread(const caller_ptr& caller, const error_response& error, const request_metadata& metadata)
{
    auto bytes = Codec::encodeErrorResponse(metadata, error, true);
    bool written = co_await caller->connection->write(std::move(bytes));
    if (!written)
        co_return;
    // Closing with unread data would reset the connection before the caller has received the response.
    boost::system::error_code ignored;
    caller->connection->socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    std::array<char, 4096> discarded {};
    startPhase(*caller, true);
    while (true) {
        auto [readError, bytes] = co_await caller->connection->socket().async_read_some(boost::asio::buffer(discarded), gateway_detail::asTuple);
        if (readError)
            co_return;
    }
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
    while (auto stalled = budget.endStalled(now)) {
        auto found = std::find_if(m_callers.begin(), m_callers.end(), [&](const auto& caller) { return caller->connection->holder() == stalled->id; });
        if (found == m_callers.end())
            continue;
        const auto& caller = *found;
        m_shared.counters.count("stalled_holders_ended");
        logEvent("stalled_holder_ended", { { "request", caller->call ? caller->call->requestId() : std::string() }, { "bytes", stalled->bytes }, { "idle_ms", std::chrono::duration_cast<milliseconds>(stalled->idleTime).count() }, { "held", budget.held() }, { "limit", budget.limit() } });
        if (caller->awaitsRoom) {
            caller->isRefused = true;
            continue;
        }
        if (caller->call)
            caller->call->end();
        else
            caller->connection->close();
    }
}

template <call_codec Codec>
void call_gateway<Codec>::drain()
{
    m_drainStartedAt = m_shared.clock.now();
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
