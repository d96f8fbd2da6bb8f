#pragma once
#include "http/buffer_budget.h"
#include "http/http.h"
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace pistachiolatch {

/// The connection to a caller: writes responses and detects that the caller has disconnected. Used on one thread.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    /// The handler ends the connection, or the call on it, if the budget needs what it holds. Precondition: the clock and the budget
    /// outlive the connection.
    caller_connection(boost::asio::ip::tcp::socket socket, const clock_source& clock, buffer_budget& budget, buffer_budget::end_handler onEnd = {});
    ~caller_connection() { m_budget.removeHolder(m_holder); }
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    boost::asio::ip::tcp::socket& socket() { return m_socket; }
    /// Writes bytes; returns false if the caller has disconnected. Completes only when all bytes are written, so a slow
    /// caller exerts backpressure on the endpoint's stream and memory use stays bounded. The bytes are accounted to holder() until then.
    task_of<bool> write(std::string bytes);
    /// Calls onDisconnect once if the caller closes its connection before stopWatching() is called.
    void watchDisconnect(std::function<void()> onDisconnect);
    void stopWatching();
    void close();
    bool isClosed() const { return m_closed; }
    /// To whom the budget accounts what is held for this connection and its calls.
    buffer_budget::holder_id holder() const { return m_holder; }
    /// How long the caller has taken nothing of the write in progress; zero if there is none. What the kernel holds for the caller is
    /// not taken. Call it periodically: progress is seen when it is called.
    duration measureWriteIdleTime();

private:
    boost::asio::ip::tcp::socket m_socket;
    const clock_source& m_clock;
    buffer_budget& m_budget;
    buffer_budget::holder_id m_holder;
    std::function<void()> m_onDisconnect;
    std::uint64_t m_watchId = 0;
    bool m_isWriting = false;
    /// Handed to the kernel, and taken by the caller as of m_progressAt, of all writes.
    std::uint64_t m_writtenBytes = 0;
    std::uint64_t m_takenBytes = 0;
    time_point m_progressAt {};
    bool m_closed = false;
};

} // namespace pistachiolatch
