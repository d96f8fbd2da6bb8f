#include "forwarding/caller_connection.h"

#include <boost/asio.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace pistachiolatch {

namespace asio = boost::asio;

namespace {
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    /// Offered to the socket at a time.
    constexpr std::size_t maxWriteBytes = 64UL * 1024;
}

caller_connection::caller_connection(asio::ip::tcp::socket socket, const clock_source& clock, buffer_budget& budget, buffer_budget::end_handler onEnd)
    : m_socket(std::move(socket))
    , m_clock(clock)
    , m_budget(budget)
    , m_holder(budget.addHolder(std::move(onEnd)))
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

task_of<bool> caller_connection::write(std::string bytes)
{
    auto self = shared_from_this();
    m_isWriting = true;
    m_progressAt = m_clock.now();
    buffer_charge charge(m_budget, m_holder, buffer_budget::wait_for::Caller);
    charge.resize(bytes.size(), m_clock.now());
    boost::system::error_code error;
    for (std::size_t written = 0; !error && written < bytes.size();) {
        auto [partError, count] = co_await m_socket.async_write_some(asio::buffer(bytes.data() + written, std::min(maxWriteBytes, bytes.size() - written)), asTuple);
        error = partError;
        written += count;
        m_writtenBytes += count;
        if (count > 0)
            charge.recordProgress(m_clock.now(), count);
    }
    m_isWriting = false;
    co_return !error && !m_closed;
}

duration caller_connection::measureWriteIdleTime()
{
    if (!m_isWriting)
        return duration(0);
    // The kernel accepts more only once a large part of its buffer is free, which takes a slow caller many seconds. So progress is
    // what the caller has acknowledged.
    int unacknowledged = 0;
    if (::ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0) {
        auto takenBytes = m_writtenBytes - std::min(m_writtenBytes, static_cast<std::uint64_t>(unacknowledged));
        if (takenBytes > m_takenBytes) {
            m_takenBytes = takenBytes;
            m_progressAt = m_clock.now();
        }
    }
    return m_clock.now() - m_progressAt;
}

void caller_connection::watchDisconnect(std::function<void()> onDisconnect)
{
    m_onDisconnect = std::move(onDisconnect);
    auto watchId = ++m_watchId;
    auto self = shared_from_this();
    m_socket.async_wait(asio::socket_base::wait_read, [self, watchId](boost::system::error_code error) {
        if (watchId != self->m_watchId || self->m_closed || error == asio::error::operation_aborted)
            return;
        char byte = 0;
        auto received = ::recv(self->m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        // Readable bytes belong to the caller's next request; only an end of stream or an error is a disconnect.
        bool disconnected = error || received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (disconnected && self->m_onDisconnect)
            std::exchange(self->m_onDisconnect, nullptr)();
    });
}

void caller_connection::stopWatching()
{
    ++m_watchId;
    m_onDisconnect = nullptr;
    boost::system::error_code ignored;
    if (!m_closed)
        m_socket.cancel(ignored);
}

void caller_connection::close()
{
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace pistachiolatch
