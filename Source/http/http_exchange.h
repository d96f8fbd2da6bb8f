#pragma once
#include "kernel/kernel.h"
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <utility>
#include <vector>

namespace pistachiolatch {

using http_headers = std::vector<std::pair<std::string, std::string>>;
template <typename T>
using task_of = boost::asio::awaitable<T>;

/// One request and its answer, of which there is at most one. Used on the connection's thread only.
class http_exchange {
public:
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    http_exchange(boost::beast::tcp_stream& stream, request message, milliseconds writeTimeout)
        : m_stream(stream)
        , m_request(std::move(message))
        , m_writeTimeout(writeTimeout)
    {
    }

    const request& message() const { return m_request; }
    std::string_view method() const { return { m_request.method_string().data(), m_request.method_string().size() }; }
    /// The path without its query.
    std::string path() const;
    /// A header's value, empty when it is missing.
    std::string header(std::string_view name) const;
    /// Whether an answer was begun. A second one is not sent.
    bool responseStarted() const { return m_responseStarted; }
    /// Whether the connection can carry another request.
    bool keepAlive() const { return m_keepAlive; }
    /// Closes the connection after this answer.
    void closeAfter() { m_keepAlive = false; }

    /// Sends a whole answer. Returns false if the caller is gone.
    task_of<bool> respond(unsigned status, const std::string& contentType, std::string body, const http_headers& headers = {});
    /// Begins an answer in pieces. Each write waits until the caller's connection takes it, so a slow caller holds
    /// back its source and memory does not grow.
    task_of<bool> beginStream(unsigned status, const std::string& contentType, const http_headers& headers = {});
    task_of<bool> writeChunk(const std::string& piece);
    task_of<bool> endStream();
    /// Ends the connection without the end mark, so that the caller can't take a cut answer for a whole one.
    void abortStream();
    /// Completes when the caller has closed the connection.
    task_of<void> waitForDisconnect();

private:
    task_of<bool> write(const std::string& bytes);

    boost::beast::tcp_stream& m_stream;
    request m_request;
    milliseconds m_writeTimeout;
    bool m_responseStarted = false;
    bool m_keepAlive = true;
};

} // namespace pistachiolatch
