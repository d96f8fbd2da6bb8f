#pragma once
#include "coordination/stream_origin_table.h"
#include <set>
#include <vector>

namespace pistachiolatch {

/// The software versions that the endpoints of each service have reported, also of endpoints that are gone or restarted under
/// the same id. Tells where a stream began whose caller doesn't name it, if only one version can have. Pure; not thread-safe.
class software_version_history {
public:
    explicit software_version_history(time_point startedAt)
        : m_completeSince(startedAt)
        , m_lastTick(startedAt)
    {
    }

    /// Handles a regular timer. After a pause of the process the history is incomplete: reports of the pause may still wait to be
    /// read.
    void onTick(time_point now);

    void onReport(const wire::endpoint_report& report, time_point now);
    /// Whether every version of the last `maxAge` is known, as far as reports arrived.
    bool covers(milliseconds maxAge, time_point now) const { return !hasPaused(now) && now - m_completeSince >= maxAge; }
    /// Whether the services are known to have had several versions, or an unknown one, in the last `maxAge`.
    bool knowsSeveral(const std::set<std::string>& services, milliseconds maxAge, time_point now) const;
    /// The one version that the services had in the last `maxAge`; empty if there were several or none.
    std::optional<stream_origin> soleOrigin(const std::set<std::string>& services, milliseconds maxAge, time_point now) const;

private:
    /// Whether the timer is overdue, so that the process was suspended.
    bool hasPaused(time_point now) const;
    /// The versions that the services had in the last `maxAge`.
    std::vector<stream_origin> originsOf(const std::set<std::string>& services, milliseconds maxAge, time_point now) const;

    time_point m_completeSince;
    time_point m_lastTick;
    /// When each version of a service was last reported.
    std::map<std::string, std::map<std::string, time_point>> m_services;
};

} // namespace pistachiolatch
