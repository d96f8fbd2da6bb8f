#pragma once
#include "coordination/route_service_history.h"
#include "coordination/software_version_history.h"
#include "peering/peering.h"
#include <functional>

namespace pistachiolatch {

/// A control process's part in knowing where streams began. Every control process keeps all origins, since any of them may be
/// elected and any may be asked; the leader passes on what it learns. Thread safety: the thread that runs the context.
class stream_origin_service {
public:
    /// Preconditions: the references outlive the service; `followers` returns the addresses of the other control processes if
    /// this one leads, else none.
    stream_origin_service(boost::asio::io_context& context, peer_network& network, const clock_source& clock, metrics& counters, std::function<std::vector<std::string>()> followers);

    void stop() { m_timer.cancel(); }
    /// Call this twice a second.
    void onTimer() { m_history.onTick(m_clock.now()); }
    void onReport(const wire::endpoint_report& report) { m_history.onReport(report, m_clock.now()); }
    /// Handles the newest configuration.
    void onConfiguration(const configuration& current) { m_routes.setConfiguration(current, m_clock.now()); }
    /// Records an origin that a process told, or that this one decided as the leader. A leader passes on what is new.
    void record(const wire::stream_origin& origin);
    /// Handles a message of a peer. Returns false if it is none of this class.
    bool onMessage(const wire::envelope& message, const peer_network::peer& from);

private:
    void passOn();
    wire::stream_origin_reply answer(const wire::stream_origin_query& query) const;

    peer_network& m_network;
    const clock_source& m_clock;
    metrics& m_metrics;
    std::function<std::vector<std::string>()> m_followers;
    boost::asio::steady_timer m_timer;
    bool m_timerArmed = false;
    stream_origin_table m_streams;
    software_version_history m_history;
    route_service_history m_routes;
    /// Origins that the followers are not told yet.
    wire::stream_origins m_unsent;
};

} // namespace pistachiolatch
