#pragma once
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace pistachiolatch {

/// Writes log lines to a file descriptor without blocking. With blocking writes, a log collector that stops reading
/// would fill the pipe and block the threads that serve requests. Lines are kept in a bounded buffer; lines that don't
/// fit are dropped, and a log_dropped event reports their number once there is space again.
/// Thread safety: every method may be called from any thread.
class log_sink {
public:
    /// About a thousand lines: some seconds of output of a busy process, and a small part of a small VM's memory.
    static constexpr std::size_t maxBufferedBytes = 256UL * 1024;

    explicit log_sink(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// Appends a line and writes as much of the buffer as possible. Precondition: the line ends with a line break.
    void write(const std::string& line);
    /// Writes as much of the buffer as possible without blocking.
    void flush();
    /// Returns the total number of dropped lines.
    std::uint64_t dropped() const;

private:
    void flushLocked();

    int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreportedDrops = 0;
};

} // namespace pistachiolatch
