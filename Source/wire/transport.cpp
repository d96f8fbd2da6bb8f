#include "wire/transport.h"

#include <array>
#include <google/protobuf/stubs/logging.h>
#include <zmq.hpp>

namespace pistachiolatch {

namespace {
    constexpr int highWaterMark = 10000;
    constexpr int reconnectMillis = 50;
    constexpr int maxReconnectMillis = 500;
    constexpr int heartbeatMillis = 1000;
    constexpr int heartbeatTimeoutMillis = 3000;
    /// A handshake that loses a message never continues. ZeroMQ's default gives up on it after 30 s.
    constexpr int handshakeTimeoutMillis = 3000;
    constexpr std::size_t maxMessageBytes = 256UL * 1024 * 1024;
    constexpr auto idlePeerLifetime = std::chrono::seconds(60);

    struct peer {
        zmq::socket_t socket;
        time_point lastUsed;
    };
}

struct transport::impl {
    zmq::context_t context { 1 };
    zmq::socket_t router { context, zmq::socket_type::router };
    zmq::socket_t authenticator { context, zmq::socket_type::rep };
    std::map<std::string, peer> peers;
    time_point now {};
};

transport::transport(const wire_settings& settings, std::uint64_t incarnation, metrics& counters)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_metrics(counters)
    , m_impl(std::make_unique<impl>())
{
    // Malformed frames are counted. The library's own messages about them are not key=value lines and could flood the log.
    google::protobuf::SetLogHandler(nullptr);
}

transport::~transport() = default;

result<void> transport::open()
{
    try {
        // The ZAP handler must be bound before the ROUTER, or early peers would be accepted without authentication.
        m_impl->authenticator.bind("inproc://zeromq.zap.01");
        auto& router = m_impl->router;
        router.set(zmq::sockopt::linger, 0);
        router.set(zmq::sockopt::rcvhwm, highWaterMark);
        router.set(zmq::sockopt::curve_server, true);
        router.set(zmq::sockopt::curve_secretkey, m_settings.secretKey);
        router.set(zmq::sockopt::zap_domain, "pistachiolatch");
        router.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(maxMessageBytes));
        router.set(zmq::sockopt::heartbeat_ivl, heartbeatMillis);
        router.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMillis);
        router.set(zmq::sockopt::handshake_ivl, handshakeTimeoutMillis);
        router.bind("tcp://" + m_settings.listen);
    } catch (const zmq::error_t& error) {
        return failure { fmt::format("wire.listen: can't listen on {}: {}; free the address or check the keys", m_settings.listen, error.what()) };
    }
    return ok();
}

void transport::send(const std::string& address, wire::envelope& message)
{
    if (address.empty())
        return;
    message.set_sender(m_settings.vm);
    message.set_sender_address(m_settings.advertise);
    message.set_sender_incarnation(m_incarnation);
    message.set_sequence(++m_sequence);

    try {
        auto found = m_impl->peers.find(address);
        if (found == m_impl->peers.end()) {
            zmq::socket_t socket(m_impl->context, zmq::socket_type::dealer);
            socket.set(zmq::sockopt::linger, 0);
            socket.set(zmq::sockopt::sndhwm, highWaterMark);
            socket.set(zmq::sockopt::reconnect_ivl, reconnectMillis);
            socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectMillis);
            socket.set(zmq::sockopt::heartbeat_ivl, heartbeatMillis);
            socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMillis);
            socket.set(zmq::sockopt::handshake_ivl, handshakeTimeoutMillis);
            socket.set(zmq::sockopt::curve_serverkey, m_settings.publicKey);
            socket.set(zmq::sockopt::curve_publickey, m_settings.publicKey);
            socket.set(zmq::sockopt::curve_secretkey, m_settings.secretKey);
            // Binds the source address to this VM's IP, so that firewalls between VMs can match on it.
            auto ip = m_settings.listen.substr(0, m_settings.listen.rfind(':'));
            socket.connect("tcp://" + ip + ":0;" + address);
            found = m_impl->peers.emplace(address, peer { std::move(socket), {} }).first;
        }
        found->second.lastUsed = m_impl->now;
        std::string bytes = message.SerializeAsString();
        m_metrics.count("wire_sent_bytes", static_cast<double>(bytes.size()));
        m_metrics.count("wire_sent");
        auto sent = found->second.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        if (!sent)
            m_metrics.count("wire_send_queue_full");
    } catch (const zmq::error_t& error) {
        m_metrics.count("wire_send_error");
        logEvent("wire_send_error", { { "peer", address }, { "error", error.what() } });
    }
}

void transport::reply(const wire::envelope& call, wire::envelope& message)
{
    message.set_reply_to(call.call());
    message.set_receiver_incarnation(call.sender_incarnation());
    send(call.sender_address(), message);
}

void transport::poll(milliseconds timeout, int wakeDescriptor, const message_handler& handler)
{
    std::array<zmq::pollitem_t, 3> items { {
        { m_impl->router.handle(), 0, ZMQ_POLLIN, 0 },
        { m_impl->authenticator.handle(), 0, ZMQ_POLLIN, 0 },
        { nullptr, wakeDescriptor, ZMQ_POLLIN, 0 },
    } };
    try {
        zmq::poll(items.data(), items.size(), timeout);
    } catch (const zmq::error_t&) {
        return; // Interrupted by a signal; the control loop polls again.
    }
    if (items[1].revents)
        handleAuthentication();
    if (items[0].revents)
        receiveMessages(handler);
}

void transport::handleAuthentication()
{
    // ZAP 1.0: version, request id, domain, address, identity, mechanism, credentials.
    constexpr std::size_t requestFrames = 7;
    while (true) {
        std::vector<std::string> parts;
        zmq::message_t part;
        if (!m_impl->authenticator.recv(part, zmq::recv_flags::dontwait))
            return;
        parts.push_back(part.to_string());
        while (part.more()) {
            if (!m_impl->authenticator.recv(part, zmq::recv_flags::none))
                return;
            parts.push_back(part.to_string());
        }
        std::array<char, 41> clientKey {};
        bool member = false;
        constexpr std::size_t rawKeyLength = 32;
        if (parts.size() == requestFrames && parts[5] == "CURVE" && parts[6].size() == rawKeyLength) {
            zmq_z85_encode(clientKey.data(), reinterpret_cast<const std::uint8_t*>(parts[6].data()), rawKeyLength);
            member = equalConstantTime(std::string_view(clientKey.data()), m_settings.publicKey);
        }
        if (!member)
            m_metrics.count("wire_stranger_refused");
        std::array<std::string, 6> answer { "1.0", parts.size() > 1 ? parts[1] : "", member ? "200" : "400", member ? "member" : "not a member", "", "" };
        for (std::size_t i = 0; i < answer.size(); ++i)
            m_impl->authenticator.send(zmq::buffer(answer[i]), i + 1 < answer.size() ? zmq::send_flags::sndmore : zmq::send_flags::none);
    }
}

void transport::receiveMessages(const message_handler& handler)
{
    // Bounded, so that timers still run under a flood of messages.
    constexpr int maxMessagesPerPoll = 2000;
    for (int i = 0; i < maxMessagesPerPoll; ++i) {
        zmq::message_t identity;
        if (!m_impl->router.recv(identity, zmq::recv_flags::dontwait))
            return;
        zmq::message_t body;
        bool valid = identity.more();
        while (valid && m_impl->router.recv(body, zmq::recv_flags::none) && body.more())
            valid = false;
        m_metrics.count("wire_received_bytes", static_cast<double>(body.size()));
        wire::envelope message;
        if (!valid || !message.ParseFromArray(body.data(), static_cast<int>(body.size())) || !isAddress(message.sender_address())) {
            m_metrics.count("wire_frame_dropped");
            continue;
        }
        // ZeroMQ queues messages for a peer that is down and delivers them after its restart. A reply to the previous
        // incarnation could match a pending call with the same number, and a grant could renew a lease over state that it
        // was not issued for.
        if (message.receiver_incarnation() != 0 && message.receiver_incarnation() != m_incarnation) {
            m_metrics.count("wire_for_earlier_run");
            continue;
        }
        handler(message);
    }
}

void transport::closeIdlePeers(time_point now)
{
    m_impl->now = now;
    std::erase_if(m_impl->peers, [now](const auto& item) { return now - item.second.lastUsed > idlePeerLifetime; });
}

} // namespace pistachiolatch
