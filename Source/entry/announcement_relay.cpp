#include "entry/announcement_relay.h"

namespace pistachiolatch {

namespace {
    std::string selectShard(const wire::endpoint_announcement& announcement)
    {
        return announcement.role() == "service" ? serviceShard(announcement.model()) : modelShard(announcement.model());
    }
}

announcement_relay::announcement_relay(control_loop& loop, control_session& session)
    : m_loop(loop)
    , m_session(session)
{
}

void announcement_relay::handleAnnouncement(wire::endpoint_announcement announcement)
{
    auto& latest = m_latest[announcement.id()];
    latest = { std::move(announcement), m_loop.now() };
    if (const auto* owner = m_session.findOwner(selectShard(latest.announcement)))
        forward(latest, *owner);
}

void announcement_relay::forward(const received_announcement& received, const wire::shard_owner& owner)
{
    wire::envelope message;
    auto* forwarded = message.mutable_announce();
    *forwarded->mutable_endpoint() = received.announcement;
    forwarded->set_age_ms(static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(m_loop.now() - received.receivedAt).count()));
    m_loop.wire().send(owner.address(), message);
}

void announcement_relay::handleOwnerChanges()
{
    for (const auto& [shard, owner] : m_session.shards()) {
        auto& known = m_knownEpochs[shard];
        if (known == owner.epoch())
            continue;
        known = owner.epoch();
        for (const auto& [id, latest] : m_latest) {
            if (selectShard(latest.announcement) == shard)
                forward(latest, owner);
        }
    }
}

void announcement_relay::tick(time_point now)
{
    std::erase_if(m_latest, [now](const auto& item) { return now - item.second.receivedAt > endpointTimeout; });
}

} // namespace pistachiolatch
