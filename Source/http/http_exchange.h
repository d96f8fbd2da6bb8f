#pragma once
#include "http/buffer_budget.h"
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

/// Where what an exchange holds is accounted. Precondition: the budget and the clock outlive the exchange.
struct exchange_account {
    buffer_budget* budget = nullptr;
    buffer_budget::holder_id holder = 0;
    const clock_source* clock = nullptr;
};

/// A request and its response. At most one response is sent. Used only on the connection's thread.
class http_exchange {
public:
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    /// Without an account, what it holds isn't accounted.
    http_exchange(boost::beast::tcp_stream& stream, request message, milliseconds writeTimeout, exchange_account account = {});

    const request& message() const { return m_request; }
    std::string_view method() const { return { m_request.method_string().data(), m_request.method_string().size() }; }
    /// The target without its query string.
    std::string path() const;
    /// Returns the value of a header, or an empty string if it is missing.
    std::string header(std::string_view name) const;
    /// Whether a response was started; further responses are ignored.
    bool responseStarted() const { return m_responseStarted; }
    /// Whether the connection stays open for another request.
    bool keepAlive() const { return m_keepAlive; }
    /// Closes the connection after this response.
    void closeAfterResponse() { m_keepAlive = false; }

    /// Accounts memory that the handler needs until the exchange ends. Returns false if there is no room for it; the request should be
    /// refused then.
    task_of<bool> reserve(std::size_t bytes);
    /// Sends a whole response. Returns false if it could not be sent.
    task_of<bool> respond(unsigned status, const std::string& contentType, std::string body, const http_headers& headers = {});
    /// Starts a chunked response. Each write waits until the caller's connection accepts it: backpressure keeps memory
    /// bounded when the caller reads slowly.
    task_of<bool> beginStream(unsigned status, const std::string& contentType, const http_headers& headers = {});
    task_of<bool> writeChunk(const std::string& chunk);
    task_of<bool> endStream();
    /// Closes the connection without the last chunk, so that the caller can detect the truncated response.
    void abortStream();
    /// Whether the caller has closed the connection, so that no response would reach it.
    bool isCallerGone() const;
    /// Completes when the caller closes the connection.
    task_of<void> waitForDisconnect();

private:
    task_of<bool> write(const std::string& bytes);

    boost::beast::tcp_stream& m_stream;
    request m_request;
    milliseconds m_writeTimeout;
    exchange_account m_account;
    buffer_charge m_reserved;
    buffer_charge m_responseCharge;
    bool m_responseStarted = false;
    bool m_keepAlive = true;
};

} // namespace pistachiolatch
