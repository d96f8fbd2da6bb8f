#pragma once
#include "coordination/prompt_part_blocks.h"
#include "membership/membership.h"
#include "scheduling/scheduling.h"
#include <map>

namespace pistachiolatch {

struct block_settings {
    /// Silence after which an endpoint whose connection broke counts as crashed.
    milliseconds silentAfter { 4000 };
    /// How long a crash counts against a request.
    milliseconds crashLifetime { 60000 };
    /// How long a certain block stays in force.
    milliseconds blockLifetime { std::chrono::minutes(10) };
    prompt_part_settings parts;
};

/// Decides which requests entries refuse because endpoints crash while running them. A request is blocked once connections
/// to crash_tracker::crashesToBlock endpoints broke while they ran it, or at crashesToBlockAfterSuccess moments if it succeeded before. The
/// block becomes certain when those endpoints have restarted or fallen silent. Prompts are blocked by their parts as well
/// (prompt_part_blocks). A suspicion is removed when the endpoint reports again from the same run, since then only the connection broke,
/// or when it reports ENDPOINT_GONE. A request that succeeds after a crash didn't cause it, so entries are asked
/// for the successes of requests under which endpoints crashed. Every control process keeps the crashes, since any of them may be
/// elected: a leader that started without them would let each request crash two more endpoints. Performs no I/O. Not
/// thread-safe.
class request_blocks {
public:
    explicit request_blocks(block_settings settings)
        : m_settings(settings)
        , m_parts(settings.parts)
    {
    }

    /// Records that the connection to an endpoint broke while it ran a request, at a time that the report's age tells.
    /// Returns false if the report is a repeated one, which changes nothing.
    bool addSuspectedCrash(const wire::crash_report& report, time_point now);
    /// The number of crashes, certain or suspected, that count against the request.
    std::uint32_t crashCount(std::uint64_t fingerprint) const { return m_crashTracker.countOf(fingerprint).total(); }
    /// Confirms or removes suspicions against an endpoint according to its report.
    void onReport(const wire::endpoint_report& report, time_point now);
    /// Confirms the crashes of endpoints that are gone or silent in the directory, and drops expired crashes and blocks.
    /// Silence proves nothing about the time before leaderSince, in which this process may have been cut off.
    void updateFromDirectory(const endpoint_directory& directory, time_point leaderSince, time_point now);
    /// Adopts the certain blocks of an earlier leader that an entry still holds.
    void adopt(const wire::blocked_requests& held, time_point now);
    /// Extends the blocks of parts of prompts that an entry uses.
    void extend(const wire::blocked_requests& held, time_point now);
    /// Records what an entry knows of parts that are suspected.
    void recordStatuses(std::uint64_t entry, const google::protobuf::RepeatedPtrField<wire::prompt_part_status>& statuses, time_point now);
    /// Records the successes of requests that an entry told of. Returns whether one of them takes a crash back.
    bool recordSuccesses(const google::protobuf::RepeatedPtrField<wire::request_success>& successes, time_point now);
    /// Handles that this process becomes the leader, which alone decides on parts of prompts, or stops to be it.
    void setLeading(bool leading, time_point now);

    /// Incremented with each change of blocks().
    std::uint64_t version() const { return m_version; }
    const wire::blocked_requests& blocks() const { return m_blocks; }

private:
    void refresh(time_point now);
    bool hasCrashes() const { return !m_crashTracker.empty() || !m_parts.empty(); }

    block_settings m_settings;
    crash_tracker m_crashTracker;
    prompt_part_blocks m_parts;
    /// Expiry times of certain blocks, by fingerprint.
    std::map<std::uint64_t, time_point> m_certain;
    wire::blocked_requests m_blocks;
    std::uint64_t m_version = 0;
};

} // namespace pistachiolatch
