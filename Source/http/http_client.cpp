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
    m_reader.expect({ {}, {}, request.method == "HEAD", request.maxResponseBytes });
    m_stream.expires_after(sendTimeout);
    auto [writeError, bytes] = co_await http::async_write(m_stream, message, asTuple);
    if (writeError)
        co_return bytes == 0 ? call_failure::NotSent : toCallFailure(writeError);
    m_reader.recordSent();
    co_return call_failure::None;
}

task_of<call_failure> http_client::readHead(milliseconds timeout)
{
    m_stream.expires_after(timeout);
    auto error = co_await m_reader.readHead(m_stream, asTuple);
    co_return error ? toCallFailure(error) : call_failure::None;
}

std::string http_client::header(std::string_view name) const
{
    const auto& fields = m_reader.head();
    auto found = fields.find(beast::string_view(name.data(), name.size()));
    return found == fields.end() ? std::string() : std::string(found->value());
}

http_headers http_client::headers() const
{
    http_headers all;
    for (const auto& field : m_reader.head())
        all.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return all;
}

task_of<call_failure> http_client::readPiece(std::string& piece, milliseconds timeout)
{
    m_stream.expires_after(timeout);
    auto failed = co_await readNextPiece(piece);
    co_return failed;
}

task_of<call_failure> http_client::readNextPiece(std::string& piece)
{
    auto error = co_await m_reader.readBody(m_stream, asTuple);
    piece = m_reader.takeBody();
    bool isBrokenOff = piece.empty() && m_reader.bodyEnd() == body_end::Reset;
    if (error)
        co_return toCallFailure(error);
    co_return isBrokenOff ? call_failure::Broken : call_failure::None;
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
    client.m_stream.expires_after(timeout);
    while (true) {
        response.failed = co_await client.readNextPiece(piece);
        if (response.failed != call_failure::None || piece.empty())
            co_return response;
        response.body += piece;
    }
}

} // namespace pistachiolatch
