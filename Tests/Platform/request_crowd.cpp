#include "Platform/request_crowd.h"

#include "http/http_server.h"
#include "Support/fleet.h"
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pistachiolatch::test {

namespace {
    constexpr milliseconds turnPause { 5 };
    constexpr std::size_t connectsATurn = 50;
    /// Longer than the intervals at which servers look at their connections.
    constexpr milliseconds stillTime { 1500 };

    int connectTo(const std::string& address)
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        int enabled = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        auto endpoint = parseAddress(address);
        ::connect(socket, endpoint.data(), static_cast<socklen_t>(endpoint.size()));
        return socket;
    }
}

request_crowd::request_crowd(const std::string& address, std::size_t members, repeated_request request)
    : m_request(std::move(request))
{
    m_bytes = m_request.head;
    for (std::size_t i = 0; i < m_request.times; ++i)
        m_bytes += m_request.repeated;
    m_bytes += m_request.end;
    m_thread = std::thread([this, address, members] { run(address, members); });
}

request_crowd::~request_crowd()
{
    m_stopped = true;
    m_thread.join();
    for (const auto& caller : m_members)
        ::close(caller.socket);
}

void request_crowd::run(const std::string& address, std::size_t members)
{
    while (!m_stopped) {
        for (std::size_t i = 0; i < connectsATurn && m_members.size() < members; ++i)
            m_members.push_back({ connectTo(address), 0 });
        m_allConnecting = m_members.size() == members;
        bool moved = false;
        for (auto& caller : m_members)
            moved = sendPiece(caller) || moved;
        if (!moved || m_request.pause.count() > 0)
            std::this_thread::sleep_for(std::max(turnPause, m_request.pause));
    }
}

bool request_crowd::sendPiece(member& sender)
{
    if (sender.sent == m_bytes.size())
        return false;
    auto size = std::min(m_request.pieceBytes, m_bytes.size() - sender.sent);
    auto sent = ::send(sender.socket, m_bytes.data() + sender.sent, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent <= 0)
        return false;
    if (sender.sent == 0)
        ++m_connected;
    sender.sent += static_cast<std::size_t>(sent);
    m_sent += static_cast<std::uint64_t>(sent);
    return true;
}

void request_crowd::waitUntilStill() const
{
    auto before = m_sent.load();
    auto stillSince = std::chrono::steady_clock::now();
    constexpr std::chrono::seconds longestWait { 10 };
    auto isStill = [&] {
        auto now = std::chrono::steady_clock::now();
        if (auto sent = m_sent.load(); sent != before || !m_allConnecting) {
            before = sent;
            stillSince = now;
        }
        return now - stillSince >= stillTime;
    };
    eventually(isStill, longestWait);
}

} // namespace pistachiolatch::test
