#pragma once
#include "limits/retry_tolerance.h"
#include "limits/sliding_count.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// The leader's part of the retry budget: grants retries to all entries and counts them by service in a sliding window. It
/// lives as long as the leadership. A new leader can't know what its predecessor granted, so it grants nothing until those
/// grants no longer count. Not thread-safe.
class retry_ledger {
public:
    explicit retry_ledger(retry_tolerance tolerance)
        : m_tolerance(tolerance)
    {
    }

    /// Starts over for a new leader. There may be grants of a predecessor if any configuration was ever in force, since
    /// without one no entry sends requests.
    void reset(bool mayHavePredecessor, time_point now);
    /// Grants one retry for the service. Returns false if what may be spent for it is spent.
    bool tryGrant(const std::string& service, retry_need need, time_point now);

private:
    retry_tolerance m_tolerance;
    time_point m_closedUntil {};
    std::map<std::string, sliding_count> m_granted;
};

} // namespace pistachiolatch
