#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pistachiolatch {

/// One TCP connection that carries length-prefixed envelopes both ways. What is sent while a write is under way goes
/// out with the next one, in a single system call. Used on the network's thread only.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    struct events {
        std::function<void(const std::shared_ptr<peer_connection>&, const wire::envelope&)> message;
        std::function<void(const std::shared_ptr<peer_connection>&, const std::string& why)> closed;
    };

    peer_connection(boost::asio::io_context& context, const clock_source& clock, events handlers);

    /// Connects, then sends what was queued meanwhile. Precondition: called once, instead of adopt().
    void connect(const std::string& address);
    /// Takes over an accepted socket.
    void adopt(boost::asio::ip::tcp::socket socket);
    /// Queues an envelope. One that would exceed the bound on queued bytes closes the connection instead.
    void send(const wire::envelope& message);
    /// Ends the connection; the closed event follows once.
    void close(const std::string& why);
    bool isOpen() const { return !m_closed; }
    /// Looks for a peer that has gone silent: asks for a sign of life, then gives up.
    void checkSilence(time_point now);
    /// Where this connection leads; empty for an accepted one whose peer does not listen.
    const std::string& peerAddress() const { return m_peerAddress; }
    void setPeerAddress(std::string address) { m_peerAddress = std::move(address); }

private:
    void begin();
    void applyOptions();
    void readMore();
    bool takeFrames();
    void writeQueued();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    const clock_source& m_clock;
    events m_events;
    std::string m_peerAddress;
    std::string m_queued;
    std::string m_writing;
    std::vector<char> m_read;
    std::size_t m_readEnd = 0;
    bool m_connected = false;
    bool m_closed = false;
    /// Since when something was sent without anything heard after it; zero when nothing is awaited.
    time_point m_awaitingSince {};
    bool m_pinged = false;
};

} // namespace pistachiolatch
