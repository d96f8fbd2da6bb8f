#pragma once
#include "forwarding/endpoint_paths.h"
#include "forwarding/endpoint_registry.h"
#include "forwarding/endpoint_stream.h"
#include "http/buffer_budget.h"
#include <deque>
#include <set>

namespace pistachiolatch {

struct relay_settings {
    std::string listen;
    /// Connections that are relayed at the same time. Each has two descriptors.
    std::size_t maxSessions = 512;
};

/// Opens connections to endpoints for entries that can't reach them, and passes the bytes on. The entry that asks keeps
/// everything else: it selects the endpoint, counts the call against limits and budgets, and closes its connection to
/// cancel the call. Only entries that were given this run's token by the leader are served, and only to endpoints that
/// this entry knows and reaches directly, so that connections are never relayed twice.
/// Used on the context's thread.
class relay_server {
public:
    using unreachable_handler = std::function<void(const selected_endpoint&)>;

    /// An empty address to listen on means that this entry relays for none. The handler is told of endpoints that this
    /// entry could not reach for a call. Precondition: the references outlive the server.
    relay_server(boost::asio::io_context& context, const clock_source& clock, metrics& counters, buffer_budget& budget, endpoint_registry& endpoints, endpoint_paths& paths, relay_settings settings, unreachable_handler onUnreachable);

    /// Starts to accept connections, if an address to listen on is set. Errors: address in use.
    result<void> listen();
    /// Opens no connections from now on. Those that are open stay, for they carry other entries' calls.
    void drain() { m_draining = true; }
    /// Whether no connection is open.
    bool isIdle() const { return m_sessions.empty(); }
    /// Closes everything.
    void stop();
    /// What this entry offers to others; without an address if it can't help.
    wire::relay_offer offer(const std::string& dataCentre) const;

private:
    struct session;
    using session_ptr = std::shared_ptr<session>;

    void accept();
    task_of<void> serve(session_ptr relayed);
    /// Reads what the other entry asks for. Returns false if it isn't one, or takes too long.
    task_of<bool> readRequest(session_ptr relayed, wire::relay_open& request);
    task_of<wire::relay_status> openEndpoint(session_ptr relayed, wire::relay_open request);
    /// Records what an endpoint asked of this entry in its response to a call that this one relayed.
    void recordStatement(const wire::relay_open& statement);
    static task_of<void> copyToEndpoint(session_ptr relayed);
    static task_of<void> copyToEntry(session_ptr relayed);
    bool isAuthorised(const std::string& token) const;

    boost::asio::io_context& m_context;
    const clock_source& m_clock;
    metrics& m_metrics;
    buffer_budget& m_budget;
    endpoint_registry& m_endpoints;
    endpoint_paths& m_paths;
    relay_settings m_settings;
    unreachable_handler m_onUnreachable;
    std::string m_token;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<session_ptr> m_sessions;
    /// Connections whose peers have not shown that they are entries, the oldest first.
    std::deque<session_ptr> m_unidentified;
    log_limiter m_refusalLog;
    bool m_draining = false;
    bool m_stopped = false;
};

} // namespace pistachiolatch
