#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// Keeps the calls placed at endpoints within the limits that the endpoints name, which count the calls of all entries.
/// An endpoint gets its calls continuously, with a burst of two calls after a pause. Pure; not thread-safe.
class call_limit_gate {
public:
    /// Applies the limit in an endpoint's row of the directory, or removes it if the row has none.
    void update(const wire::endpoint_row& row);
    void remove(const std::string& endpoint) { m_limits.erase(endpoint); }
    bool isLimited(const std::string& endpoint) const { return m_limits.count(endpoint) > 0; }
    /// Whether the endpoint may get a call now.
    bool allows(const std::string& endpoint, time_point now) const;
    void onSent(const std::string& endpoint, time_point now);
    /// Number of whole calls that a limited endpoint may get within that time; 0 if it has no limit.
    double expectedCalls(const std::string& endpoint, duration within, time_point now) const;

private:
    struct call_limit {
        double callsPerSecond = 0;
        /// Calls that may be placed at once, at `updatedAt`.
        double available = 1;
        time_point updatedAt {};
    };
    static double availableAt(const call_limit& limit, time_point now);

    std::map<std::string, call_limit> m_limits;
};

} // namespace pistachiolatch
