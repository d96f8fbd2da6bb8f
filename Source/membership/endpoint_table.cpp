#include "membership/endpoint_table.h"

#include <algorithm>
#include <tuple>

namespace pistachiolatch {

announcement_effect endpoint_table::applyAnnouncement(const wire::endpoint_announcement& announcement, milliseconds age, time_point now)
{
    auto lastContact = now - age;
    auto found = m_rows.find(announcement.id());
    if (found == m_rows.end()) {
        if (age >= endpointTimeout)
            return announcement_effect::Stale;
        m_rows.emplace(announcement.id(), row { announcement, lastContact, true, {} });
        return announcement_effect::Joined;
    }
    auto& known = found->second;
    auto newer = std::tuple(announcement.incarnation(), announcement.sequence()) > std::tuple(known.announcement.incarnation(), known.announcement.sequence());
    if (!newer)
        return announcement_effect::Stale;
    bool restarted = announcement.incarnation() != known.announcement.incarnation();
    bool wasAlive = known.alive;
    bool endsSuspension = restarted || lastContact - known.suspendedAt > maxAnnouncementDelay;
    known = { announcement, std::max(lastContact, known.lastContact), true, endsSuspension ? time_point() : known.suspendedAt };
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
    std::vector<std::string> expired;
    for (auto& [id, endpoint] : m_rows) {
        if (endpoint.alive && now - endpoint.lastContact > endpointTimeout) {
            endpoint.alive = false;
            expired.push_back(id);
        }
    }
    std::erase_if(m_rows, [now](const auto& item) { return now - item.second.lastContact > endpointRetention; });
    return expired;
}

const wire::endpoint_announcement* endpoint_table::find(const std::string& id) const
{
    auto found = m_rows.find(id);
    return found != m_rows.end() && found->second.alive ? &found->second.announcement : nullptr;
}

std::vector<const wire::endpoint_announcement*> endpoint_table::serving() const
{
    std::vector<const wire::endpoint_announcement*> endpoints;
    for (const auto& [id, endpoint] : m_rows) {
        if (endpoint.alive && !endpoint.announcement.leaving() && endpoint.suspendedAt == time_point())
            endpoints.push_back(&endpoint.announcement);
    }
    return endpoints;
}

std::vector<std::string> endpoint_table::alive() const
{
    std::vector<std::string> ids;
    for (const auto& [id, endpoint] : m_rows) {
        if (endpoint.alive)
            ids.push_back(id);
    }
    return ids;
}

} // namespace pistachiolatch
