#include "forwarding/acknowledgement_watch.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pistachiolatch {

bool acknowledgement_watch::isLost(const acknowledgement_state& state)
{
    m_checks = state.isAwaited ? m_checks + 1 : 0;
    // The first check may come right after the data was sent.
    return (m_checks - 1) * checkInterval >= maxSilence && state.sinceLast >= maxSilence;
}

bool acknowledgement_watch::isLost(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return false;
    return isLost({ info.tcpi_unacked > 0 || info.tcpi_probes > 0, milliseconds(info.tcpi_last_ack_recv) });
}

} // namespace pistachiolatch
