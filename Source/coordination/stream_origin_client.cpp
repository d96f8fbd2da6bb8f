#include "coordination/stream_origin_client.h"

namespace pistachiolatch {

namespace {
    /// More streams than an entry begins within the time that their callers may wait.
    constexpr std::size_t maxOwnStreams = 4096;
    /// Limits the size of syncs; later syncs tell the rest.
    constexpr int maxOriginsPerSync = 512;
    /// A live process answers within a few milliseconds. One that is suspended must not hold up the callers of others.
    constexpr milliseconds queryTimeout { 120 };
}

stream_origin_client::stream_origin_client(peer_network& network, const clock_source& clock, std::function<known_controls()> controls)
    : m_network(network)
    , m_clock(clock)
    , m_controls(std::move(controls))
    , m_own(maxOwnStreams)
{
}

void stream_origin_client::recordPlacement(const wire::stream_origin& origin, bool chosenByLeader)
{
    m_own.record(origin, m_clock.now());
    // The leader may hold a placement at another version whose reply never came, also if this one equals the last that was made.
    if (chosenByLeader)
        return;
    m_unreported[origin.stream()] = {};
    for (const auto& address : m_controls().addresses) {
        wire::envelope message;
        *message.mutable_stream_origins()->add_origins() = origin;
        m_network.send(address, std::move(message));
    }
}

void stream_origin_client::resolve(const wire::stream_origin_query& query, resolution_handler handler)
{
    if (auto own = m_own.find(query.stream(), m_clock.now())) {
        handler({ origin_knowledge::Known, { own->service(), own->software_version() }, false });
        return;
    }
    auto controls = m_controls();
    auto running = std::make_shared<running_poll>(running_poll { origin_poll(controls.addresses.size()), std::move(handler) });
    auto completeIfDecided = [running] {
        if (!running->done && running->poll.isDecided()) {
            running->done = true;
            running->handler(running->poll.result());
        }
    };
    completeIfDecided();
    for (const auto& address : controls.addresses) {
        wire::envelope message;
        *message.mutable_stream_origin_query() = query;
        bool isLeader = address == controls.leader;
        m_network.call(address, std::move(message), queryTimeout, [running, isLeader, completeIfDecided](const wire::envelope* reply) {
            running->poll.addReply(reply && reply->has_stream_origin_reply() ? &reply->stream_origin_reply() : nullptr, isLeader);
            completeIfDecided();
        });
    }
}

void stream_origin_client::fillUnreported(google::protobuf::RepeatedPtrField<wire::stream_origin>& origins)
{
    auto now = m_clock.now();
    m_own.expire(now);
    std::erase_if(m_unreported, [&](const auto& item) { return !m_own.find(item.first, now); });
    for (auto& [stream, toldAt] : m_unreported) {
        if (origins.size() == maxOriginsPerSync)
            return;
        toldAt = now;
        *origins.Add() = *m_own.find(stream, now);
    }
}

void stream_origin_client::markReported(time_point until)
{
    std::erase_if(m_unreported, [&](const auto& item) { return item.second != time_point {} && item.second <= until; });
}

void stream_origin_client::onLeaderChanged()
{
    m_own.forEach(m_clock.now(), [&](const wire::stream_origin& origin) { m_unreported[origin.stream()] = {}; });
}

} // namespace pistachiolatch
