#include "kernel/log_sink.h"

#include <algorithm>
#include <cerrno>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace pistachiolatch {

namespace {
    /// A write of no more than this into a pipe that poll() calls writable does not block (PIPE_BUF on Linux).
    constexpr std::size_t writeBlock = 4096;
}

void log_sink::write(const std::string& line)
{
    std::lock_guard lock(m_mutex);
    if (m_waiting.size() + line.size() > mostWaitingBytes) {
        flushLocked();
        if (m_waiting.size() + line.size() > mostWaitingBytes) {
            ++m_dropped;
            ++m_droppedUntold;
            return;
        }
    }
    if (m_droppedUntold > 0)
        m_waiting += fmt::format("event=log_dropped lines={}\n", std::exchange(m_droppedUntold, 0));
    m_waiting += line;
    flushLocked();
}

void log_sink::flush()
{
    std::lock_guard lock(m_mutex);
    flushLocked();
}

std::uint64_t log_sink::dropped() const
{
    std::lock_guard lock(m_mutex);
    return m_dropped;
}

void log_sink::flushLocked()
{
    std::size_t done = 0;
    while (done < m_waiting.size()) {
        pollfd item { m_descriptor, POLLOUT, 0 };
        if (::poll(&item, 1, 0) <= 0 || (item.revents & POLLOUT) == 0)
            break;
        auto written = ::write(m_descriptor, m_waiting.data() + done, std::min(writeBlock, m_waiting.size() - done));
        if (written < 0 && errno == EINTR)
            continue;
        // The reader is gone; there is nobody left to tell.
        if (written <= 0)
            break;
        done += static_cast<std::size_t>(written);
    }
    m_waiting.erase(0, done);
}

} // namespace pistachiolatch
