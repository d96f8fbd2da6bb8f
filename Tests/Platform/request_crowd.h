#pragma once
#include "kernel/kernel.h"
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace pistachiolatch::test {

/// What each member of a crowd sends.
struct repeated_request {
    std::string head;
    /// Sent after the head, this often.
    std::string repeated;
    std::size_t times = 0;
    std::string end;
    /// The most that is sent at a time.
    std::size_t pieceBytes = 1024UL * 1024;
    /// The pause between two pieces; zero sends as fast as the peer takes it.
    milliseconds pause { 0 };

    std::size_t size() const { return head.size() + repeated.size() * times + end.size(); }
};

/// Callers that send the same and keep their connections open without reading until the crowd is destroyed.
class request_crowd {
public:
    request_crowd(const std::string& address, std::size_t members, repeated_request request);
    ~request_crowd();
    request_crowd(const request_crowd&) = delete;
    request_crowd& operator=(const request_crowd&) = delete;

    /// Waits until no member could send anything for a while, or for some seconds if the peer goes on taking what they send.
    void waitUntilStill() const;
    /// How many members have connected and not been refused a connection.
    std::size_t connected() const { return m_connected; }
    std::uint64_t sentBytes() const { return m_sent; }

private:
    struct member {
        int socket = -1;
        std::size_t sent = 0;
    };

    void run(const std::string& address, std::size_t members);
    /// Sends a piece. Returns whether the peer took something.
    bool sendPiece(member& sender);

    repeated_request m_request;
    std::string m_bytes;
    std::vector<member> m_members;
    std::atomic<std::size_t> m_connected { 0 };
    std::atomic<std::uint64_t> m_sent { 0 };
    std::atomic<bool> m_allConnecting { false };
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

} // namespace pistachiolatch::test
