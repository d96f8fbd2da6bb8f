#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include "wire/wire_settings.h"
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pistachiolatch {

/// Sends and receives envelopes. Each process binds one ROUTER and opens one DEALER for each peer it sends to,
/// so every exchange is one-way and a reply goes to the address in the envelope.
/// CURVE with the cluster's key pair keeps out whoever is not a member.
/// Thread safety: all methods are called from the control thread.
class transport {
public:
    using receiver = std::function<void(const wire::envelope&)>;

    transport(const wire_settings& settings, std::uint64_t incarnation, metrics& counters);
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Binds the listening address. Errors: address in use or unusable keys, in words.
    result<void> open();
    /// Sends the envelope's body; sender fields are filled in here. Nothing tells whether it arrives.
    void send(const std::string& address, wire::envelope& message);
    /// Sends a reply to the sender of `call`.
    void reply(const wire::envelope& call, wire::envelope& message);
    /// Waits up to `patience` or until the extra file descriptor is readable, then hands every message that came to the receiver.
    void poll(milliseconds patience, int wakeDescriptor, const receiver& receive);
    /// Forgets peers not spoken to for a while, so that sockets to addresses long gone don't pile up.
    void dropIdlePeers(time_point now);

    /// The address that peers reply to.
    const std::string& address() const { return m_settings.advertise; }
    std::uint64_t incarnation() const { return m_incarnation; }

private:
    struct impl;
    void authenticate();
    void receiveAll(const receiver& receive);

    wire_settings m_settings;
    std::uint64_t m_incarnation;
    metrics& m_metrics;
    std::uint64_t m_sequence = 0;
    std::unique_ptr<impl> m_impl;
};

} // namespace pistachiolatch
