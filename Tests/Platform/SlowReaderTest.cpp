// Guards against entries that are killed because they hold more for slow callers and endpoints than their VMs have.
#include "Platform/platform_fleet.h"
#include "Platform/scripted_endpoint.h"
#include "platform_names.h"
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <netinet/tcp.h>

using namespace pistachiolatch;
using namespace pistachiolatch::test;
namespace asio = boost::asio;

namespace {
constexpr int memoryMb = 88;
constexpr std::size_t megabyte = 1024UL * 1024;
constexpr int readers = 300;
constexpr std::size_t largeResponseBytes = 400UL * 1024;
constexpr int senders = 12;
constexpr std::size_t largeRequestBytes = 3 * megabyte;
constexpr std::chrono::seconds loadTime { 9 };

/// Keeps the buffers of the kernel small: on the loopback they would take in the largest bodies whole.
void shrinkBuffers(int socket)
{
    int bufferBytes = 4096;
    int segmentBytes = 536;
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
    ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
}

/// An endpoint that accepts connections and reads nothing.
class deaf_endpoint {
public:
    explicit deaf_endpoint(const std::string& address)
        : m_acceptor(m_context)
    {
        m_acceptor.open(asio::ip::tcp::v4());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        shrinkBuffers(m_acceptor.native_handle());
        m_acceptor.bind(parseAddress(address));
        m_acceptor.listen();
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

/// Callers that send a request each and then read a byte a second, or nothing.
class slow_callers {
public:
    void start(const std::string& address, const std::string& target, std::size_t bodyBytes)
    {
        auto head = fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n{}: Token key-1\r\n{}: slow-{}\r\n{}: 20000\r\nContent-Length: {}\r\n\r\n", target, platform_names::authorization,
            platform_names::requestId, m_sockets.size(), platform_names::deadlineMs, bodyBytes);
        auto& socket = *m_sockets.emplace_back(std::make_unique<asio::ip::tcp::socket>(m_context, asio::ip::tcp::v4()));
        shrinkBuffers(socket.native_handle());
        boost::system::error_code error;
        socket.connect(parseAddress(address), error);
        socket.non_blocking(true);
        m_unsent.push_back(head + std::string(bodyBytes, 'x'));
    }

    /// Sends what the entry takes, and has every second caller read a byte if it is time.
    void turn(bool read)
    {
        for (std::size_t i = 0; i < m_sockets.size(); ++i) {
            boost::system::error_code error;
            if (!m_unsent[i].empty()) {
                auto sent = m_sockets[i]->write_some(asio::buffer(m_unsent[i]), error);
                if (error != asio::error::would_block)
                    m_unsent[i].erase(0, error ? m_unsent[i].size() : sent);
            }
            char byte = 0;
            if (read && i % 2 == 0)
                m_sockets[i]->read_some(asio::buffer(&byte, 1), error);
        }
    }

private:
    asio::io_context m_context;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> m_sockets;
    std::vector<std::string> m_unsent;
};

std::string makeConfiguration()
{
    auto configuration = boost::json::parse(exampleConfiguration(7, 10'000'000)).as_object();
    configuration["limits"].as_object()["maxBodyBytes"] = 4 * megabyte;
    auto& services = configuration["services"].as_array();
    services[0].as_object()["maxConnections"] = 500;
    auto deaf = services[0];
    deaf.as_object()["name"] = "deaf";
    services.push_back(deaf);
    auto& routes = configuration["routes"].as_array();
    auto toDeaf = routes[1];
    toDeaf.as_object()["name"] = "deaf";
    toDeaf.as_object()["pathPrefix"] = "/deaf/";
    toDeaf.as_object()["service"] = "deaf";
    routes.push_back(toDeaf);
    for (auto& route : routes)
        route.as_object()["timeoutMs"] = 20000;
    return boost::json::serialize(configuration);
}

scripted_response respond(const http_exchange::request& request)
{
    scripted_response response;
    response.framing = body_framing::Length;
    response.end = connection_end::KeepOpen;
    bool isLarge = request.target().find("large") != boost::beast::string_view::npos;
    response.body = isLarge ? std::string(largeResponseBytes, 'r') : "the answer";
    response.headers.emplace_back(platform_names::responseSeal, "seal");
    return response;
}
}

TEST_CASE("Slow callers and endpoints don't use up an entry's memory, and others are served", "[promise]")
{
    platform_fleet platform { 1 };
    platform.setMemory(memoryMb);
    platform.start();
    REQUIRE(platform.submitConfiguration(makeConfiguration()) == 200);
    scripted_endpoint app(platform.endpointAddress(1), respond);
    deaf_endpoint deaf(platform.endpointAddress(2));
    fake_endpoint appReport("endpoint-1", platform.endpointAddress(101), "app", "");
    fake_endpoint deafReport("endpoint-2", platform.endpointAddress(102), "deaf", "");
    appReport.setReportedAddress(platform.endpointAddress(1));
    deafReport.setReportedAddress(platform.endpointAddress(2));
    REQUIRE(platform.sendReport(appReport).status == 200);
    REQUIRE(platform.sendReport(deafReport).status == 200);
    endpoint_reporter reporter(platform, { &appReport, &deafReport });
    auto logged = [&](const std::string& text) { return readFile(platform.folder() + "/entry-1.out").find(text) != std::string::npos; };
    REQUIRE(eventually([&] { return logged("event=endpoint_known endpoint=endpoint-1 ") && logged("event=endpoint_known endpoint=endpoint-2 ") && platform.isEntryReady(1); }));
    http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::deadlineMs, "5000" } };
    auto callNormally = [&] { return platform.call(platform.entryAddress(1), "GET", "/read/x", headers, {}, milliseconds(2000)).status == 200; };
    REQUIRE(callNormally());

    slow_callers callers;
    for (int i = 0; i < readers; ++i)
        callers.start(platform.entryAddress(1), "/read/large", 0);
    for (int i = 0; i < senders; ++i)
        callers.start(platform.entryAddress(1), "/deaf/x", largeRequestBytes);
    std::size_t mostResident = 0;
    int served = 0;
    int called = 0;
    auto startedAt = std::chrono::steady_clock::now();
    auto readAt = startedAt;
    auto calledAt = startedAt;
    for (auto now = startedAt; now - startedAt < loadTime; now = std::chrono::steady_clock::now()) {
        bool isReadTime = now - readAt >= std::chrono::seconds(1);
        if (isReadTime)
            readAt = now;
        callers.turn(isReadTime);
        mostResident = std::max(mostResident, platform.entry(1).residentBytes());
        if (now - calledAt >= std::chrono::milliseconds(150)) {
            calledAt = now;
            ++called;
            served += callNormally() ? 1 : 0;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    auto metrics = platform.fetchMetrics(platform.entryIp(1));
    auto log = readFile(platform.folder() + "/entry-1.out");
    INFO("resident at most " << mostResident / megabyte << " MB, " << served << " of " << called << " normal calls served");
    CHECK(platform.entry(1).isRunning());
    CHECK(mostResident < memoryMb * megabyte);
    // A caller may be turned away while the memory is used up, until the largest holders are ended.
    CHECK(served * 2 > called);
    CHECK(callNormally());
    CHECK(log.find("event=stalled_holder_ended") != std::string::npos);
    CHECK(metrics.find("buffered_bytes") != std::string::npos);
}
