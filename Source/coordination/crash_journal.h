#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <cstdint>
#include <deque>
#include <set>

namespace pistachiolatch {

/// Limits the request id in a crash report, which tells attempts apart.
constexpr std::size_t maxReportedRequestIdBytes = 128;

/// The crashes of endpoints that an entry saw itself, kept for as long as they count at a leader. A leader that is being elected or cut off
/// learns of them with the first sync that reaches it. Until a leader knows them, the entry counts them itself; from then on
/// the leader's blocks decide, since only the leader hears whether the endpoints are running. Pure; not thread-safe.
class crash_journal {
public:
    void add(const wire::crash_report& report, time_point now);
    /// Distinct runs of endpoints that crashed under the request after a time, if a leader doesn't know all of them; 0 otherwise.
    std::uint32_t unreportedCrashes(std::uint64_t fingerprint, time_point after = {}) const;
    /// The requests with crashes that the leader doesn't know.
    std::set<std::uint64_t> unreportedRequests() const;
    /// The moments after a time at which endpoints crashed under calls with this part in their prompts; 0 if it is a part that many
    /// calls had.
    std::uint32_t crashMoments(std::uint64_t part, time_point after) const;
    /// Appends the reports that the leader doesn't know, each with its age.
    void fillUnreported(google::protobuf::RepeatedPtrField<wire::crash_report>& reports, time_point now) const;
    /// Marks the crashes that were recorded before a time as known to the leader.
    void markReported(time_point until);
    /// Handles a new leader, which may know none of them.
    void onLeaderChanged();
    void expire(time_point now);
    bool empty() const { return m_crashes.empty(); }

private:
    struct seen_crash {
        wire::crash_report report;
        time_point at;
        bool reported = false;
    };
    std::deque<seen_crash> m_crashes;
};

} // namespace pistachiolatch
