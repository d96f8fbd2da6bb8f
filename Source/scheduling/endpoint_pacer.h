#pragma once
#include "scheduling/call_limit_gate.h"
#include "scheduling/cold_start_gate.h"

namespace pistachiolatch {

/// Paces the calls that a planner places at endpoints which take only some calls a second, because they are still cold or
/// because they name a limit. Pure; not thread-safe.
class endpoint_pacer {
public:
    /// The rates of cold endpoints, for the caller to keep up to date.
    cold_start_gate& coldStarts() { return m_coldStarts; }
    /// Applies the limit in an endpoint's row of the directory.
    void update(const wire::endpoint_row& row) { m_callLimits.update(row); }
    void remove(const std::string& endpoint);
    bool namesLimit(const std::string& endpoint) const { return m_callLimits.isLimited(endpoint); }
    /// Whether the endpoint is cold or names a limit.
    bool isPaced(const std::string& endpoint, time_point now) const { return m_coldStarts.isLimited(endpoint, now) || namesLimit(endpoint); }
    /// Whether the endpoint may get a call now.
    bool allows(const std::string& endpoint, time_point now) const { return m_coldStarts.allows(endpoint, now) && m_callLimits.allows(endpoint, now); }
    void onSent(const std::string& endpoint, time_point now);
    /// Number of calls that a paced endpoint may get within that time; 0 if it isn't paced.
    double expectedCalls(const std::string& endpoint, duration within, time_point now) const;

private:
    cold_start_gate m_coldStarts;
    call_limit_gate m_callLimits;
};

} // namespace pistachiolatch
