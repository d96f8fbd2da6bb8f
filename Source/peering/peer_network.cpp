#include "peering/peer_network.h"

#include "http/http_server.h"
#include <boost/asio.hpp>

namespace pistachiolatch {

namespace asio = boost::asio;

namespace {
    /// Pause before the next attempt to reach a peer that could not be reached. Heartbeats of a leader come every
    /// 60 ms; without the pause each would open a connection to a VM that is down.
    constexpr milliseconds reconnectPause { 150 };
    constexpr milliseconds silenceCheckInterval { 250 };
    /// A gap between two checks that shows that this process stood still, and not its peers.
    constexpr milliseconds stoodStill { 750 };
    constexpr milliseconds acceptPause { 20 };
}

peer_network::peer_network(asio::io_context& context, const clock_source& clock, metrics& counters)
    : m_context(context)
    , m_clock(clock)
    , m_metrics(counters)
    , m_acceptor(context)
    , m_silenceTimer(context)
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
    m_lastSilenceCheck = m_clock.now();
    watchSilence();
}

void peer_network::stop()
{
    m_stopped = true;
    m_silenceTimer.cancel();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& one : std::set<peer>(m_all))
        one->close("this process stops");
}

void peer_network::accept()
{
    m_acceptor.async_accept(m_context, [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (error) {
            // Out of file descriptors, most likely: a pause lets connections end.
            auto pause = std::make_shared<asio::steady_timer>(m_context, acceptPause);
            pause->async_wait([this, pause](boost::system::error_code) { accept(); });
            return;
        }
        makeConnection()->adopt(std::move(socket));
        accept();
    });
}

peer_network::peer peer_network::makeConnection()
{
    auto one = std::make_shared<peer_connection>(m_context, m_clock,
        peer_connection::events {
            [this](const peer& from, const wire::envelope& message) { received(from, message); },
            [this](const peer& from, const std::string& why) { closed(from, why); },
        });
    m_all.insert(one);
    return one;
}

peer_network::peer peer_network::connectionTo(const std::string& address)
{
    auto found = m_byAddress.find(address);
    if (found != m_byAddress.end() && found->second->isOpen())
        return found->second;
    auto retry = m_retryAt.find(address);
    if (m_stopped || (retry != m_retryAt.end() && m_clock.now() < retry->second))
        return nullptr;
    auto one = makeConnection();
    m_byAddress[address] = one;
    one->connect(address);
    wire::envelope hello;
    hello.set_sender_address(m_ownAddress);
    one->send(hello);
    return one;
}

void peer_network::send(const std::string& address, wire::envelope message)
{
    if (auto to = connectionTo(address))
        to->send(message);
    else
        m_metrics.count("peer_message_dropped");
}

void peer_network::call(const std::string& address, wire::envelope message, milliseconds timeout, reply_handler handler)
{
    auto id = ++m_lastCall;
    message.set_call(id);
    auto to = connectionTo(address);
    auto timer = std::make_shared<asio::steady_timer>(m_context, to ? timeout : milliseconds(0));
    m_calls[id] = { std::move(handler), timer, to };
    timer->async_wait([this, id](boost::system::error_code error) {
        if (!error)
            finishCall(id, nullptr);
    });
    if (to)
        to->send(message);
}

void peer_network::reply(const peer& to, const wire::envelope& call, wire::envelope message)
{
    message.set_reply_to(call.call());
    to->send(message);
}

void peer_network::finishCall(std::uint64_t id, const wire::envelope* reply)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    auto call = std::move(found->second);
    m_calls.erase(found);
    call.timer->cancel();
    call.handler(reply);
}

void peer_network::received(const peer& from, const wire::envelope& message)
{
    if (m_toldLost.erase(from->peerAddress()) > 0)
        logEvent("peer_regained", { { "peer", from->peerAddress() } });
    if (!message.sender_address().empty()) {
        from->setPeerAddress(message.sender_address());
        auto& known = m_byAddress[message.sender_address()];
        if (!known || !known->isOpen())
            known = from;
        m_retryAt.erase(message.sender_address());
    }
    if (message.reply_to() != 0) {
        finishCall(message.reply_to(), &message);
        return;
    }
    switch (message.body_case()) {
    case wire::envelope::kPing: {
        wire::envelope answer;
        answer.mutable_pong();
        from->send(answer);
        return;
    }
    case wire::envelope::kPong:
    case wire::envelope::BODY_NOT_SET:
        return;
    default:
        m_receive(message, from);
    }
}

void peer_network::closed(const peer& from, const std::string& why)
{
    m_all.erase(from);
    auto found = m_byAddress.find(from->peerAddress());
    if (found != m_byAddress.end() && found->second == from) {
        m_byAddress.erase(found);
        m_retryAt[from->peerAddress()] = m_clock.now() + reconnectPause;
        if (m_toldLost.insert(from->peerAddress()).second)
            logEvent("peer_lost", { { "peer", from->peerAddress() }, { "why", why } });
    }
    std::vector<std::uint64_t> broken;
    for (const auto& [id, call] : m_calls) {
        if (call.over == from)
            broken.push_back(id);
    }
    for (auto id : broken)
        finishCall(id, nullptr);
    if (m_lost)
        m_lost(from);
}

void peer_network::watchSilence()
{
    m_silenceTimer.expires_after(silenceCheckInterval);
    m_silenceTimer.async_wait([this](boost::system::error_code error) {
        if (error || m_stopped)
            return;
        auto now = m_clock.now();
        // After a freeze the peers' messages lie unread in the sockets: judging them silent now would break every
        // connection at the moment when it is needed most.
        bool judge = now - m_lastSilenceCheck < stoodStill;
        m_lastSilenceCheck = now;
        if (judge) {
            for (const auto& one : std::set<peer>(m_all))
                one->checkSilence(now);
        }
        watchSilence();
    });
}

} // namespace pistachiolatch
