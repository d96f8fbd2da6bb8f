#include "entry/announcement_relay.h"

namespace pistachiolatch {

namespace {
    std::string shardOf(const wire::endpoint_announcement& announcement)
    {
        return announcement.role() == "service" ? serviceShard(announcement.model()) : modelShard(announcement.model());
    }
}

announcement_relay::announcement_relay(control_loop& loop, control_session& session)
    : m_loop(loop)
    , m_session(session)
{
}

void announcement_relay::announce(wire::endpoint_announcement announcement)
{
    auto& one = m_heard[announcement.id()];
    one = { std::move(announcement), m_loop.now() };
    if (const auto* owner = m_session.findOwner(shardOf(one.announcement)))
        forward(one, *owner);
}

void announcement_relay::forward(const heard& one, const wire::shard_owner& owner)
{
    wire::envelope message;
    auto* forward = message.mutable_announce();
    *forward->mutable_endpoint() = one.announcement;
    forward->set_age_ms(static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(m_loop.now() - one.at).count()));
    m_loop.wire().send(owner.address(), message);
}

void announcement_relay::onShards()
{
    for (const auto& [shard, owner] : m_session.shards()) {
        auto& known = m_knownEpochs[shard];
        if (known == owner.epoch())
            continue;
        known = owner.epoch();
        for (const auto& [id, one] : m_heard) {
            if (shardOf(one.announcement) == shard)
                forward(one, owner);
        }
    }
}

void announcement_relay::tick(time_point now)
{
    std::erase_if(m_heard, [now](const auto& item) { return now - item.second.at > endpointSilence; });
}

} // namespace pistachiolatch
