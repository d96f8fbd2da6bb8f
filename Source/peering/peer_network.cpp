#include "peering/peer_network.h"

#include "http/http_server.h"
#include <boost/asio.hpp>

namespace pistachiolatch {

namespace asio = boost::asio;

namespace {
    /// Delay before reconnecting to a lost or unreachable peer. A leader sends heartbeats every 60 ms; without the delay,
    /// each would open a connection to a VM that is down.
    constexpr milliseconds reconnectDelay { 150 };
    constexpr milliseconds timeoutCheckInterval { 250 };
    /// A longer gap between two checks means that this process was suspended, not its peers.
    constexpr milliseconds maxCheckGap { 750 };
    constexpr milliseconds acceptRetryDelay { 20 };
}

peer_network::peer_network(asio::io_context& context, const clock_source& clock, metrics& counters)
    : m_context(context)
    , m_clock(clock)
    , m_metrics(counters)
    , m_acceptor(context)
    , m_timeoutCheckTimer(context)
{
}

peer_network::~peer_network() = default;

result<void> peer_network::listen(const std::string& address)
{
    BOOST_OUTCOME_TRYV(listenOn(m_acceptor, address));
    auto bound = m_acceptor.local_endpoint();
    m_ownAddress = fmt::format("{}:{}", bound.address().to_string(), bound.port());
    accept();
    return ok();
}

void peer_network::start()
{
    m_lastTimeoutCheck = m_clock.now();
    scheduleTimeoutCheck();
}

void peer_network::stop()
{
    m_stopped = true;
    m_timeoutCheckTimer.cancel();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& connection : std::set<peer>(m_connections))
        connection->close("process is stopping");
}

void peer_network::accept()
{
    m_acceptor.async_accept(m_context, [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (error) {
            // Most likely out of file descriptors: retries after some connections may have closed.
            auto timer = std::make_shared<asio::steady_timer>(m_context, acceptRetryDelay);
            timer->async_wait([this, timer](boost::system::error_code) { accept(); });
            return;
        }
        createConnection()->attach(std::move(socket));
        accept();
    });
}

peer_network::peer peer_network::createConnection()
{
    auto connection = std::make_shared<peer_connection>(m_context, m_clock,
        peer_connection::callbacks {
            [this](const peer& from, const wire::envelope& message) { handleMessage(from, message); },
            [this](const peer& from, const std::string& reason) { handleClosed(from, reason); },
            [this](const peer& from, std::size_t bytes) {
                m_metrics.count("peer_frame_unreadable");
                logEvent("peer_frame_unreadable", { { "peer", from->peerAddress() }, { "bytes", bytes } });
            },
        });
    m_connections.insert(connection);
    return connection;
}

peer_network::peer peer_network::findOrConnect(const std::string& address)
{
    auto found = m_connectionsByAddress.find(address);
    if (found != m_connectionsByAddress.end() && found->second->isOpen())
        return found->second;
    auto retry = m_reconnectAt.find(address);
    if (m_stopped || (retry != m_reconnectAt.end() && m_clock.now() < retry->second))
        return nullptr;
    auto connection = createConnection();
    m_connectionsByAddress[address] = connection;
    connection->connect(address);
    wire::envelope hello;
    hello.set_sender_address(m_ownAddress);
    connection->send(hello);
    return connection;
}

void peer_network::send(const std::string& address, wire::envelope message)
{
    if (auto to = findOrConnect(address))
        to->send(message);
    else
        m_metrics.count("peer_message_dropped");
}

void peer_network::call(const std::string& address, wire::envelope message, milliseconds timeout, reply_handler handler)
{
    auto id = ++m_lastCallId;
    message.set_call(id);
    auto to = findOrConnect(address);
    auto timer = std::make_shared<asio::steady_timer>(m_context, to ? timeout : milliseconds(0));
    m_calls[id] = { std::move(handler), timer, to };
    timer->async_wait([this, id](boost::system::error_code error) {
        if (!error)
            completeCall(id, nullptr);
    });
    if (to)
        to->send(message);
}

void peer_network::reply(const peer& to, const wire::envelope& call, wire::envelope message)
{
    message.set_reply_to(call.call());
    to->send(message);
}

void peer_network::completeCall(std::uint64_t id, const wire::envelope* reply)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    auto call = std::move(found->second);
    m_calls.erase(found);
    call.timer->cancel();
    call.handler(reply);
}

void peer_network::handleMessage(const peer& from, const wire::envelope& message)
{
    if (m_reportedLost.erase(from->peerAddress()) > 0)
        logEvent("peer_regained", { { "peer", from->peerAddress() } });
    if (!message.sender_address().empty()) {
        from->setPeerAddress(message.sender_address());
        auto& known = m_connectionsByAddress[message.sender_address()];
        if (!known || !known->isOpen())
            known = from;
        m_reconnectAt.erase(message.sender_address());
    }
    if (message.reply_to() != 0) {
        completeCall(message.reply_to(), &message);
        return;
    }
    switch (message.body_case()) {
    case wire::envelope::kPing: {
        wire::envelope reply;
        reply.mutable_pong()->set_received_us(std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now().time_since_epoch()).count());
        reply.set_reply_to(message.call());
        from->send(reply);
        return;
    }
    case wire::envelope::kPong:
    case wire::envelope::BODY_NOT_SET:
        return;
    default:
        m_onMessage(message, from);
    }
}

void peer_network::handleClosed(const peer& from, const std::string& reason)
{
    m_connections.erase(from);
    auto found = m_connectionsByAddress.find(from->peerAddress());
    if (found != m_connectionsByAddress.end() && found->second == from) {
        m_connectionsByAddress.erase(found);
        m_reconnectAt[from->peerAddress()] = m_clock.now() + reconnectDelay;
        if (m_reportedLost.insert(from->peerAddress()).second)
            logEvent("peer_lost", { { "peer", from->peerAddress() }, { "why", reason } });
    }
    std::vector<std::uint64_t> interrupted;
    for (const auto& [id, call] : m_calls) {
        if (call.connection == from)
            interrupted.push_back(id);
    }
    for (auto id : interrupted)
        completeCall(id, nullptr);
    if (m_onLost)
        m_onLost(from);
}

void peer_network::scheduleTimeoutCheck()
{
    m_timeoutCheckTimer.expires_after(timeoutCheckInterval);
    m_timeoutCheckTimer.async_wait([this](boost::system::error_code error) {
        if (error || m_stopped)
            return;
        auto now = m_clock.now();
        // After this process was suspended, messages from peers are still unread in the sockets: checking for timeouts
        // now would close every connection when the connections are needed most.
        bool shouldCheck = now - m_lastTimeoutCheck < maxCheckGap;
        m_lastTimeoutCheck = now;
        if (shouldCheck) {
            for (const auto& connection : std::set<peer>(m_connections))
                connection->checkTimeout(now);
        }
        scheduleTimeoutCheck();
    });
}

} // namespace pistachiolatch
