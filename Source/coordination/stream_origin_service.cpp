#include "coordination/stream_origin_service.h"

namespace pistachiolatch {

namespace {
    /// About 10 MB.
    constexpr std::size_t maxStreams = 65'536;
    /// Shorter than the time from a placement to the first event, so that the other processes know a stream before its caller
    /// has any part of it.
    constexpr milliseconds passOnDelay { 10 };
    constexpr int maxUnsent = 1024;
}

stream_origin_service::stream_origin_service(boost::asio::io_context& context, peer_network& network, const clock_source& clock, metrics& counters, std::function<std::vector<std::string>()> followers)
    : m_network(network)
    , m_clock(clock)
    , m_metrics(counters)
    , m_followers(std::move(followers))
    , m_timer(context)
    , m_streams(maxStreams)
    , m_history(clock.now())
{
}

void stream_origin_service::record(const wire::stream_origin& origin)
{
    if (!m_streams.record(origin, m_clock.now()) || m_followers().empty())
        return;
    *m_unsent.add_origins() = origin;
    if (m_unsent.origins_size() >= maxUnsent)
        passOn();
    if (std::exchange(m_timerArmed, true))
        return;
    m_timer.expires_after(passOnDelay);
    m_timer.async_wait([this](boost::system::error_code error) {
        m_timerArmed = false;
        if (!error)
            passOn();
    });
}

void stream_origin_service::passOn()
{
    m_metrics.gauge("stream_origins", static_cast<double>(m_streams.size()));
    for (const auto& address : m_followers()) {
        wire::envelope message;
        *message.mutable_stream_origins() = m_unsent;
        m_network.send(address, std::move(message));
    }
    m_unsent.clear_origins();
}

bool stream_origin_service::onMessage(const wire::envelope& message, const peer_network::peer& from)
{
    if (message.has_stream_origins()) {
        for (const auto& origin : message.stream_origins().origins())
            record(origin);
        return true;
    }
    if (!message.has_stream_origin_query())
        return false;
    wire::envelope reply;
    *reply.mutable_stream_origin_reply() = answer(message.stream_origin_query());
    m_metrics.count(reply.stream_origin_reply().has_origin() ? "stream_origin_known" : "stream_origin_not_known");
    peer_network::reply(from, message, std::move(reply));
    return true;
}

wire::stream_origin_reply stream_origin_service::answer(const wire::stream_origin_query& query) const
{
    wire::stream_origin_reply reply;
    auto now = m_clock.now();
    if (auto origin = m_streams.find(query.stream(), now)) {
        *reply.mutable_origin() = std::move(*origin);
        return reply;
    }
    milliseconds maxAge { query.max_age_ms() };
    reply.set_observed(m_history.covers(maxAge, now));
    auto services = m_routes.servicesOf(query.route(), maxAge, now);
    services.insert(query.services().begin(), query.services().end());
    reply.set_several(m_history.knowsSeveral(services, maxAge, now));
    if (auto sole = m_history.soleOrigin(services, maxAge, now)) {
        reply.set_sole_service(sole->service);
        reply.set_sole_version(sole->softwareVersion);
    }
    return reply;
}

} // namespace pistachiolatch
