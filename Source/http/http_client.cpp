#include "http/http_client.h"

#include "http/http_server.h"
#include "http/transfer_coding.h"
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

namespace pistachiolatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr unsigned httpVersion11 = 11;
    constexpr std::uint64_t maxResponseBytes = 256ULL * 1024 * 1024;

    call_failure toCallFailure(const beast::error_code& error)
    {
        return error == beast::error::timeout ? call_failure::Stalled : call_failure::Broken;
    }
}

task_of<call_failure> http_client::send(const std::string& address, const http_request& request, milliseconds connectTimeout, milliseconds sendTimeout)
{
    if (!isAddress(address))
        co_return call_failure::NotSent;
    auto endpoint = parseAddress(address);
    m_stream.expires_after(connectTimeout);
    auto [connectError] = co_await m_stream.async_connect(endpoint, asTuple);
    if (connectError)
        co_return call_failure::NotSent;
    beast::error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);

    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(httpVersion11);
    message.set(http::field::host, address);
    for (const auto& [name, value] : request.headers)
        message.set(name, value);
    message.keep_alive(false);
    message.body() = request.body;
    message.prepare_payload();
    m_stream.expires_after(sendTimeout);
    auto [writeError, bytes] = co_await http::async_write(m_stream, message, asTuple);
    if (writeError)
        co_return bytes == 0 ? call_failure::NotSent : toCallFailure(writeError);
    co_return call_failure::None;
}

task_of<call_failure> http_client::readHead(milliseconds timeout)
{
    m_parser.emplace();
    m_parser->body_limit(maxResponseBytes);
    m_stream.expires_after(timeout);
    auto [error, bytes] = co_await http::async_read_header(m_stream, m_buffer, *m_parser, asTuple);
    if (!error && hasUnknownTransferCoding(m_parser->get()))
        co_return toCallFailure(http::error::bad_transfer_encoding);
    co_return error ? toCallFailure(error) : call_failure::None;
}

std::string http_client::header(std::string_view name) const
{
    const auto& fields = m_parser->get();
    auto found = fields.find(beast::string_view(name.data(), name.size()));
    return found == fields.end() ? std::string() : std::string(found->value());
}

http_headers http_client::headers() const
{
    http_headers all;
    for (const auto& field : m_parser->get())
        all.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return all;
}

task_of<call_failure> http_client::readPiece(std::string& piece, milliseconds timeout)
{
    piece.clear();
    while (true) {
        // readHead() may have read part of the body already.
        auto& body = m_parser->get().body();
        if (!body.empty()) {
            piece = std::exchange(body, {});
            co_return call_failure::None;
        }
        if (m_parser->is_done())
            co_return call_failure::None;
        m_stream.expires_after(timeout);
        auto [error, bytes] = co_await http::async_read_some(m_stream, m_buffer, *m_parser, asTuple);
        if (error) {
            m_readFailed = true;
            co_return toCallFailure(error);
        }
    }
}

task_of<http_response> http_client::fetch(const std::string& address, const http_request& request, milliseconds connectTimeout, milliseconds timeout)
{
    http_response response;
    http_client client(co_await asio::this_coro::executor);
    response.failed = co_await client.send(address, request, connectTimeout, timeout);
    if (response.failed != call_failure::None)
        co_return response;
    response.failed = co_await client.readHead(timeout);
    if (response.failed != call_failure::None)
        co_return response;
    response.status = client.status();
    response.contentType = client.header("Content-Type");
    response.headers = client.headers();
    std::string piece;
    while (true) {
        response.failed = co_await client.readPiece(piece, timeout);
        if (response.failed != call_failure::None || piece.empty())
            co_return response;
        response.body += piece;
    }
}

} // namespace pistachiolatch
