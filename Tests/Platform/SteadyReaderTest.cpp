// Guards against answers that are cut off because their callers read them slowly, though steadily.
#include "Platform/platform_fleet.h"
#include "Platform/scripted_endpoint.h"
#include "platform_names.h"
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <regex>

using namespace pistachiolatch;
using namespace pistachiolatch::test;
namespace asio = boost::asio;

namespace {
constexpr std::size_t kilobyte = 1024;
/// Three times what the kernel's buffers of a connection take, so that the entry is still writing while its callers read.
constexpr std::size_t answerBytes = 12 * kilobyte * kilobyte;
constexpr std::chrono::seconds steadyTime { 30 };
constexpr std::chrono::seconds timeBeforeStop { 3 };
/// A caller that takes nothing is cut off after 10 s, and entries look for such callers twice a second.
constexpr milliseconds leastStoppedTime { 9500 };
constexpr milliseconds mostStoppedTime { 12000 };
constexpr milliseconds readInterval { 100 };

/// A caller that asks for the long answer and reads it at its own rate.
class steady_caller {
public:
    steady_caller(const std::string& address, const std::string& id)
        : m_socket(m_context, asio::ip::tcp::v4())
    {
        m_socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(64 * kilobyte)));
        m_socket.connect(parseAddress(address));
        auto request = fmt::format("GET /read/x HTTP/1.1\r\nHost: h.example\r\n{}: Token key-1\r\n{}: {}\r\nConnection: close\r\n\r\n", platform_names::authorization, platform_names::requestId, id);
        asio::write(m_socket, asio::buffer(request));
    }

    /// Reads at this rate until the time is over or the connection ends.
    void readSteadily(std::size_t bytesPerSecond, std::chrono::seconds time)
    {
        auto pieceBytes = bytesPerSecond * static_cast<std::size_t>(readInterval.count()) / 1000;
        auto startedAt = std::chrono::steady_clock::now();
        for (auto at = startedAt; at - startedAt < time && !m_error; at += readInterval) {
            std::this_thread::sleep_until(at);
            read(pieceBytes);
        }
    }

    /// Reads until the connection ends. Returns the number of bytes of the body so far.
    std::size_t readRest()
    {
        while (!m_error)
            read(64 * kilobyte);
        auto headEnd = m_head.find("\r\n\r\n");
        return headEnd == std::string::npos ? 0 : m_bytes - headEnd - 4;
    }

private:
    void read(std::size_t bytes)
    {
        std::string piece(bytes, '\0');
        piece.resize(asio::read(m_socket, asio::buffer(piece), m_error));
        m_bytes += piece.size();
        if (m_head.find("\r\n\r\n") == std::string::npos)
            m_head += piece;
    }

    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    boost::system::error_code m_error;
    std::string m_head;
    std::size_t m_bytes = 0;
};

scripted_response respond(const http_exchange::request&)
{
    scripted_response response;
    response.framing = body_framing::Length;
    response.end = connection_end::KeepOpen;
    response.body = std::string(answerBytes, 'r');
    response.headers.emplace_back(platform_names::responseSeal, "seal");
    return response;
}
}

TEST_CASE("A caller that reads a long answer slowly and steadily gets it whole, and one that stops is cut off", "[promise]")
{
    platform_fleet platform { 1 };
    platform.start();
    REQUIRE(platform.submitConfiguration(exampleConfiguration(7)) == 200);
    scripted_endpoint app(platform.endpointAddress(1), respond);
    fake_endpoint report("endpoint-1", platform.endpointAddress(101), "app", "");
    report.setReportedAddress(platform.endpointAddress(1));
    REQUIRE(platform.sendReport(report).status == 200);
    endpoint_reporter reporter(platform, { &report });
    auto readLog = [&] { return readFile(platform.folder() + "/entry-1.out"); };
    REQUIRE(eventually([&] { return readLog().find("event=endpoint_known endpoint=endpoint-1 ") != std::string::npos && platform.isEntryReady(1); }));

    steady_caller steady(platform.entryAddress(1), "steady");
    // The kernel takes more from the entry only once a third of its buffers is read, which takes this caller longer than 10 s.
    steady_caller slow(platform.entryAddress(1), "slow");
    steady_caller stopping(platform.entryAddress(1), "stopping");
    std::size_t steadyBytes = 0;
    std::size_t slowBytes = 0;
    std::thread steadyThread([&] {
        steady.readSteadily(answerBytes / steadyTime.count(), steadyTime);
        steadyBytes = steady.readRest();
    });
    std::thread slowThread([&] {
        slow.readSteadily(40 * kilobyte, steadyTime);
        slowBytes = slow.readRest();
    });
    stopping.readSteadily(300 * kilobyte, timeBeforeStop);
    auto stoppedAt = std::chrono::steady_clock::now();
    auto isCutOff = [&] { return std::regex_search(readLog(), std::regex("event=caller_write_timeout request=stopping ")); };
    while (!isCutOff() && std::chrono::steady_clock::now() - stoppedAt < steadyTime)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    auto stoppedTime = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - stoppedAt);
    steadyThread.join();
    slowThread.join();
    auto stoppingBytes = stopping.readRest();
    INFO(steadyBytes << ", " << slowBytes << " and " << stoppingBytes << " bytes read of " << answerBytes << ", the last cut off after " << stoppedTime.count() << " ms\n"
                     << readLog());
    CHECK(steadyBytes == answerBytes);
    CHECK(slowBytes == answerBytes);
    CHECK(stoppingBytes < answerBytes);
    CHECK(stoppedTime > leastStoppedTime);
    CHECK(stoppedTime < mostStoppedTime);
}
