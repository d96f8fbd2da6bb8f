#include "forwarding/endpoint_connection.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pistachiolatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::uint32_t mostHeaderBytes = 32 * 1024;
    constexpr unsigned firstFinalStatus = 200;
    /// Bytes that the endpoint's kernel doesn't acknowledge for this long mean a dead connection; far longer than any
    /// delay of a live one, shorter than callers wait.
    constexpr unsigned unacknowledgedMs = 1200;
}

endpoint_connection::endpoint_connection(const asio::any_io_executor& executor)
    : m_socket(executor)
{
}

task_of<bool> endpoint_connection::connect(const std::string& address)
{
    auto self = shared_from_this();
    auto [error] = co_await m_socket.async_connect(parseAddress(address), asTuple);
    if (error || m_closed)
        co_return false;
    beast::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMs, sizeof unacknowledgedMs);
    co_return true;
}

void endpoint_connection::beginSend(std::string bytes)
{
    m_sending = std::move(bytes);
    m_sent = false;
    auto self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(m_sending), [self](beast::error_code error, std::size_t) { self->m_sent = !error; });
}

task_of<call_failure> endpoint_connection::readHead(bool bodyless)
{
    auto self = shared_from_this();
    while (true) {
        m_parser.emplace();
        m_parser->header_limit(mostHeaderBytes);
        m_parser->body_limit(boost::none);
        m_parser->skip(bodyless);
        auto [error, bytes] = co_await http::async_read_header(m_socket, m_buffer, *m_parser, asTuple);
        if (error)
            co_return call_failure::Broken;
        if (status() >= firstFinalStatus)
            co_return call_failure::None;
    }
}

task_of<call_failure> endpoint_connection::readPiece(std::string& piece)
{
    auto self = shared_from_this();
    auto& body = m_parser->get().body();
    while (body.empty() && !m_parser->is_done()) {
        auto [error, bytes] = co_await http::async_read_some(m_socket, m_buffer, *m_parser, asTuple);
        if (error || m_closed)
            co_return call_failure::Broken;
    }
    piece = std::move(body);
    body.clear();
    co_return call_failure::None;
}

task_of<call_failure> endpoint_connection::readRest(std::string& body, std::size_t most)
{
    while (!whole()) {
        std::string piece;
        auto failed = co_await readPiece(piece);
        if (failed != call_failure::None)
            co_return failed;
        body += piece;
        if (body.size() > most)
            co_return call_failure::Broken;
    }
    // The parser may have finished the body while it read the head.
    body += std::exchange(m_parser->get().body(), {});
    co_return call_failure::None;
}

bool endpoint_connection::reusable() const
{
    return !m_closed && m_sent && whole() && m_parser->keep_alive() && m_buffer.size() == 0;
}

bool endpoint_connection::stillQuiet()
{
    char byte = 0;
    auto got = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void endpoint_connection::close()
{
    m_closed = true;
    beast::error_code ignored;
    m_socket.close(ignored);
}

} // namespace pistachiolatch
