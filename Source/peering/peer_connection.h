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

/// A TCP connection that carries length-prefixed envelopes in both directions. Messages sent during a pending write are
/// batched into the next one, in a single system call. Thread safety: the thread of the peer_network only.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    struct callbacks {
        std::function<void(const std::shared_ptr<peer_connection>&, const wire::envelope&)> onMessage;
        std::function<void(const std::shared_ptr<peer_connection>&, const std::string& reason)> onClosed;
        /// A frame of this size is no envelope. It is skipped: others depend on the connection.
        std::function<void(const std::shared_ptr<peer_connection>&, std::size_t bytes)> onUnreadable;
    };

    peer_connection(boost::asio::io_context& context, const clock_source& clock, callbacks handlers);

    /// Connects, then sends the messages queued meanwhile. Precondition: called once, instead of attach().
    void connect(const std::string& address);
    /// Takes ownership of an accepted socket.
    void attach(boost::asio::ip::tcp::socket socket);
    /// Queues an envelope. Closes the connection if the envelope would exceed the limit on queued bytes.
    void send(const wire::envelope& message);
    /// Closes the connection; onClosed is called once, asynchronously.
    void close(const std::string& reason);
    bool isOpen() const { return !m_closed; }
    /// Detects an unresponsive peer: sends a ping, then closes the connection if nothing is received.
    void checkTimeout(time_point now);
    /// The peer's listening address; empty for an accepted connection whose peer does not listen.
    const std::string& peerAddress() const { return m_peerAddress; }
    void setPeerAddress(std::string address) { m_peerAddress = std::move(address); }

private:
    void startTransfer();
    void setSocketOptions();
    void readMore();
    bool parseFrames();
    void writeQueued();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    const clock_source& m_clock;
    callbacks m_callbacks;
    std::string m_peerAddress;
    std::string m_sendQueue;
    std::string m_writeBuffer;
    std::vector<char> m_readBuffer;
    std::size_t m_readBufferEnd = 0;
    bool m_connected = false;
    bool m_closed = false;
    /// When the first message was sent after the last receive; zero if no response is expected.
    time_point m_responseExpectedSince {};
    bool m_pingSent = false;
};

} // namespace pistachiolatch
