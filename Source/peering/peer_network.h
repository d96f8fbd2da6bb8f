#pragma once
#include "peering/peer_connection.h"
#include <map>
#include <set>

namespace pistachiolatch {

/// Exchanges envelopes with peers by address. There is one connection for each peer, used in both directions: the
/// connecting side first sends its own listening address, so that the other side can send over the same connection.
/// Delivery is not guaranteed: a call completes with its reply, or without one at its timeout.
/// Thread safety: the thread that runs the context only.
class peer_network {
public:
    using peer = std::shared_ptr<peer_connection>;
    using receiver = std::function<void(const wire::envelope& message, const peer& from)>;
    /// Receives null if no reply arrived in time or the connection was lost.
    using reply_handler = std::function<void(const wire::envelope* reply)>;

    /// Preconditions: the references outlive the network.
    peer_network(boost::asio::io_context& context, const clock_source& clock, metrics& counters);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// Accepts connections on the address. Optional for a process that only connects. Errors: address in use.
    result<void> listen(const std::string& address);
    /// Starts checking connections for timeouts. Precondition: onMessage() was called.
    void start();
    void stop();
    void onMessage(receiver receive) { m_onMessage = std::move(receive); }
    /// Sets the handler for lost connections.
    void onLost(std::function<void(const peer&)> lost) { m_onLost = std::move(lost); }

    /// Sends a message, connecting first if necessary. The message is dropped during the reconnect delay of a lost peer.
    void send(const std::string& address, wire::envelope message);
    /// Sends over a connection that the peer opened.
    void send(const peer& to, const wire::envelope& message) { to->send(message); }
    void call(const std::string& address, wire::envelope message, milliseconds timeout, reply_handler handler);
    /// Replies to a call over the connection on which it was received.
    static void reply(const peer& to, const wire::envelope& call, wire::envelope message);

private:
    struct pending_call {
        reply_handler handler;
        std::shared_ptr<boost::asio::steady_timer> timer;
        peer connection;
    };

    peer findOrConnect(const std::string& address);
    peer createConnection();
    void accept();
    void handleMessage(const peer& from, const wire::envelope& message);
    void handleClosed(const peer& from, const std::string& reason);
    void completeCall(std::uint64_t id, const wire::envelope* reply);
    void scheduleTimeoutCheck();

    boost::asio::io_context& m_context;
    const clock_source& m_clock;
    metrics& m_metrics;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timeoutCheckTimer;
    time_point m_lastTimeoutCheck {};
    std::string m_ownAddress;
    receiver m_onMessage;
    std::function<void(const peer&)> m_onLost;
    std::map<std::string, peer> m_connectionsByAddress;
    std::map<std::string, time_point> m_reconnectAt;
    /// Peers reported as lost that have not sent anything since, so that each loss is logged only once.
    std::set<std::string> m_reportedLost;
    std::set<peer> m_connections;
    std::uint64_t m_lastCallId = 0;
    std::map<std::uint64_t, pending_call> m_calls;
    bool m_stopped = false;
};

} // namespace pistachiolatch
