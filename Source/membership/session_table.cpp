#include "membership/session_table.h"

#include <algorithm>

namespace pistachiolatch {

milliseconds leaseDuration(wire::process_kind kind)
{
    return kind == wire::PROCESS_ENTRY ? entryLease : schedulerLease;
}

std::string session_table::sessionKey(const std::string& name, wire::process_kind kind)
{
    return (kind == wire::PROCESS_ENTRY ? "entry/" : "scheduler/") + name;
}

bool session_table::applyHeartbeat(const std::string& name, std::uint64_t incarnation, const std::string& address, const wire::session_heartbeat& heartbeat, time_point now)
{
    auto& session = m_sessions[sessionKey(name, heartbeat.kind())];
    // A VM whose clock was set back restarts with a lower incarnation; accept it once the earlier session has expired.
    if (session.process.incarnation() > incarnation && !session.expired)
        return false;
    bool changed = session.process.incarnation() != incarnation || session.expired || session.process.leaving() != heartbeat.leaving() || session.process.address() != address;
    session.process.set_name(name);
    session.process.set_incarnation(incarnation);
    session.process.set_kind(heartbeat.kind());
    session.process.set_address(address);
    session.process.set_data_centre(heartbeat.data_centre());
    session.process.set_leaving(heartbeat.leaving());
    session.appliedRevision = heartbeat.applied_revision();
    session.maxSchemaVersion = heartbeat.max_schema_version();
    session.expiresAt = now + leaseDuration(heartbeat.kind()) + leaseMargin;
    session.expired = false;
    if (changed)
        ++m_liveVersion;
    return true;
}

std::vector<std::string> session_table::expire(time_point now)
{
    std::vector<std::string> expiredKeys;
    for (auto& [key, session] : m_sessions) {
        if (session.expired || now < session.expiresAt)
            continue;
        session.expired = true;
        ++m_liveVersion;
        expiredKeys.push_back(key);
    }
    return expiredKeys;
}

bool session_table::isInForce(std::uint64_t revision, time_point now) const
{
    if (!earlierLeasesExpired(now))
        return false;
    return std::all_of(m_sessions.begin(), m_sessions.end(), [&](const auto& item) {
        return item.second.appliedRevision >= revision || now >= item.second.expiresAt;
    });
}

std::string session_table::processesBehind(std::uint64_t revision, time_point now) const
{
    std::string behind;
    for (const auto& [key, session] : m_sessions) {
        if (session.appliedRevision < revision && now < session.expiresAt)
            behind += (behind.empty() ? "" : ",") + key;
    }
    return behind;
}

bool session_table::mayOwnShards(const std::string& name, std::uint64_t incarnation, time_point now) const
{
    for (const auto& [key, session] : m_sessions) {
        if (session.process.name() != name || session.process.kind() != wire::PROCESS_SCHEDULER)
            continue;
        if (session.process.incarnation() == incarnation)
            return now < session.expiresAt && !session.process.leaving();
        // A newer incarnation on the same VM proves that the earlier process has ended.
        return session.process.incarnation() < incarnation && !earlierLeasesExpired(now);
    }
    return !earlierLeasesExpired(now);
}

bool session_table::isLive(const std::string& name, std::uint64_t incarnation) const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(), [&](const auto& item) {
        return !item.second.expired && item.second.process.name() == name && item.second.process.incarnation() == incarnation;
    });
}

std::uint32_t session_table::commonSchemaVersion(std::uint32_t newest) const
{
    auto lowest = newest;
    for (const auto& [key, session] : m_sessions) {
        if (!session.expired)
            lowest = std::min(lowest, session.maxSchemaVersion);
    }
    return lowest;
}

std::vector<wire::live_process> session_table::liveProcesses() const
{
    std::vector<wire::live_process> processes;
    for (const auto& [key, session] : m_sessions) {
        if (!session.expired)
            processes.push_back(session.process);
    }
    return processes;
}

} // namespace pistachiolatch
