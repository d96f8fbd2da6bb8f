#include "coordination/stream_origin_table.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace pistachiolatch {

namespace {
    /// A renewal by less than this isn't worth a message.
    constexpr milliseconds minRenewal { 1000 };
    /// Limits what a sender can make a receiver keep.
    constexpr milliseconds maxLifetime { std::chrono::minutes(10) };
    /// Versions beyond which those without streams are removed.
    constexpr std::size_t maxIdleOrigins = 64;
}

std::uint64_t streamKey(const std::string& organisation, const std::string& requestId)
{
    auto key = XXH3_64bits_withSeed(requestId.data(), requestId.size(), XXH3_64bits(organisation.data(), organisation.size()));
    return std::max<std::uint64_t>(key, 1);
}

bool stream_origin_table::record(const wire::stream_origin& origin, time_point now)
{
    expire(now);
    auto expiresAt = now + std::min(milliseconds(origin.lifetime_ms()), maxLifetime);
    auto found = m_streams.find(origin.stream());
    if (found == m_streams.end()) {
        if (m_streams.size() >= m_maxStreams)
            remove(m_byExpiry.begin()->second);
        m_streams[origin.stream()] = { share(origin), origin.placement(), expiresAt };
        m_byExpiry.emplace(expiresAt, origin.stream());
        return true;
    }
    auto& known = found->second;
    bool isSame = known.origin->service == origin.service() && known.origin->softwareVersion == origin.software_version();
    if (!isSame && origin.placement() <= known.placement)
        return false;
    bool isRenewed = expiresAt > known.expiresAt + minRenewal;
    if (!isSame)
        known.origin = share(origin);
    known.placement = std::max(known.placement, origin.placement());
    if (expiresAt > known.expiresAt) {
        m_byExpiry.erase({ known.expiresAt, origin.stream() });
        known.expiresAt = expiresAt;
        m_byExpiry.emplace(expiresAt, origin.stream());
    }
    return !isSame || isRenewed;
}

std::optional<wire::stream_origin> stream_origin_table::find(std::uint64_t stream, time_point now) const
{
    auto found = m_streams.find(stream);
    if (found == m_streams.end() || found->second.expiresAt <= now)
        return std::nullopt;
    return encode(stream, found->second, now);
}

wire::stream_origin stream_origin_table::encode(std::uint64_t stream, const known_stream& known, time_point now)
{
    wire::stream_origin origin;
    origin.set_stream(stream);
    origin.set_service(known.origin->service);
    origin.set_software_version(known.origin->softwareVersion);
    origin.set_placement(known.placement);
    origin.set_lifetime_ms(saturatingCast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(known.expiresAt - now).count()));
    return origin;
}

stream_origin_table::shared_origin stream_origin_table::share(const wire::stream_origin& origin)
{
    if (m_origins.size() > maxIdleOrigins)
        std::erase_if(m_origins, [](const auto& item) { return item.second.expired(); });
    auto& known = m_origins[{ origin.service(), origin.software_version() }];
    auto shared = known.lock();
    if (!shared) {
        shared = std::make_shared<const stream_origin>(stream_origin { origin.service(), origin.software_version() });
        known = shared;
    }
    return shared;
}

void stream_origin_table::remove(std::uint64_t stream)
{
    auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return;
    m_byExpiry.erase({ found->second.expiresAt, stream });
    m_streams.erase(found);
}

void stream_origin_table::expire(time_point now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now)
        remove(m_byExpiry.begin()->second);
}

} // namespace pistachiolatch
