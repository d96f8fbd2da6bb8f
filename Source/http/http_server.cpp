#include "http/http_server.h"

#include "http/message_head.h"
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

namespace pistachiolatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr milliseconds watchInterval { 500 };
    /// How long a caller whose request was refused may go on sending before the connection is closed.
    constexpr milliseconds discardTimeout { 2000 };

    struct scoped_count {
        std::atomic<unsigned>& counter;
        explicit scoped_count(std::atomic<unsigned>& c)
            : counter(c)
        {
            ++counter;
        }
        ~scoped_count() { --counter; }
        scoped_count(const scoped_count&) = delete;
        scoped_count& operator=(const scoped_count&) = delete;
    };
}

/// A connection, and what it waits for. Used on its thread, except for what says otherwise.
class http_server::connection : public std::enable_shared_from_this<connection> {
public:
    enum class phase {
        /// Waits for a request.
        Idle,
        Receiving,
        Serving,
        /// Its request was refused; what still arrives is dropped.
        Discarding,
    };

    connection(asio::ip::tcp::socket socket, std::shared_ptr<shared_resources> resources)
        : m_resources(std::move(resources))
        , m_stream(std::move(socket))
        , m_timer(m_stream.get_executor())
        , m_phaseStartedAt(m_resources->now())
    {
        beast::error_code ignored;
        m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    ~connection() { m_resources->budget->removeHolder(m_holder); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Adds it to the budget. Must be called once, before all else.
    void open()
    {
        m_holder = m_resources->budget->addHolder([weak = weak_from_this()](const buffer_budget::stalled_holder&) {
            if (auto self = weak.lock())
                asio::post(self->m_stream.get_executor(), [self] { self->end(); });
        });
        m_reader.emplace(m_stream.socket(), *m_resources->budget, m_holder, m_resources->clock);
    }

    beast::tcp_stream& stream() { return m_stream; }
    request_reader& reader() { return *m_reader; }
    buffer_budget::holder_id holder() const { return m_holder; }
    /// Whether the time of the phase has passed.
    bool isTimedOut() const { return m_timedOut; }
    /// Thread safety: any thread.
    phase currentPhase() const { return m_phase; }
    time_point phaseStartedAt() const { return m_phaseStartedAt; }

    /// Has reading fail once the time has passed, unless another phase begins. Zero means no limit.
    void begin(phase next, milliseconds timeout)
    {
        m_phase = next;
        m_phaseStartedAt = m_resources->now();
        m_timedOut = false;
        m_timer.cancel();
        if (timeout.count() == 0)
            return;
        m_timer.expires_after(timeout);
        m_timer.async_wait([weak = weak_from_this()](beast::error_code error) {
            if (auto self = weak.lock(); self && !error)
                self->expire();
        });
    }

    /// Closes it if nothing of a request has arrived.
    void closeIfIdle()
    {
        beast::error_code ignored;
        if (m_phase == phase::Idle && m_stream.socket().available(ignored) == 0)
            close();
    }

    void close()
    {
        m_timer.cancel();
        beast::error_code ignored;
        m_stream.socket().close(ignored);
    }

private:
    void expire()
    {
        m_timedOut = true;
        m_reader->refuse();
    }

    void end()
    {
        if (m_phase == phase::Receiving)
            m_reader->refuse();
        else
            close();
    }

    std::shared_ptr<shared_resources> m_resources;
    beast::tcp_stream m_stream;
    buffer_budget::holder_id m_holder = 0;
    std::optional<request_reader> m_reader;
    asio::steady_timer m_timer;
    std::atomic<phase> m_phase { phase::Idle };
    std::atomic<time_point> m_phaseStartedAt;
    bool m_timedOut = false;
};

asio::ip::tcp::endpoint parseAddress(const std::string& address)
{
    auto colon = address.rfind(':');
    return { asio::ip::make_address_v4(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) };
}

result<void> listenOn(asio::ip::tcp::acceptor& acceptor, const std::string& address, listen_limits limits)
{
    beast::error_code error;
    auto endpoint = parseAddress(address);
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (limits.receiveBufferBytes > 0)
        acceptor.set_option(asio::socket_base::receive_buffer_size(limits.receiveBufferBytes), error);
    acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(limits.waitingConnections, error);
    if (!error)
        acceptor.non_blocking(true, error);
    if (error)
        return failure { fmt::format("can't listen on {}: {}; free the address or choose another", address, error.message()) };
    return ok();
}

void http_server::shared_state::count(const char* event) const
{
    if (counters)
        counters->count(event);
}

http_server::http_server(traffic_threads& threads, http_limits limits, http_handler handler, http_error_formatter formatError, buffer_budget* budget)
    : m_threads(threads)
    , m_state(std::make_shared<shared_state>())
    , m_acceptor(threads.first())
{
    m_state->limits = limits;
    m_state->handler = std::move(handler);
    m_state->formatError = std::move(formatError);
    m_state->resources = std::make_shared<shared_resources>();
    if (budget)
        m_state->resources->budget = budget;
}

http_server::~http_server() = default;

result<void> http_server::listen(const std::string& address)
{
    BOOST_OUTCOME_TRYV(listenOn(m_acceptor, address, m_state->limits.listening));
    m_port = m_acceptor.local_endpoint().port();
    asio::co_spawn(m_threads.first(), acceptConnections(), asio::detached);
    asio::co_spawn(m_threads.first(), watchConnections(m_state, m_threads.first()), asio::detached);
    return ok();
}

void http_server::stopAccepting()
{
    m_state->draining = true;
    asio::post(m_threads.first(), [this] {
        beast::error_code ignored;
        m_acceptor.close(ignored);
    });
}

task_of<void> http_server::acceptConnections()
{
    while (m_acceptor.is_open()) {
        auto& context = m_threads.next();
        auto [error, socket] = co_await m_acceptor.async_accept(context, asTuple);
        if (!m_acceptor.is_open())
            co_return;
        if (error) {
            // Most likely out of file descriptors: waits for connections to close.
            asio::steady_timer pause(m_threads.first(), milliseconds(20));
            co_await pause.async_wait(asTuple);
            continue;
        }
        takeIn(std::move(socket));
        acceptWaiting(
            m_acceptor, [this]() -> asio::io_context& { return m_threads.next(); }, [this](asio::ip::tcp::socket next) { takeIn(std::move(next)); });
    }
}

void http_server::takeIn(asio::ip::tcp::socket socket)
{
    if (m_state->connections >= m_state->limits.connections)
        closeLongestWaiting(*m_state);
    auto executor = socket.get_executor();
    auto served = std::make_shared<connection>(std::move(socket), m_state->resources);
    {
        std::lock_guard lock(m_state->mutex);
        m_state->open.insert(served);
    }
    asio::co_spawn(executor, serveConnection(m_state, served), asio::detached);
}

void http_server::closeLongestWaiting(shared_state& state)
{
    connection_ptr longest;
    auto now = state.resources->now();
    auto isUnread = [&](const connection& served) { return state.limits.longestService.count() > 0 && now - served.phaseStartedAt() >= state.limits.longestService; };
    {
        std::lock_guard lock(state.mutex);
        for (const auto& candidate : state.open) {
            bool isWaiting = candidate->currentPhase() != connection::phase::Serving || isUnread(*candidate);
            if (isWaiting && (!longest || candidate->phaseStartedAt() < longest->phaseStartedAt()))
                longest = candidate;
        }
        // Closed once, also if others are accepted before it is gone.
        state.open.erase(longest);
    }
    if (!longest)
        return;
    state.count("connections_displaced");
    bool mayCutService = isUnread(*longest);
    asio::post(longest->stream().get_executor(), [longest, mayCutService] {
        if (mayCutService || longest->currentPhase() != connection::phase::Serving)
            longest->close();
    });
}

task_of<void> http_server::watchConnections(std::weak_ptr<shared_state> weak, asio::io_context& context)
{
    asio::steady_timer timer(context);
    while (true) {
        timer.expires_after(watchInterval);
        co_await timer.async_wait(asTuple);
        auto state = weak.lock();
        if (!state)
            co_return;
        while (auto stalled = state->resources->budget->endStalled(state->resources->now()))
            state->count("stalled_holders_ended");
        if (!state->draining)
            continue;
        std::lock_guard lock(state->mutex);
        for (const auto& idle : state->open)
            asio::post(idle->stream().get_executor(), [idle] { idle->closeIfIdle(); });
    }
}

task_of<void> http_server::serveConnection(std::shared_ptr<shared_state> state, connection_ptr served)
{
    scoped_count connections(state->connections);
    served->open();
    // Those that are displaced still count until they are gone.
    if (state->connections > state->limits.connections + state->limits.connections / 2 + 1)
        co_await refuse(*state, *served, reason::TooManyConnections);
    else
        co_await serveRequests(*state, *served);
    served->close();
    std::lock_guard lock(state->mutex);
    state->open.erase(served);
}

task_of<void> http_server::refuse(shared_state& state, connection& served, reason cause)
{
    if (state.counters)
        state.counters->countRefusal(cause);
    served.begin(connection::phase::Discarding, discardTimeout);
    served.reader().drop();
    auto error = state.formatError(cause);
    {
        http_exchange exchange(served.stream(), {}, discardTimeout);
        exchange.closeAfterResponse();
        co_await exchange.respond(error.status, error.contentType, error.body, error.headers);
    }
    beast::error_code ignored;
    served.stream().socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (!served.isTimedOut())
        co_await served.reader().discardInput();
}

task_of<bool> http_server::readRequest(shared_state& state, connection& served)
{
    const auto& limits = state.limits;
    auto& reader = served.reader();
    served.begin(connection::phase::Idle, limits.idleTimeout);
    auto outcome = co_await reader.waitForRequest();
    if (!outcome.isReceived())
        co_return false;
    served.begin(connection::phase::Receiving, limits.readTimeout);
    outcome = co_await reader.readHead(limits.headerBytes);
    bool isBodyRead = false;
    if (outcome.isReceived()) {
        auto maxBodyBytes = state.bodyLimit ? std::min(limits.bodyBytes, state.bodyLimit(reader.head())) : limits.bodyBytes;
        isBodyRead = maxBodyBytes > 0 || !reader.hasUnreadBody();
        if (isBodyRead && reader.hasUnreadBody()) {
            if (reader.head()[http::field::expect] == "100-continue") {
                const std::string continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
                co_await asio::async_write(served.stream(), asio::buffer(continueResponse), asTuple);
            }
            served.begin(connection::phase::Receiving, limits.readTimeout);
            outcome = co_await reader.readBody(maxBodyBytes);
        }
    }
    if (served.isTimedOut())
        outcome = { read_outcome::status::Refused, reason::RequestTimeout, {} };
    if (outcome.end == read_outcome::status::Refused)
        co_await refuse(state, served, outcome.cause);
    co_return outcome.isReceived();
}

task_of<void> http_server::serveRequests(shared_state& state, connection& served)
{
    while (true) {
        bool hasRequest = co_await readRequest(state, served);
        if (!hasRequest)
            co_return;
        bool hasUnreadBody = served.reader().hasUnreadBody();
        scoped_count active(state.active);
        served.begin(connection::phase::Serving, milliseconds(0));
        auto charge = served.reader().takeCharge();
        http_exchange exchange(served.stream(), served.reader().release(), state.limits.writeTimeout, { state.resources->budget, served.holder(), &state.resources->clock });
        bool isFull = state.connections >= state.limits.connections;
        if (state.draining || hasUnreadBody || isFull)
            exchange.closeAfterResponse();
        co_await state.handler(exchange);
        if (hasUnreadBody && exchange.responseStarted()) {
            beast::error_code ignored;
            served.stream().socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            served.begin(connection::phase::Discarding, discardTimeout);
            co_await served.reader().discardInput();
        }
        if (!exchange.responseStarted() || !exchange.keepAlive() || state.draining)
            co_return;
    }
}

} // namespace pistachiolatch
