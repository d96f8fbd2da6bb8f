#include "forwarding/caller_connection.h"

#include <boost/asio.hpp>
#include <sys/socket.h>

namespace pistachiolatch {

namespace asio = boost::asio;

namespace {
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
}

caller_channel::caller_channel(asio::ip::tcp::socket socket, const clock_source& clock)
    : m_socket(std::move(socket))
    , m_clock(clock)
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

task_of<bool> caller_channel::write(std::string bytes)
{
    auto self = shared_from_this();
    m_writingSince = m_clock.now();
    auto [error, count] = co_await asio::async_write(m_socket, asio::buffer(bytes), asTuple);
    m_writingSince = {};
    co_return !error && !m_closed;
}

void caller_channel::watch(std::function<void()> gone)
{
    m_gone = std::move(gone);
    auto watch = ++m_watch;
    auto self = shared_from_this();
    m_socket.async_wait(asio::socket_base::wait_read, [self, watch](boost::system::error_code error) {
        if (watch != self->m_watch || self->m_closed || error == asio::error::operation_aborted)
            return;
        char byte = 0;
        auto got = ::recv(self->m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        // Bytes to read are the caller's next request; only the end of the connection means that it has left.
        bool left = error || got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (left && self->m_gone)
            std::exchange(self->m_gone, nullptr)();
    });
}

void caller_channel::endWatch()
{
    ++m_watch;
    m_gone = nullptr;
    boost::system::error_code ignored;
    if (!m_closed)
        m_socket.cancel(ignored);
}

void caller_channel::close()
{
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace pistachiolatch
