#pragma once
#include "http/http_exchange.h"
#include "http/request_reader.h"
#include "http/traffic_threads.h"
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace pistachiolatch {

/// Bounds what the kernel holds for an address at which a server listens.
struct listen_limits {
    /// Connections that wait to be accepted. More have to be attempted again, which callers' systems do after a second.
    int waitingConnections = boost::asio::socket_base::max_listen_connections;
    /// What may be received on a connection before it is read, also before it is accepted; 0 leaves that to the kernel, which doubles
    /// any other number.
    int receiveBufferBytes = 0;
};

/// Limits and timeouts for the connections of a server.
struct http_limits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 16ULL * 1024 * 1024;
    /// If there are more, those are closed that have waited longest for a request, or for the rest of one.
    unsigned connections = 4096;
    milliseconds idleTimeout { 60000 };
    milliseconds readTimeout { 30000 };
    milliseconds writeTimeout { 30000 };
    /// How long a request may be served before its connection can be closed for others: for servers that answer at once, whose
    /// callers don't read the answer then. Zero means that it can't.
    milliseconds longestService { 0 };
    listen_limits listening;
};

/// Response to a request that could not be read, in the error format of the API served at this address.
struct http_error_response {
    unsigned status = 400;
    std::string contentType;
    std::string body;
    http_headers headers;
};

using http_handler = std::function<task_of<void>(http_exchange&)>;
/// The longest body that a request may have, at most http_limits::bodyBytes. A body is not read if this is 0.
using http_body_limit = std::function<std::uint64_t(const http_exchange::request& head)>;
using http_error_formatter = std::function<http_error_response(reason cause)>;

/// Accepts connections on one address and passes each request to the handler. Each connection stays on one thread.
class http_server {
public:
    /// What it reads and sends is accounted in the budget; without one, nothing limits it in sum. Precondition: the threads outlive the
    /// server, and the budget outlives the threads.
    http_server(traffic_threads& threads, http_limits limits, http_handler handler, http_error_formatter formatError, buffer_budget* budget = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Limits bodies by request. Precondition: called before listen().
    void setBodyLimit(http_body_limit limit) { m_state->bodyLimit = std::move(limit); }
    /// Counts what it refuses and closes. Precondition: called before listen(); the metrics outlive the server.
    void setMetrics(metrics& counters) { m_state->counters = &counters; }
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
    class connection;
    using connection_ptr = std::shared_ptr<connection>;

    /// What connections use, which may outlive the server's state.
    struct shared_resources {
        buffer_budget ownBudget;
        buffer_budget* budget = &ownBudget;
        boottime_clock_source clock;

        time_point now() const { return clock.now(); }
    };

    struct shared_state {
        http_limits limits;
        http_handler handler;
        http_error_formatter formatError;
        http_body_limit bodyLimit;
        metrics* counters = nullptr;
        std::shared_ptr<shared_resources> resources;
        std::atomic<unsigned> active { 0 };
        std::atomic<unsigned> connections { 0 };
        std::atomic<bool> draining { false };
        std::mutex mutex;
        std::set<connection_ptr> open;

        void count(const char* event) const;
    };
    task_of<void> acceptConnections();
    /// Starts to serve a connection on its thread, in place of the one that has waited longest if there are too many.
    void takeIn(boost::asio::ip::tcp::socket socket);
    /// Looks at all connections at intervals: ends those that hold what others need, and idle ones during a shutdown.
    static task_of<void> watchConnections(std::weak_ptr<shared_state> state, boost::asio::io_context& context);
    /// Closes the connection that has waited longest for its caller, if there is one.
    static void closeLongestWaiting(shared_state& state);
    static task_of<void> serveConnection(std::shared_ptr<shared_state> state, connection_ptr served);
    static task_of<void> serveRequests(shared_state& state, connection& served);
    /// Reads a request, or refuses it. Returns whether there is one to handle.
    static task_of<bool> readRequest(shared_state& state, connection& served);
    static task_of<void> refuse(shared_state& state, connection& served, reason cause);

    traffic_threads& m_threads;
    std::shared_ptr<shared_state> m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
};

/// Opens an acceptor that doesn't block and listens on an address. Precondition: isAddress() holds. Errors: the address can't be bound.
/// Thread safety: the acceptor's thread.
result<void> listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address, listen_limits limits = {});

/// Accepts connections that wait to be accepted, a bounded number of them, and passes each to a function. Servers do this in each turn
/// of the event loop: connections that wait hold what has arrived on them, and the turns of a busy server take long. The sockets belong to the
/// contexts that a function returns. Precondition: listenOn() opened the acceptor. Thread safety: the acceptor's thread.
template <typename ChooseContext, typename TakeIn>
void acceptWaiting(boost::asio::ip::tcp::acceptor& acceptor, ChooseContext&& chooseContext, TakeIn&& takeIn)
{
    constexpr int maxBatch = 64;
    for (int i = 0; i < maxBatch; ++i) {
        boost::asio::ip::tcp::socket next(chooseContext());
        boost::system::error_code error;
        acceptor.accept(next, error);
        if (error)
            return;
        takeIn(std::move(next));
    }
}

/// Parses an address. Precondition: isAddress() holds. Thread safety: any thread.
boost::asio::ip::tcp::endpoint parseAddress(const std::string& address);

} // namespace pistachiolatch
