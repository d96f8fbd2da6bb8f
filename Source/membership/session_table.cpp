#include "membership/session_table.h"

#include <algorithm>

namespace pistachiolatch {

milliseconds leaseDuration(wire::process_kind kind)
{
    return kind == wire::PROCESS_ENTRY ? entryLease : schedulerLease;
}

std::string session_table::keyOf(const std::string& name, wire::process_kind kind)
{
    return (kind == wire::PROCESS_ENTRY ? "entry/" : "scheduler/") + name;
}

bool session_table::applyHeartbeat(const std::string& name, std::uint64_t incarnation, const std::string& address, const wire::session_heartbeat& beat, time_point now)
{
    auto& one = m_sessions[keyOf(name, beat.kind())];
    // A VM whose clock was set back restarts with a lower incarnation; it is let in once the earlier one has lapsed.
    if (one.process.incarnation() > incarnation && !one.expired)
        return false;
    bool changed = one.process.incarnation() != incarnation || one.expired || one.process.leaving() != beat.leaving() || one.process.address() != address;
    one.process.set_name(name);
    one.process.set_incarnation(incarnation);
    one.process.set_kind(beat.kind());
    one.process.set_address(address);
    one.process.set_data_centre(beat.data_centre());
    one.process.set_leaving(beat.leaving());
    one.appliedRevision = beat.applied_revision();
    one.maxSchemaVersion = beat.max_schema_version();
    one.expires = now + leaseDuration(beat.kind()) + leaseMargin;
    one.expired = false;
    if (changed)
        ++m_liveVersion;
    return true;
}

std::vector<std::string> session_table::expire(time_point now)
{
    std::vector<std::string> expiredKeys;
    for (auto& [key, one] : m_sessions) {
        if (one.expired || now < one.expires)
            continue;
        one.expired = true;
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
        return item.second.appliedRevision >= revision || now >= item.second.expires;
    });
}

std::string session_table::processesBehind(std::uint64_t revision, time_point now) const
{
    std::string behind;
    for (const auto& [key, one] : m_sessions) {
        if (one.appliedRevision < revision && now < one.expires)
            behind += (behind.empty() ? "" : ",") + key;
    }
    return behind;
}

bool session_table::mayAct(const std::string& name, std::uint64_t incarnation, time_point now) const
{
    for (const auto& [key, one] : m_sessions) {
        if (one.process.name() != name || one.process.kind() != wire::PROCESS_SCHEDULER)
            continue;
        if (one.process.incarnation() == incarnation)
            return now < one.expires && !one.process.leaving();
        // A newer incarnation on the VM proves that the earlier process has ended.
        return one.process.incarnation() < incarnation && !earlierLeasesExpired(now);
    }
    return !earlierLeasesExpired(now);
}

bool session_table::isLive(const std::string& name, std::uint64_t incarnation) const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(), [&](const auto& item) {
        return !item.second.expired && item.second.process.name() == name && item.second.process.incarnation() == incarnation;
    });
}

std::uint32_t session_table::commonSchemaVersion(std::uint32_t fallback) const
{
    auto lowest = fallback;
    for (const auto& [key, one] : m_sessions) {
        if (!one.expired)
            lowest = std::min(lowest, one.maxSchemaVersion);
    }
    return lowest;
}

std::vector<wire::live_process> session_table::liveProcesses() const
{
    std::vector<wire::live_process> processes;
    for (const auto& [key, one] : m_sessions) {
        if (!one.expired)
            processes.push_back(one.process);
    }
    return processes;
}

} // namespace pistachiolatch
