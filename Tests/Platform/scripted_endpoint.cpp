#include "Platform/scripted_endpoint.h"

#include "Platform/fake_endpoint.h"
#include "platform_names.h"
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

namespace pistachiolatch::test {

namespace {
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t missingBytes = 10;

    std::string encode(const scripted_response& response)
    {
        if (!response.raw.empty())
            return response.raw;
        auto bytes = fmt::format("HTTP/1.1 {} Scripted\r\n", response.statusText.empty() ? std::to_string(response.status) : response.statusText);
        for (const auto& [name, value] : response.headers)
            bytes += fmt::format("{}: {}\r\n", name, value);
        switch (response.framing) {
        case body_framing::Length:
            return bytes + fmt::format("Content-Length: {}\r\n\r\n{}", response.body.size() + (response.truncated ? missingBytes : 0), response.body);
        case body_framing::Chunked:
            bytes += "Transfer-Encoding: chunked\r\n\r\n";
            if (!response.body.empty())
                bytes += fmt::format("{:x}\r\n{}\r\n", response.body.size(), response.body);
            return bytes + (response.truncated ? "" : "0\r\n\r\n");
        case body_framing::None:
            break;
        }
        return bytes + "\r\n" + response.body;
    }
}

scripted_endpoint::scripted_endpoint(const std::string& address, script respond)
    : m_respond(std::move(respond))
    , m_acceptor(m_context, parseAddress(address))
{
    asio::co_spawn(m_context, accept(), asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
}

scripted_endpoint::~scripted_endpoint()
{
    m_context.stop();
    m_thread.join();
}

std::map<std::string, int> scripted_endpoint::requestCounts() const
{
    std::lock_guard lock(m_mutex);
    return m_requestCounts;
}

std::vector<scripted_arrival> scripted_endpoint::arrivals() const
{
    std::lock_guard lock(m_mutex);
    return m_arrivals;
}

task_of<void> scripted_endpoint::accept()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(asTuple);
        if (error)
            co_return;
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

task_of<bool> scripted_endpoint::write(asio::ip::tcp::socket& socket, const scripted_response& response, const std::string& before)
{
    auto bytes = before + encode(response);
    if (response.endlessHead)
        bytes.resize(bytes.find("\r\n\r\n"));
    auto [writeError, writtenBytes] = co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
    if (writeError)
        co_return false;
    while (response.endless || response.endlessHead) {
        const std::string more(4096, 'x');
        auto [moreError, moreBytes] = co_await asio::async_write(socket, asio::buffer(more), asTuple);
        if (moreError)
            co_return false;
    }
    if (response.end == connection_end::KeepOpen)
        co_return true;
    if (response.end == connection_end::Close)
        co_return false;
    asio::steady_timer timer(m_context, response.resetDelay);
    co_await timer.async_wait(asTuple);
    socket.set_option(asio::socket_base::linger(true, 0));
    // The destructor would turn the option off again.
    socket.close();
    co_return false;
}

task_of<void> scripted_endpoint::serve(asio::ip::tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    auto from = socket.remote_endpoint().address().to_string();
    std::string lateCopy;
    std::string nextCopy;
    while (true) {
        constexpr std::uint32_t maxHeadBytes = 64 * 1024;
        constexpr std::uint64_t maxBodyBytes = 16ULL * 1024 * 1024;
        http::request_parser<http::string_body> parser;
        parser.header_limit(maxHeadBytes);
        parser.body_limit(maxBodyBytes);
        auto [headError, headBytes] = co_await http::async_read_header(socket, buffer, parser, asTuple);
        if (headError)
            co_return;
        if (auto early = m_respondEarly ? m_respondEarly(parser.get()) : std::nullopt) {
            early->headers.emplace(early->headers.begin(), platform_names::requestId, std::string(parser.get()[platform_names::requestId]));
            {
                std::lock_guard lock(m_mutex);
                ++m_requestCounts[std::string(parser.get()[platform_names::requestId])];
            }
            bool usedOn = co_await write(socket, *early, {});
            if (!usedOn)
                co_return;
        }
        auto [readError, readBytes] = co_await http::async_read(socket, buffer, parser, asTuple);
        if (readError)
            co_return;
        auto request = parser.release();
        if (request.target() == platform_names::reportPath) {
            {
                std::lock_guard lock(m_mutex);
                m_arrivals.push_back({ std::chrono::steady_clock::now(), from, "", 200 });
            }
            scripted_response status;
            status.framing = body_framing::Length;
            status.end = connection_end::KeepOpen;
            status.body = fmt::format("{{\"{}\":{}}}", platform_names::startTime, fake_endpoint::firstStartTime);
            if (m_respondToStatus)
                status = m_respondToStatus(request);
            auto copy = std::exchange(nextCopy, status.repeatedBeforeNext ? encode(status) : std::string());
            bool usedOn = co_await write(socket, status, copy);
            if (!usedOn)
                co_return;
            continue;
        }
        auto id = std::string(request[platform_names::requestId]);
        {
            std::lock_guard lock(m_mutex);
            ++m_requestCounts[id];
        }
        auto response = m_respond(request);
        response.headers.emplace(response.headers.begin(), platform_names::requestId, id);
        {
            std::lock_guard lock(m_mutex);
            m_arrivals.push_back({ std::chrono::steady_clock::now(), from, id, response.status });
        }
        auto copy = std::exchange(lateCopy, response.repeatedLate ? encode(response) : std::string());
        copy += std::exchange(nextCopy, response.repeatedBeforeNext ? encode(response) : std::string());
        bool usedOn = co_await write(socket, response, copy);
        if (!usedOn)
            co_return;
    }
}

} // namespace pistachiolatch::test
