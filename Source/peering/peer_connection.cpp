#include "peering/peer_connection.h"

#include "http/http_server.h"
#include <boost/asio.hpp>
#include <cstring>
#include <netinet/tcp.h>

namespace pistachiolatch {

namespace asio = boost::asio;

namespace {
    constexpr std::size_t lengthPrefixBytes = 4;
    /// Exceeds the largest frame, a snapshot that contains a configuration of the maximum size.
    constexpr std::uint32_t maxFrameBytes = 32U * 1024 * 1024;
    /// A slow peer's connection is closed if the send queue exceeds this: twice the largest frame.
    constexpr std::size_t maxQueuedBytes = 2UL * maxFrameBytes;
    constexpr std::size_t initialReadBufferBytes = 16UL * 1024;
    /// Connecting within a region takes milliseconds; a VM that is down or partitioned doesn't respond at all.
    constexpr milliseconds connectTimeout { 400 };
    /// The connection is dead if the peer's kernel doesn't acknowledge sent bytes within this time. Long enough for
    /// several round trips and retransmissions.
    constexpr unsigned tcpUserTimeoutMs = 1500;
    /// A ping is sent after this time without a response; leaders send every 60 ms, entries sync every 500 ms.
    constexpr milliseconds pingDelay { 400 };
    /// The connection is closed after this time without a response. Shorter than the election timeout, so that a dead
    /// connection to a live leader is replaced before its followers start an election.
    constexpr milliseconds responseTimeout { 1000 };
}

peer_connection::peer_connection(asio::io_context& context, const clock_source& clock, callbacks handlers)
    : m_socket(context)
    , m_connectTimer(context)
    , m_clock(clock)
    , m_callbacks(std::move(handlers))
    , m_readBuffer(initialReadBufferBytes)
{
}

void peer_connection::connect(const std::string& address)
{
    m_peerAddress = address;
    auto self = shared_from_this();
    if (!isAddress(address)) {
        close("cannot connect: not an address");
        return;
    }
    m_connectTimer.expires_after(connectTimeout);
    m_connectTimer.async_wait([self](boost::system::error_code error) {
        if (!error && !self->m_connected)
            self->close("connect timeout");
    });
    m_socket.async_connect(parseAddress(address), [self](boost::system::error_code error) {
        self->m_connectTimer.cancel();
        if (self->m_closed)
            return;
        if (error) {
            self->close("cannot connect: " + error.message());
            return;
        }
        self->startTransfer();
    });
}

void peer_connection::attach(asio::ip::tcp::socket socket)
{
    m_socket = std::move(socket);
    startTransfer();
}

void peer_connection::startTransfer()
{
    m_connected = true;
    setSocketOptions();
    readMore();
    writeQueued();
}

void peer_connection::setSocketOptions()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    // Without TCP_USER_TIMEOUT, a connection to a VM that lost power fails only after many minutes.
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof tcpUserTimeoutMs);
}

void peer_connection::send(const wire::envelope& message)
{
    if (m_closed)
        return;
    auto size = static_cast<std::uint32_t>(message.ByteSizeLong());
    if (size > maxFrameBytes || m_sendQueue.size() + size > maxQueuedBytes) {
        close("send queue limit exceeded");
        return;
    }
    auto offset = m_sendQueue.size();
    m_sendQueue.resize(offset + lengthPrefixBytes + size);
    std::memcpy(m_sendQueue.data() + offset, &size, lengthPrefixBytes);
    message.SerializeToArray(m_sendQueue.data() + offset + lengthPrefixBytes, static_cast<int>(size));
    // Replies expect no response; otherwise two idle peers would ping each other forever.
    bool expectsResponse = message.reply_to() == 0 && !message.has_pong();
    if (expectsResponse && m_responseExpectedSince == time_point {})
        m_responseExpectedSince = m_clock.now();
    writeQueued();
}

void peer_connection::writeQueued()
{
    if (!m_connected || m_closed || m_sendQueue.empty() || !m_writeBuffer.empty())
        return;
    m_writeBuffer.swap(m_sendQueue);
    auto self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(m_writeBuffer), [self](boost::system::error_code error, std::size_t) {
        self->m_writeBuffer.clear();
        if (error)
            self->close("cannot send: " + error.message());
        else
            self->writeQueued();
    });
}

void peer_connection::readMore()
{
    if (m_readBufferEnd == m_readBuffer.size())
        m_readBuffer.resize(m_readBuffer.size() * 2);
    auto self = shared_from_this();
    m_socket.async_read_some(asio::buffer(m_readBuffer.data() + m_readBufferEnd, m_readBuffer.size() - m_readBufferEnd), [self](boost::system::error_code error, std::size_t bytes) {
        if (self->m_closed)
            return;
        if (error) {
            self->close("connection closed: " + error.message());
            return;
        }
        self->m_readBufferEnd += bytes;
        self->m_responseExpectedSince = {};
        self->m_pingSent = false;
        if (self->parseFrames() && !self->m_closed)
            self->readMore();
    });
}

bool peer_connection::parseFrames()
{
    std::size_t offset = 0;
    while (m_readBufferEnd - offset >= lengthPrefixBytes) {
        std::uint32_t size = 0;
        std::memcpy(&size, m_readBuffer.data() + offset, lengthPrefixBytes);
        if (size > maxFrameBytes) {
            close("received frame exceeds the size limit");
            return false;
        }
        if (m_readBufferEnd - offset - lengthPrefixBytes < size)
            break;
        wire::envelope message;
        bool isReadable = message.ParseFromArray(m_readBuffer.data() + offset + lengthPrefixBytes, static_cast<int>(size));
        offset += lengthPrefixBytes + size;
        if (isReadable)
            m_callbacks.onMessage(shared_from_this(), message);
        else
            m_callbacks.onUnreadable(shared_from_this(), size);
        if (m_closed)
            return false;
    }
    std::memmove(m_readBuffer.data(), m_readBuffer.data() + offset, m_readBufferEnd - offset);
    m_readBufferEnd -= offset;
    // Returns the memory of a buffer that a snapshot has grown, which matters on small VMs.
    if (m_readBufferEnd == 0 && m_readBuffer.size() > initialReadBufferBytes) {
        m_readBuffer.resize(initialReadBufferBytes);
        m_readBuffer.shrink_to_fit();
    }
    return true;
}

void peer_connection::checkTimeout(time_point now)
{
    if (m_closed || !m_connected || m_responseExpectedSince == time_point {})
        return;
    auto waited = now - m_responseExpectedSince;
    if (waited > responseTimeout) {
        close("no response from peer");
    } else if (waited > pingDelay && !m_pingSent) {
        m_pingSent = true;
        wire::envelope message;
        message.mutable_ping();
        send(message);
    }
}

void peer_connection::close(const std::string& reason)
{
    if (m_closed)
        return;
    m_closed = true;
    m_connectTimer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    auto self = shared_from_this();
    // Posted, since close() may be called from within a function of the connection's owner.
    asio::post(m_socket.get_executor(), [self, reason] { self->m_callbacks.onClosed(self, reason); });
}

} // namespace pistachiolatch
