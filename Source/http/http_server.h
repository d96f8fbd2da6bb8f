#pragma once
#include "http/http_exchange.h"
#include "http/traffic_threads.h"
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace pistachiolatch {

/// Limits and timeouts for the connections of a server.
struct http_limits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 16ULL * 1024 * 1024;
    unsigned connections = 4096;
    milliseconds idleTimeout { 60000 };
    milliseconds readTimeout { 30000 };
    milliseconds writeTimeout { 30000 };
};

/// Response to a request that could not be read, in the error format of the API served at this address.
struct http_error_response {
    unsigned status = 400;
    std::string contentType;
    std::string body;
    http_headers headers;
};

using http_handler = std::function<task_of<void>(http_exchange&)>;
using http_error_formatter = std::function<http_error_response(reason cause)>;

/// Accepts connections on one address and passes each request to the handler. Each connection stays on one thread.
class http_server {
public:
    /// Precondition: the threads outlive the server.
    http_server(traffic_threads& threads, http_limits limits, http_handler handler, http_error_formatter formatError);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts accepting connections. Errors: the address can't be bound. Thread safety: the starting thread.
    result<void> listen(const std::string& address);
    /// Returns the bound port.
    std::uint16_t port() const { return m_port; }
    /// Stops accepting connections; open ones are closed after their current request. Thread safety: any thread.
    void stopAccepting();
    /// Returns the number of requests being processed. Thread safety: any thread.
    unsigned activeRequests() const { return m_state->active.load(); }
    unsigned connections() const { return m_state->connections.load(); }

private:
    struct shared_state {
        http_limits limits;
        http_handler handler;
        http_error_formatter formatError;
        std::atomic<unsigned> active { 0 };
        std::atomic<unsigned> connections { 0 };
        std::atomic<bool> draining { false };
    };
    task_of<void> acceptConnections();
    static task_of<void> serveConnection(std::shared_ptr<shared_state> state, boost::asio::ip::tcp::socket socket);
    static task_of<void> serveRequests(std::shared_ptr<shared_state> state, boost::beast::tcp_stream& stream);

    traffic_threads& m_threads;
    std::shared_ptr<shared_state> m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
};

/// Opens an acceptor and listens on an address. Precondition: isAddress() holds. Errors: the address can't be bound.
/// Thread safety: the acceptor's thread.
result<void> listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address);

/// Parses an address. Precondition: isAddress() holds. Thread safety: any thread.
boost::asio::ip::tcp::endpoint parseAddress(const std::string& address);

} // namespace pistachiolatch
