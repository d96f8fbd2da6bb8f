#include "kernel/log_sink.h"

#include <algorithm>
#include <cerrno>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace pistachiolatch {

namespace {
    /// PIPE_BUF on Linux: a write of at most this size does not block on a pipe that poll() reports as writable.
    constexpr std::size_t maxNonBlockingWrite = 4096;
}

void log_sink::write(const std::string& line)
{
    std::lock_guard lock(m_mutex);
    if (m_buffer.size() + line.size() > maxBufferedBytes) {
        flushLocked();
        if (m_buffer.size() + line.size() > maxBufferedBytes) {
            ++m_dropped;
            ++m_unreportedDrops;
            return;
        }
    }
    if (m_unreportedDrops > 0)
        m_buffer += fmt::format("event=log_dropped lines={}\n", std::exchange(m_unreportedDrops, 0));
    m_buffer += line;
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
    while (done < m_buffer.size()) {
        pollfd item { m_descriptor, POLLOUT, 0 };
        if (::poll(&item, 1, 0) <= 0 || (item.revents & POLLOUT) == 0)
            break;
        auto written = ::write(m_descriptor, m_buffer.data() + done, std::min(maxNonBlockingWrite, m_buffer.size() - done));
        if (written < 0 && errno == EINTR)
            continue;
        // The reader has closed its end.
        if (written <= 0)
            break;
        done += static_cast<std::size_t>(written);
    }
    m_buffer.erase(0, done);
}

} // namespace pistachiolatch
