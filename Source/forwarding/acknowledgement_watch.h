#pragma once
#include "kernel/kernel.h"
#include <boost/asio/ip/tcp.hpp>

namespace pistachiolatch {

/// What the kernel tells of the data that was sent on a connection.
struct acknowledgement_state {
    /// Whether the peer's host still has to acknowledge data, or a probe of its receive window.
    bool isAwaited = false;
    /// Time since the last acknowledgement.
    milliseconds sinceLast { 0 };
};

/// Detects connections whose peer's host has vanished: it acknowledges nothing. A host whose process reads nothing for a while
/// acknowledges the probes of its receive window, for which TCP_USER_TIMEOUT would end the connection all the same. Counts checks
/// instead of time, so that a pause of this process isn't taken for one of the host. Not thread-safe.
class acknowledgement_watch {
public:
    static constexpr milliseconds checkInterval { 200 };
    /// Far longer than any delay on a live connection, shorter than callers wait.
    static constexpr milliseconds maxSilence { 1200 };

    /// Whether the host has vanished. Precondition: called once each checkInterval.
    bool isLost(const acknowledgement_state& state);
    bool isLost(boost::asio::ip::tcp::socket& socket);

private:
    /// Checks in series at which an acknowledgement was awaited.
    int m_checks = 0;
};

} // namespace pistachiolatch
