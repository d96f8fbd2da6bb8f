#include "http/http_client.h"

#include "http/http_server.h"
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

namespace pistachiolatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr unsigned httpVersion11 = 11;
    constexpr std::uint64_t largestAnswer = 256ULL * 1024 * 1024;

    call_failure failureOf(const beast::error_code& error)
    {
        return error == beast::error::timeout ? call_failure::Stalled : call_failure::Broken;
    }
}

task_of<call_failure> http_client::send(const std::string& address, const http_request& call, milliseconds connectTimeout, milliseconds sendTimeout)
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

    http::request<http::string_body> request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(httpVersion11);
    request.set(http::field::host, address);
    for (const auto& [name, value] : call.headers)
        request.set(name, value);
    request.keep_alive(false);
    request.body() = call.body;
    request.prepare_payload();
    m_stream.expires_after(sendTimeout);
    auto [writeError, bytes] = co_await http::async_write(m_stream, request, asTuple);
    if (writeError)
        co_return bytes == 0 ? call_failure::NotSent : failureOf(writeError);
    co_return call_failure::None;
}

task_of<call_failure> http_client::readHead(milliseconds timeout)
{
    m_parser.emplace();
    m_parser->body_limit(largestAnswer);
    m_stream.expires_after(timeout);
    auto [error, bytes] = co_await http::async_read_header(m_stream, m_buffer, *m_parser, asTuple);
    co_return error ? failureOf(error) : call_failure::None;
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
        // Reading the head may already have brought part of the body.
        auto& body = m_parser->get().body();
        if (!body.empty()) {
            piece = std::exchange(body, {});
            co_return call_failure::None;
        }
        if (m_parser->is_done())
            co_return call_failure::None;
        m_stream.expires_after(timeout);
        auto [error, bytes] = co_await http::async_read_some(m_stream, m_buffer, *m_parser, asTuple);
        if (error)
            co_return failureOf(error);
    }
}

task_of<http_response> http_client::fetch(const std::string& address, const http_request& call, milliseconds connectTimeout, milliseconds timeout)
{
    http_response answer;
    http_client client(co_await asio::this_coro::executor);
    answer.failed = co_await client.send(address, call, connectTimeout, timeout);
    if (answer.failed != call_failure::None)
        co_return answer;
    answer.failed = co_await client.readHead(timeout);
    if (answer.failed != call_failure::None)
        co_return answer;
    answer.status = client.status();
    answer.contentType = client.header("Content-Type");
    answer.headers = client.headers();
    std::string piece;
    while (true) {
        answer.failed = co_await client.readPiece(piece, timeout);
        if (answer.failed != call_failure::None || piece.empty())
            co_return answer;
        answer.body += piece;
    }
}

} // namespace pistachiolatch
