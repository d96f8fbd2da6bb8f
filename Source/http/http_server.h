#pragma once
#include "http/http_exchange.h"
#include "http/traffic_threads.h"
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace pistachiolatch {

/// Bounds of one listening address.
struct http_limits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 16ULL * 1024 * 1024;
    unsigned connections = 4096;
    milliseconds idleTimeout { 60000 };
    milliseconds readTimeout { 30000 };
    milliseconds writeTimeout { 30000 };
};

/// An answer to a request that could not be read, in the shape that this address's callers expect.
struct http_error_response {
    unsigned status = 400;
    std::string contentType;
    std::string body;
    http_headers headers;
};

using http_handler = std::function<task_of<void>(http_exchange&)>;
using http_error_formatter = std::function<http_error_response(reason why)>;

/// Accepts connections on one address and hands each request to the handler. A connection stays on one thread.
class http_server {
public:
    /// Precondition: the threads outlive the server.
    http_server(traffic_threads& threads, http_limits limits, http_handler handler, http_error_formatter refuser);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Begins to accept. Errors: address in use, in words. Thread safety: the starting thread.
    result<void> listen(const std::string& address);
    /// The port that was bound.
    std::uint16_t port() const { return m_port; }
    /// Takes no new connections; open ones end after the request they are in. Thread safety: any thread.
    void stopAccepting();
    /// Requests being answered. Thread safety: any thread.
    unsigned activeRequests() const { return m_state->active.load(); }
    unsigned connections() const { return m_state->connections.load(); }

private:
    struct shared_state {
        http_limits limits;
        http_handler handler;
        http_error_formatter refuser;
        std::atomic<unsigned> active { 0 };
        std::atomic<unsigned> connections { 0 };
        std::atomic<bool> draining { false };
    };
    task_of<void> acceptAll();
    static task_of<void> serve(std::shared_ptr<shared_state> state, boost::asio::ip::tcp::socket socket);
    static task_of<void> serveRequests(std::shared_ptr<shared_state> state, boost::beast::tcp_stream& stream);

    traffic_threads& m_threads;
    std::shared_ptr<shared_state> m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
};

/// Opens an acceptor on an address that isAddress() accepts. Errors: address in use, in words.
/// Thread safety: the acceptor's thread.
result<void> listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address);

/// Splits an address that isAddress() accepts. Thread safety: any thread.
boost::asio::ip::tcp::endpoint parseAddress(const std::string& address);

} // namespace pistachiolatch
