#pragma once
#include "Support/fleet.h"
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

namespace pistachiolatch::test {

/// A caller's connection that is used for one request after the other until the server closes it. Not thread-safe.
class kept_connection {
public:
    explicit kept_connection(std::string address)
        : m_address(std::move(address))
    {
    }

    /// Sends a request, connecting first if necessary. The response is marked as broken if it is incomplete.
    simple_response call(const std::string& method, const std::string& target, const http_headers& headers, const std::string& body, milliseconds timeout);

    /// Closes the connection unless it was used a short time ago.
    void closeIfIdle(milliseconds time);

private:
    task_of<void> exchange(const std::string& method, const std::string& target, const http_headers& headers, const std::string& body, simple_response& answer);
    task_of<bool> connect();

    std::string m_address;
    boost::asio::io_context m_context;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
    std::chrono::steady_clock::time_point m_usedAt {};
    boost::beast::flat_buffer m_buffer;
};

} // namespace pistachiolatch::test
