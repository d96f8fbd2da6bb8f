#include "Platform/process_monitor.h"

#include <algorithm>
#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace pistachiolatch::test {

namespace {
    constexpr milliseconds sampleInterval { 20 };
    constexpr std::size_t bytesPerKilobyte = 1024;

    void raise(std::atomic<std::size_t>& peak, std::size_t value)
    {
        peak = std::max(peak.load(), value);
    }

    /// A value in kilobytes from the status of a process, in bytes; 0 if the process has ended.
    std::size_t readStatus(pid_t pid, const std::string& name)
    {
        std::ifstream status(fmt::format("/proc/{}/status", pid));
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(name + ":"))
                return std::stoul(line.substr(name.size() + 1)) * bytesPerKilobyte;
        }
        return 0;
    }

    std::size_t countDescriptors(pid_t pid)
    {
        std::error_code error;
        std::size_t count = 0;
        for (std::filesystem::directory_iterator item(fmt::format("/proc/{}/fd", pid), error), end; !error && item != end; item.increment(error))
            ++count;
        return count;
    }

    /// What connections to a local address, in the notation of /proc/net/tcp, have received and not been read of.
    std::size_t readUnreadBytes(const std::string& localAddress)
    {
        constexpr const char* listening = "0A";
        constexpr int hexadecimal = 16;
        std::ifstream table("/proc/net/tcp");
        std::size_t sum = 0;
        for (std::string line; std::getline(table, line);) {
            std::istringstream columns(line);
            std::string number, local, remote, state, queues;
            columns >> number >> local >> remote >> state >> queues;
            if (local.starts_with(localAddress) && state != listening)
                sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
        }
        return sum;
    }
}

process_monitor::process_monitor(pid_t pid, std::string ip)
    : m_pid(pid)
    , m_localAddress(fmt::format("{:08X}:", ::inet_addr(ip.c_str())))
    , m_thread([this] {
        while (!m_stopped) {
            sample();
            std::this_thread::sleep_for(sampleInterval);
        }
    })
{
}

process_monitor::~process_monitor()
{
    m_stopped = true;
    m_thread.join();
}

void process_monitor::sample()
{
    auto unread = readUnreadBytes(m_localAddress);
    raise(m_peakUnread, unread);
    raise(m_peakMemory, readStatus(m_pid, "VmRSS") + unread);
    raise(m_peakMemory, readStatus(m_pid, "VmHWM"));
    raise(m_peakDescriptors, countDescriptors(m_pid));
}

} // namespace pistachiolatch::test
