#include "Soak/kept_connection.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

namespace pistachiolatch::test {

namespace http = boost::beast::http;

namespace {
    constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
}

simple_response kept_connection::call(const std::string& method, const std::string& target, const http_headers& headers, const std::string& body, milliseconds timeout)
{
    simple_response answer;
    answer.broken = true;
    boost::asio::co_spawn(m_context, exchange(method, target, headers, body, answer), boost::asio::detached);
    m_context.restart();
    m_context.run_for(timeout);
    // A server that is suspended answers nothing; closing the connection ends what is still waiting for it.
    while (!m_context.stopped()) {
        if (m_stream)
            m_stream->close();
        m_context.run_for(milliseconds(10));
    }
    if (answer.broken)
        m_stream.reset();
    m_usedAt = std::chrono::steady_clock::now();
    return answer;
}

void kept_connection::closeIfIdle(milliseconds time)
{
    if (std::chrono::steady_clock::now() - m_usedAt > time)
        m_stream.reset();
}

task_of<bool> kept_connection::connect()
{
    m_stream = std::make_unique<boost::beast::tcp_stream>(m_context);
    m_buffer.clear();
    auto colon = m_address.rfind(':');
    boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(m_address.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(m_address.substr(colon + 1))));
    auto [error] = co_await m_stream->async_connect(endpoint, asTuple);
    co_return !error;
}

task_of<void> kept_connection::exchange(const std::string& method, const std::string& target, const http_headers& headers, const std::string& body, simple_response& answer)
{
    bool connected = m_stream != nullptr;
    if (!connected)
        connected = co_await connect();
    if (!connected)
        co_return;
    http::request<http::string_body> request(http::string_to_verb(method), target, 11, body);
    for (const auto& [name, value] : headers)
        request.insert(name, value);
    request.prepare_payload();
    auto [writeError, written] = co_await http::async_write(*m_stream, request, asTuple);
    if (writeError)
        co_return;
    http::response_parser<http::string_body> parser;
    auto [readError, bytes] = co_await http::async_read(*m_stream, m_buffer, parser, asTuple);
    if (!parser.is_header_done())
        co_return;
    answer.status = parser.get().result_int();
    answer.body = parser.get().body();
    for (const auto& field : parser.get())
        answer.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    answer.broken = static_cast<bool>(readError);
    if (!answer.broken && !parser.keep_alive())
        m_stream.reset();
}

} // namespace pistachiolatch::test
