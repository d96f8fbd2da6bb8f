#pragma once
#include "peering/peer_connection.h"
#include <map>
#include <set>

namespace pistachiolatch {

/// Sends envelopes to peers by address and receives theirs. There is one connection for each peer, used both ways:
/// the side that connects names its own listening address first, so that the other side sends over the same
/// connection. Nothing relies on delivery: a call ends with its reply or with nothing at its timeout.
/// Thread safety: everything is called on the thread that runs the context.
class peer_network {
public:
    using peer = std::shared_ptr<peer_connection>;
    using receiver = std::function<void(const wire::envelope& message, const peer& from)>;
    /// Gets null when no reply came in time or the connection broke.
    using reply_handler = std::function<void(const wire::envelope* reply)>;

    /// Preconditions: the references outlive the network.
    peer_network(boost::asio::io_context& context, const clock_source& clock, metrics& counters);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// Accepts connections on the address. A process that only connects need not listen. Errors: address in use.
    result<void> listen(const std::string& address);
    /// Begins to look after silent connections. Precondition: onMessage() was called.
    void start();
    void stop();
    void onMessage(receiver receive) { m_receive = std::move(receive); }
    /// Called when the connection to a peer was lost.
    void onLost(std::function<void(const peer&)> lost) { m_lost = std::move(lost); }

    /// Sends one message; connects first where needed. Dropped while a lost peer's pause before reconnecting lasts.
    void send(const std::string& address, wire::envelope message);
    /// Sends over a connection that the peer opened.
    void send(const peer& to, const wire::envelope& message) { to->send(message); }
    void call(const std::string& address, wire::envelope message, milliseconds timeout, reply_handler handler);
    /// Answers a call over the connection that it came on.
    static void reply(const peer& to, const wire::envelope& call, wire::envelope message);

private:
    struct pending_call {
        reply_handler handler;
        std::shared_ptr<boost::asio::steady_timer> timer;
        peer over;
    };

    peer connectionTo(const std::string& address);
    peer makeConnection();
    void accept();
    void received(const peer& from, const wire::envelope& message);
    void closed(const peer& from, const std::string& why);
    void finishCall(std::uint64_t id, const wire::envelope* reply);
    void watchSilence();

    boost::asio::io_context& m_context;
    const clock_source& m_clock;
    metrics& m_metrics;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_silenceTimer;
    time_point m_lastSilenceCheck {};
    std::string m_ownAddress;
    receiver m_receive;
    std::function<void(const peer&)> m_lost;
    std::map<std::string, peer> m_byAddress;
    std::map<std::string, time_point> m_retryAt;
    /// Peers whose loss was logged and that were not heard since, so that each loss is told once.
    std::set<std::string> m_toldLost;
    std::set<peer> m_all;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, pending_call> m_calls;
    bool m_stopped = false;
};

} // namespace pistachiolatch
