#pragma once
#include "forwarding/connection_pool.h"
#include "forwarding/endpoint_paths.h"
#include "forwarding/endpoint_registry.h"
#include "forwarding/relay_choice.h"
#include <functional>
#include <set>

namespace pistachiolatch {

/// Opens connections to endpoints: pooled, direct, or through another entry where this one doesn't reach the endpoint.
/// Nothing is sent to the endpoint before open() returns, so a call that gets no connection has certainly not run.
/// Used on the context's thread.
class endpoint_connector {
public:
    using unreachable_handler = std::function<void(const selected_endpoint&)>;

    /// The handler is told of endpoints that neither this entry nor another one reaches. Precondition: the references
    /// outlive the connector.
    endpoint_connector(boost::asio::io_context& context, const clock_source& clock, metrics& counters, endpoint_registry& endpoints,
        connection_pool& pool, endpoint_paths& paths, relay_choice& relays, unreachable_handler onUnreachable);

    /// Opens a connection and stores it in `connection`, also while it is being opened, so that the caller can close it.
    /// A connection that has carried a request of this id is not reused.
    /// Returns false if the endpoint is not reached on any path or isAborted() returns true meanwhile.
    task_of<bool> open(const selected_endpoint& endpoint, const std::string& requestId, bool idempotent, std::shared_ptr<endpoint_connection>& connection, const std::function<bool()>& isAborted);
    /// Passes on to the entry that relayed a call what the endpoint asked of it.
    void tellRelay(const std::string& relayAddress, const selected_endpoint& endpoint, milliseconds rest, bool leaves);
    /// Has other entries check whether an endpoint is reachable that this one could not reach.
    void verify(const selected_endpoint& endpoint);
    void stop() { m_probeTimer.cancel(); }

private:
    task_of<bool> connectDirect(selected_endpoint endpoint, std::shared_ptr<endpoint_connection> connection);
    /// Tries other entries one after the other. The endpoint counts as unreachable only if several say so, because one may
    /// be cut off itself without knowing it.
    task_of<wire::relay_status> connectThroughRelay(const selected_endpoint& endpoint, bool isProbe, std::shared_ptr<endpoint_connection>& connection, const std::function<bool()>& isAborted);
    task_of<void> probeThroughRelay(selected_endpoint endpoint);
    task_of<void> probe(selected_endpoint endpoint);
    task_of<void> sendStatement(std::string relayAddress, wire::relay_open statement);
    void applyRelayStatus(const selected_endpoint& endpoint, wire::relay_status status);
    void onDirectSuccess(const std::string& endpoint);
    void scheduleProbe();
    void updateGauges();

    boost::asio::io_context& m_context;
    const clock_source& m_clock;
    metrics& m_metrics;
    endpoint_registry& m_endpoints;
    connection_pool& m_pool;
    endpoint_paths& m_paths;
    relay_choice& m_relays;
    unreachable_handler m_onUnreachable;
    boost::asio::steady_timer m_probeTimer;
    bool m_probing = false;
    std::set<std::string> m_verifying;
};

} // namespace pistachiolatch
