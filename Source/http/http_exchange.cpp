#include "http/http_exchange.h"

#include "http/request_reader.h"
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <poll.h>

namespace pistachiolatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr milliseconds disconnectCheckInterval { 200 };
    constexpr unsigned httpVersion11 = 11;

    bool isPeerClosed(int descriptor)
    {
        pollfd item { descriptor, POLLRDHUP, 0 };
        return ::poll(&item, 1, 0) > 0 && (item.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
    }
}

http_exchange::http_exchange(beast::tcp_stream& stream, request message, milliseconds writeTimeout, exchange_account account)
    : m_stream(stream)
    , m_request(std::move(message))
    , m_writeTimeout(writeTimeout)
    , m_account(account)
{
    if (!account.budget)
        return;
    m_reserved = buffer_charge(*account.budget, account.holder, buffer_budget::wait_for::Turn);
    m_responseCharge = buffer_charge(*account.budget, account.holder, buffer_budget::wait_for::Caller);
}

task_of<bool> http_exchange::reserve(std::size_t bytes)
{
    if (!m_account.budget)
        co_return true;
    bool hasRoom = co_await awaitRoomFor(*m_account.budget, m_account.holder, bytes, *m_account.clock);
    if (hasRoom)
        m_reserved.resize(m_reserved.bytes() + bytes, m_account.clock->now());
    co_return hasRoom;
}

std::string http_exchange::path() const
{
    std::string target(m_request.target());
    return target.substr(0, target.find('?'));
}

std::string http_exchange::header(std::string_view name) const
{
    auto found = m_request.find(beast::string_view(name.data(), name.size()));
    return found == m_request.end() ? std::string() : std::string(found->value());
}

task_of<bool> http_exchange::respond(unsigned status, const std::string& contentType, std::string body, const http_headers& headers)
{
    if (m_responseStarted)
        co_return false;
    m_responseStarted = true;
    http::response<http::string_body> response(static_cast<http::status>(status), httpVersion11);
    if (!contentType.empty())
        response.set(http::field::content_type, contentType);
    for (const auto& [name, value] : headers)
        response.set(name, value);
    m_keepAlive = m_keepAlive && m_request.keep_alive();
    response.keep_alive(m_keepAlive);
    response.body() = std::move(body);
    response.prepare_payload();
    if (m_request.method() == http::verb::head)
        response.body().clear();
    if (m_account.budget)
        m_responseCharge.resize(response.body().size(), m_account.clock->now());
    http::response_serializer<http::string_body> serializer(response);
    m_stream.expires_after(m_writeTimeout);
    beast::error_code error;
    while (!error && !serializer.is_done()) {
        auto [partError, bytes] = co_await http::async_write_some(m_stream, serializer, asTuple);
        error = partError;
        if (m_account.budget)
            m_responseCharge.recordProgress(m_account.clock->now(), bytes);
    }
    m_responseCharge.clear();
    m_stream.expires_never();
    if (error)
        m_keepAlive = false;
    co_return !error;
}

task_of<bool> http_exchange::beginStream(unsigned status, const std::string& contentType, const http_headers& headers)
{
    if (m_responseStarted)
        co_return false;
    m_responseStarted = true;
    http::response<http::empty_body> response(static_cast<http::status>(status), httpVersion11);
    response.set(http::field::content_type, contentType);
    for (const auto& [name, value] : headers)
        response.set(name, value);
    m_keepAlive = m_keepAlive && m_request.keep_alive();
    response.keep_alive(m_keepAlive);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    m_stream.expires_after(m_writeTimeout);
    auto [error, bytes] = co_await http::async_write_header(m_stream, serializer, asTuple);
    co_return !error;
}

task_of<bool> http_exchange::write(const std::string& bytes)
{
    m_stream.expires_after(m_writeTimeout);
    auto [error, count] = co_await asio::async_write(m_stream, asio::buffer(bytes), asTuple);
    if (error)
        m_keepAlive = false;
    co_return !error;
}

task_of<bool> http_exchange::writeChunk(const std::string& chunk)
{
    auto framed = fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
    co_return co_await write(framed);
}

task_of<bool> http_exchange::endStream()
{
    std::string end = "0\r\n\r\n";
    co_return co_await write(end);
}

void http_exchange::abortStream()
{
    m_keepAlive = false;
    beast::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

bool http_exchange::isCallerGone() const
{
    return isPeerClosed(m_stream.socket().native_handle());
}

task_of<void> http_exchange::waitForDisconnect()
{
    auto& socket = m_stream.socket();
    auto [error] = co_await socket.async_wait(asio::socket_base::wait_read, asTuple);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    // A pipelined request keeps the socket readable, so a disconnect can only be detected by polling.
    while (!error && !isPeerClosed(socket.native_handle())) {
        timer.expires_after(disconnectCheckInterval);
        co_await timer.async_wait(asTuple);
    }
}

} // namespace pistachiolatch
