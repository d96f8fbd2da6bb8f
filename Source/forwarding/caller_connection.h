#pragma once
#include "http/http.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>

namespace pistachiolatch {

/// One caller's connection as a call sees it: writes the answer and tells when the caller has left.
/// Used on one thread.
class caller_channel : public std::enable_shared_from_this<caller_channel> {
public:
    caller_channel(boost::asio::ip::tcp::socket socket, const clock_source& clock);

    boost::asio::ip::tcp::socket& socket() { return m_socket; }
    boost::beast::flat_buffer& buffer() { return m_buffer; }
    /// Writes bytes; returns false when the caller is gone. A slow caller holds back the endpoint's stream, so that
    /// memory does not grow.
    task_of<bool> write(std::string bytes);
    /// Calls back once if the caller closes its connection before the watch is ended.
    void watch(std::function<void()> gone);
    void endWatch();
    void close();
    bool isClosed() const { return m_closed; }
    /// Since when a write has been under way; zero when none is.
    time_point writingSince() const { return m_writingSince; }

private:
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    const clock_source& m_clock;
    std::function<void()> m_gone;
    std::uint64_t m_watch = 0;
    time_point m_writingSince {};
    bool m_closed = false;
};

} // namespace pistachiolatch
