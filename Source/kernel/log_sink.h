#pragma once
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace pistachiolatch {

/// Writes log lines to a descriptor without ever waiting for its reader. Failure without it: whoever collects the logs
/// stops reading, the pipe fills, and the thread that serves callers stands still in a write. Lines wait in a bounded
/// buffer; what does not fit is dropped and counted, and the count is told once there is room again.
/// Thread safety: every method may be called from any thread.
class log_sink {
public:
    /// About a thousand lines: some seconds of a busy process, and a small part of a small VM's memory.
    static constexpr std::size_t mostWaitingBytes = 256UL * 1024;

    explicit log_sink(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// Queues a line, which ends with a line break, and writes what the reader takes now.
    void write(const std::string& line);
    /// Writes what the reader takes now.
    void flush();
    std::uint64_t dropped() const;

private:
    void flushLocked();

    int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_waiting;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedUntold = 0;
};

} // namespace pistachiolatch
