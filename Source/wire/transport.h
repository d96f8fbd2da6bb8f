#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include "wire/wire_settings.h"
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pistachiolatch {

/// Sends and receives envelopes. Each process binds a ROUTER socket and opens a DEALER socket per peer it sends to, so
/// messages are one-way and a reply is sent to the address in the envelope. Peers are authenticated by CURVE with the
/// key pair of the cluster.
/// Thread safety: all methods are called from the control thread.
class transport {
public:
    using message_handler = std::function<void(const wire::envelope&)>;

    transport(const wire_settings& settings, std::uint64_t incarnation, metrics& counters);
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Binds the listening address. Errors: the address can't be bound, or the keys are invalid.
    result<void> open();
    /// Fills in the sender fields and sends the envelope. Delivery is not guaranteed.
    void send(const std::string& address, wire::envelope& message);
    /// Sends a reply to the sender of `call`.
    void reply(const wire::envelope& call, wire::envelope& message);
    /// Waits until a message arrives, the wake descriptor is readable or the timeout expires, then passes received messages
    /// to the handler.
    void poll(milliseconds timeout, int wakeDescriptor, const message_handler& handler);
    /// Closes sockets not used for a while, so that sockets to defunct addresses don't accumulate.
    void closeIdlePeers(time_point now);

    /// Returns the address that peers reply to.
    const std::string& address() const { return m_settings.advertise; }
    std::uint64_t incarnation() const { return m_incarnation; }

private:
    struct impl;
    void handleAuthentication();
    void receiveMessages(const message_handler& handler);

    wire_settings m_settings;
    std::uint64_t m_incarnation;
    metrics& m_metrics;
    std::uint64_t m_sequence = 0;
    std::unique_ptr<impl> m_impl;
};

} // namespace pistachiolatch
