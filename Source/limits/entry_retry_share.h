#pragma once
#include "limits/retry_tolerance.h"
#include "limits/sliding_count.h"
#include <array>
#include <map>
#include <string>

namespace pistachiolatch {

/// An entry's own part of the retry budget, which needs no communication: what it earns by first attempts, and an equal share
/// of a fixed number. It holds over restarts of the process: an entry has no share until it has run for as long as the retries
/// of its predecessor on the VM count, and earns by its own first attempts only. Not thread-safe.
class entry_retry_share {
public:
    /// Precondition: the process has sent no request before `startedAt`.
    entry_retry_share(retry_tolerance tolerance, time_point startedAt)
        : m_tolerance(tolerance)
        , m_startedAt(startedAt)
    {
    }

    /// Records the first attempt of a call.
    void recordFirstAttempt(const std::string& service, time_point now);
    /// Records how many entries the leader counts. A new leader, or one behind a cut, has heard of some of them only, so the
    /// share is divided by the largest number of the last window.
    void recordEntryCount(unsigned entries, time_point now);
    /// Takes a retry that first attempts have earned.
    bool tryTakeEarned(const std::string& service, retry_need need, time_point now);
    /// Takes a required retry of the share.
    bool tryTakeShare(const std::string& service, time_point now);

private:
    static constexpr std::size_t bucketCount = 10;
    /// Counts events in the current bucket and those before it that lie wholly within the window. Events of the remaining
    /// fraction are left out, so the count is never above the true one.
    class bucketed_count {
    public:
        void add(std::int64_t bucket);
        unsigned sum(std::int64_t bucket);

    private:
        void advance(std::int64_t bucket);
        std::array<unsigned, bucketCount> m_counts {};
        std::int64_t m_newest = 0;
    };
    struct service_state {
        bucketed_count firstAttempts;
        sliding_count earned;
        sliding_count share;
    };
    std::int64_t bucketOf(time_point now) const { return now.time_since_epoch() / (m_tolerance.window / bucketCount); }
    unsigned largestEntryCount(time_point now);

    retry_tolerance m_tolerance;
    time_point m_startedAt;
    std::map<std::string, service_state> m_services;
    /// Numbers of entries that no later one exceeds, with the time at which each was stated last.
    std::deque<std::pair<time_point, unsigned>> m_entryCounts;
};

} // namespace pistachiolatch
