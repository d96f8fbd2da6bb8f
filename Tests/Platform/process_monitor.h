#pragma once
#include "kernel/kernel.h"
#include <atomic>
#include <string>
#include <sys/types.h>
#include <thread>

namespace pistachiolatch::test {

/// Samples the memory and open descriptors of a process until it is destroyed. Memory includes what the kernel holds for the
/// process's IP address: data that has arrived and has not been read.
class process_monitor {
public:
    /// Precondition: the process runs, and no other process uses the address.
    process_monitor(pid_t pid, std::string ip);
    ~process_monitor();
    process_monitor(const process_monitor&) = delete;
    process_monitor& operator=(const process_monitor&) = delete;

    /// The peaks so far, in bytes and descriptors. Thread safety: any thread.
    std::size_t peakMemory() const { return m_peakMemory; }
    std::size_t peakUnread() const { return m_peakUnread; }
    std::size_t peakDescriptors() const { return m_peakDescriptors; }

private:
    void sample();

    pid_t m_pid;
    std::string m_localAddress;
    std::atomic<std::size_t> m_peakMemory { 0 };
    std::atomic<std::size_t> m_peakUnread { 0 };
    std::atomic<std::size_t> m_peakDescriptors { 0 };
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

} // namespace pistachiolatch::test
