#include "membership/endpoint_table.h"

#include <algorithm>
#include <tuple>

namespace pistachiolatch {

announcement_effect endpoint_table::applyAnnouncement(const wire::endpoint_announcement& announcement, milliseconds age, time_point now)
{
    auto heardAt = now - age;
    auto found = m_rows.find(announcement.id());
    if (found == m_rows.end()) {
        if (age >= endpointTimeout)
            return announcement_effect::Stale;
        m_rows.emplace(announcement.id(), row { announcement, heardAt, true, {} });
        return announcement_effect::Joined;
    }
    auto& known = found->second;
    auto newer = std::tuple(announcement.incarnation(), announcement.sequence()) > std::tuple(known.announcement.incarnation(), known.announcement.sequence());
    if (!newer)
        return announcement_effect::Stale;
    bool restarted = announcement.incarnation() != known.announcement.incarnation();
    bool wasAlive = known.alive;
    bool provesLife = restarted || heardAt - known.suspendedAt > maxAnnouncementDelay;
    known = { announcement, std::max(heardAt, known.heardAt), true, provesLife ? time_point() : known.suspendedAt };
    if (announcement.leaving())
        return announcement_effect::Leaving;
    if (restarted)
        return announcement_effect::Restarted;
    return wasAlive ? announcement_effect::Refreshed : announcement_effect::Joined;
}

void endpoint_table::suspend(const std::string& id, time_point now)
{
    auto found = m_rows.find(id);
    if (found != m_rows.end())
        found->second.suspendedAt = now;
}

std::vector<std::string> endpoint_table::expire(time_point now)
{
    std::vector<std::string> gone;
    for (auto& [id, one] : m_rows) {
        if (one.alive && now - one.heardAt > endpointTimeout) {
            one.alive = false;
            gone.push_back(id);
        }
    }
    std::erase_if(m_rows, [now](const auto& item) { return now - item.second.heardAt > endpointRetention; });
    return gone;
}

const wire::endpoint_announcement* endpoint_table::find(const std::string& id) const
{
    auto found = m_rows.find(id);
    return found != m_rows.end() && found->second.alive ? &found->second.announcement : nullptr;
}

std::vector<const wire::endpoint_announcement*> endpoint_table::serving() const
{
    std::vector<const wire::endpoint_announcement*> endpoints;
    for (const auto& [id, one] : m_rows) {
        if (one.alive && !one.announcement.leaving() && one.suspendedAt == time_point())
            endpoints.push_back(&one.announcement);
    }
    return endpoints;
}

std::vector<std::string> endpoint_table::alive() const
{
    std::vector<std::string> ids;
    for (const auto& [id, one] : m_rows) {
        if (one.alive)
            ids.push_back(id);
    }
    return ids;
}

} // namespace pistachiolatch
