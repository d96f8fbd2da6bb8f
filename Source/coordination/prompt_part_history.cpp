#include "coordination/prompt_part_history.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Limits the memory to about a megabyte.
    constexpr std::size_t maxKnownParts = 8192;
}

bool prompt_part_history::recordSuccess(const std::vector<std::uint64_t>& parts, time_point now)
{
    for (auto part : parts) {
        auto found = m_known.find(part);
        if (found != m_known.end()) {
            found->second->succeededAt = now;
            m_recent.splice(m_recent.begin(), m_recent, found->second);
            continue;
        }
        m_recent.push_front({ part, now });
        m_known[part] = m_recent.begin();
    }
    while (m_recent.size() > maxKnownParts) {
        m_known.erase(m_recent.back().part);
        m_recent.pop_back();
    }
    bool hasSuspect = false;
    for (auto& [suspect, successesWithout] : m_suspects) {
        bool has = std::find(parts.begin(), parts.end(), suspect) != parts.end();
        hasSuspect = hasSuspect || has;
        successesWithout += has ? 0 : 1;
    }
    return hasSuspect;
}

void prompt_part_history::setSuspects(const google::protobuf::RepeatedField<std::uint64_t>& suspects)
{
    std::map<std::uint64_t, std::uint32_t> kept;
    for (auto suspect : suspects) {
        auto found = m_suspects.find(suspect);
        kept[suspect] = found == m_suspects.end() ? 0 : found->second;
    }
    m_suspects = std::move(kept);
}

time_point prompt_part_history::lastSuccessAt(std::uint64_t part) const
{
    auto found = m_known.find(part);
    return found == m_known.end() ? time_point {} : found->second->succeededAt;
}

void prompt_part_history::fillStatuses(google::protobuf::RepeatedPtrField<wire::prompt_part_status>& statuses, time_point now) const
{
    for (const auto& [suspect, successesWithout] : m_suspects) {
        auto& status = *statuses.Add();
        status.set_part(suspect);
        status.set_successes_without(successesWithout);
        auto at = lastSuccessAt(suspect);
        status.set_succeeded(at != time_point {});
        if (status.succeeded())
            status.set_success_age_ms(saturatingCast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(now - at).count()));
    }
}

} // namespace pistachiolatch
