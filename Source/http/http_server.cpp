#include "http/http_server.h"

#include "http/message_head.h"
#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/http.hpp>

namespace pistachiolatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

    reason toReason(const beast::error_code& error)
    {
        if (error == http::error::header_limit)
            return reason::HeaderTooLarge;
        if (error == http::error::body_limit)
            return reason::BodyTooLarge;
        if (error == beast::error::timeout)
            return reason::RequestTimeout;
        return reason::BadRequest;
    }

    /// Whether a read error was caused by the request itself and should be reported to the caller.
    bool shouldRespond(const beast::error_code& error, bool started)
    {
        if (error == http::error::end_of_stream || error == http::error::partial_message)
            return false;
        if (error == beast::error::timeout)
            return started;
        return error.category() == make_error_code(http::error::bad_method).category();
    }

    task_of<void> sendErrorResponse(beast::tcp_stream& stream, const http_error_response& error, milliseconds timeout)
    {
        http_exchange exchange(stream, {}, timeout);
        exchange.closeAfterResponse();
        co_await exchange.respond(error.status, error.contentType, error.body, error.headers);
    }

    /// Discards the rest of a request. Closing the connection while the caller still sends would reset it before the
    /// caller has read the error response.
    task_of<void> discardInput(beast::tcp_stream& stream)
    {
        beast::error_code ignored;
        stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        constexpr std::size_t blockSize = 64UL * 1024;
        constexpr int maxBlocks = 1024;
        constexpr milliseconds timeout { 2000 };
        std::vector<char> block(blockSize);
        for (int i = 0; i < maxBlocks; ++i) {
            stream.expires_after(timeout);
            auto [error, bytes] = co_await stream.async_read_some(asio::buffer(block), asTuple);
            if (error)
                co_return;
        }
    }

    /// Waits for the first byte of the next request. Returns false if the connection should be closed instead: it was
    /// idle too long, the caller closed it, or the server is draining and no request has arrived.
    task_of<bool> waitForRequest(beast::tcp_stream& stream, milliseconds idleTimeout, const std::atomic<bool>& draining)
    {
        using namespace asio::experimental::awaitable_operators;
        constexpr milliseconds slice { 500 };
        asio::steady_timer timer(co_await asio::this_coro::executor);
        for (milliseconds waited { 0 }; waited < idleTimeout; waited += slice) {
            timer.expires_after(slice);
            auto outcome = co_await (stream.socket().async_wait(asio::socket_base::wait_read, asTuple) || timer.async_wait(asTuple));
            if (outcome.index() == 0)
                co_return !std::get<0>(std::get<0>(outcome));
            if (draining)
                co_return false;
        }
        co_return false;
    }

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

asio::ip::tcp::endpoint parseAddress(const std::string& address)
{
    auto colon = address.rfind(':');
    return { asio::ip::make_address_v4(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) };
}

result<void> listenOn(asio::ip::tcp::acceptor& acceptor, const std::string& address)
{
    beast::error_code error;
    auto endpoint = parseAddress(address);
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return failure { fmt::format("can't listen on {}: {}; free the address or choose another", address, error.message()) };
    return ok();
}

http_server::http_server(traffic_threads& threads, http_limits limits, http_handler handler, http_error_formatter formatError)
    : m_threads(threads)
    , m_state(std::make_shared<shared_state>())
    , m_acceptor(threads.first())
{
    m_state->limits = limits;
    m_state->handler = std::move(handler);
    m_state->formatError = std::move(formatError);
}

http_server::~http_server() = default;

result<void> http_server::listen(const std::string& address)
{
    BOOST_OUTCOME_TRYV(listenOn(m_acceptor, address));
    m_port = m_acceptor.local_endpoint().port();
    asio::co_spawn(m_threads.first(), acceptConnections(), asio::detached);
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
        asio::co_spawn(context, serveConnection(m_state, std::move(socket)), asio::detached);
    }
}

task_of<void> http_server::serveConnection(std::shared_ptr<shared_state> state, asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    scoped_count connection(state->connections);
    beast::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    if (state->connections > state->limits.connections) {
        auto response = state->formatError(reason::TooManyConnections);
        co_await sendErrorResponse(stream, response, state->limits.writeTimeout);
        co_return;
    }
    co_await serveRequests(state, stream);
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

task_of<void> http_server::serveRequests(std::shared_ptr<shared_state> state, beast::tcp_stream& stream)
{
    const auto& limits = state->limits;
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
        if (buffer.size() == 0 && !co_await waitForRequest(stream, limits.idleTimeout, state->draining))
            co_return;
        stream.expires_after(limits.readTimeout);
        beast::error_code error = co_await readHead(stream, buffer, limits.headerBytes);
        bool started = buffer.size() > 0;
        std::optional<reason> fault;
        if (!error)
            fault = findFramingFault({ static_cast<const char*>(buffer.data().data()), buffer.size() });
        if (!error && !fault) {
            auto [headError, headBytes] = co_await http::async_read_header(stream, buffer, parser, asTuple);
            error = headError;
        }
        if (!error && !fault) {
            if (parser.get()[http::field::expect] == "100-continue") {
                std::string continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
                co_await asio::async_write(stream, asio::buffer(continueResponse), asTuple);
            }
            stream.expires_after(limits.readTimeout);
            buffer.max_size(maxFieldBytes);
            auto [bodyError, bodyBytes] = co_await http::async_read(stream, buffer, parser, asTuple);
            error = bodyError;
            started = true;
        }
        if (error || fault) {
            if (fault || shouldRespond(error, started)) {
                auto response = state->formatError(fault.value_or(toReason(error)));
                co_await sendErrorResponse(stream, response, limits.writeTimeout);
                co_await discardInput(stream);
            }
            co_return;
        }
        scoped_count active(state->active);
        stream.expires_never();
        http_exchange exchange(stream, parser.release(), limits.writeTimeout);
        if (state->draining)
            exchange.closeAfterResponse();
        co_await state->handler(exchange);
        if (!exchange.responseStarted() || !exchange.keepAlive() || state->draining)
            co_return;
    }
}

} // namespace pistachiolatch
