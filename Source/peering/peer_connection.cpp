#include "peering/peer_connection.h"

#include "http/http_server.h"
#include <boost/asio.hpp>
#include <cstring>
#include <netinet/tcp.h>

namespace pistachiolatch {

namespace asio = boost::asio;

namespace {
    constexpr std::size_t lengthBytes = 4;
    /// The largest frame: a snapshot with a configuration of the size that callers may send, with room to spare.
    constexpr std::uint32_t mostFrameBytes = 32U * 1024 * 1024;
    /// What may wait for a slow peer before the connection is given up; twice the largest frame.
    constexpr std::size_t mostQueuedBytes = 2UL * mostFrameBytes;
    constexpr std::size_t readBlock = 16UL * 1024;
    /// Connecting inside one region takes milliseconds; a VM that is off or cut off doesn't answer at all.
    constexpr milliseconds connectTimeout { 400 };
    /// Bytes that the peer's kernel doesn't acknowledge for this long mean that the connection is dead. Several round
    /// trips and retransmissions fit into it.
    constexpr unsigned unacknowledgedMs = 1500;
    /// After this much silence a sign of life is asked for; leaders send every 60 ms, entries sync every 500 ms.
    constexpr milliseconds silenceBeforePing { 400 };
    /// Silence after which the connection is given up. Shorter than an election, so that a dead connection to a live
    /// leader is replaced before its followers look for another one.
    constexpr milliseconds silenceBeforeClose { 1000 };
}

peer_connection::peer_connection(asio::io_context& context, const clock_source& clock, events handlers)
    : m_socket(context)
    , m_connectTimer(context)
    , m_clock(clock)
    , m_events(std::move(handlers))
    , m_read(readBlock)
{
}

void peer_connection::connect(const std::string& address)
{
    m_peerAddress = address;
    auto self = shared_from_this();
    m_connectTimer.expires_after(connectTimeout);
    m_connectTimer.async_wait([self](boost::system::error_code error) {
        if (!error && !self->m_connected)
            self->close("connecting took too long");
    });
    m_socket.async_connect(parseAddress(address), [self](boost::system::error_code error) {
        self->m_connectTimer.cancel();
        if (self->m_closed)
            return;
        if (error) {
            self->close("can't connect: " + error.message());
            return;
        }
        self->begin();
    });
}

void peer_connection::adopt(asio::ip::tcp::socket socket)
{
    m_socket = std::move(socket);
    begin();
}

void peer_connection::begin()
{
    m_connected = true;
    applyOptions();
    readMore();
    writeQueued();
}

void peer_connection::applyOptions()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    // Without it, bytes to a VM that lost power wait for many minutes before the connection breaks.
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMs, sizeof unacknowledgedMs);
}

void peer_connection::send(const wire::envelope& message)
{
    if (m_closed)
        return;
    auto size = static_cast<std::uint32_t>(message.ByteSizeLong());
    if (size > mostFrameBytes || m_queued.size() + size > mostQueuedBytes) {
        close("too much is waiting to be sent");
        return;
    }
    auto offset = m_queued.size();
    m_queued.resize(offset + lengthBytes + size);
    std::memcpy(m_queued.data() + offset, &size, lengthBytes);
    message.SerializeToArray(m_queued.data() + offset + lengthBytes, static_cast<int>(size));
    // Replies await nothing; if they did, two idle peers would go on asking each other for signs of life.
    bool awaitsSign = message.reply_to() == 0 && !message.has_pong();
    if (awaitsSign && m_awaitingSince == time_point {})
        m_awaitingSince = m_clock.now();
    writeQueued();
}

void peer_connection::writeQueued()
{
    if (!m_connected || m_closed || m_queued.empty() || !m_writing.empty())
        return;
    m_writing.swap(m_queued);
    auto self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(m_writing), [self](boost::system::error_code error, std::size_t) {
        self->m_writing.clear();
        if (error)
            self->close("can't send: " + error.message());
        else
            self->writeQueued();
    });
}

void peer_connection::readMore()
{
    if (m_readEnd == m_read.size())
        m_read.resize(m_read.size() * 2);
    auto self = shared_from_this();
    m_socket.async_read_some(asio::buffer(m_read.data() + m_readEnd, m_read.size() - m_readEnd), [self](boost::system::error_code error, std::size_t bytes) {
        if (self->m_closed)
            return;
        if (error) {
            self->close("connection ended: " + error.message());
            return;
        }
        self->m_readEnd += bytes;
        self->m_awaitingSince = {};
        self->m_pinged = false;
        if (self->takeFrames() && !self->m_closed)
            self->readMore();
    });
}

bool peer_connection::takeFrames()
{
    std::size_t offset = 0;
    while (m_readEnd - offset >= lengthBytes) {
        std::uint32_t size = 0;
        std::memcpy(&size, m_read.data() + offset, lengthBytes);
        if (size > mostFrameBytes) {
            close("a frame is larger than any that is sent");
            return false;
        }
        if (m_readEnd - offset - lengthBytes < size)
            break;
        wire::envelope message;
        if (!message.ParseFromArray(m_read.data() + offset + lengthBytes, static_cast<int>(size))) {
            close("a frame can't be read");
            return false;
        }
        offset += lengthBytes + size;
        m_events.message(shared_from_this(), message);
        if (m_closed)
            return false;
    }
    std::memmove(m_read.data(), m_read.data() + offset, m_readEnd - offset);
    m_readEnd -= offset;
    // A snapshot may have grown the buffer; on a small VM that memory is worth having back.
    if (m_readEnd == 0 && m_read.size() > readBlock) {
        m_read.resize(readBlock);
        m_read.shrink_to_fit();
    }
    return true;
}

void peer_connection::checkSilence(time_point now)
{
    if (m_closed || !m_connected || m_awaitingSince == time_point {})
        return;
    auto silent = now - m_awaitingSince;
    if (silent > silenceBeforeClose) {
        close("the peer is silent");
    } else if (silent > silenceBeforePing && !m_pinged) {
        m_pinged = true;
        wire::envelope message;
        message.mutable_ping();
        send(message);
    }
}

void peer_connection::close(const std::string& why)
{
    if (m_closed)
        return;
    m_closed = true;
    m_connectTimer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    auto self = shared_from_this();
    // Posted, since close() may be reached from inside a call of the one who holds this connection.
    asio::post(m_socket.get_executor(), [self, why] { self->m_events.closed(self, why); });
}

} // namespace pistachiolatch
