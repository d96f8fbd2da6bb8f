#pragma once
#include "scheduling/scheduling.h"
#include <map>
#include <set>
#include <vector>

namespace pistachiolatch {

struct prompt_part_settings {
    /// An endpoint that has not reported for this long after its connection broke counts as crashed.
    milliseconds reportOverdue { 1800 };
    /// How long a crash counts against the parts of a request. Requests with a part may be minutes apart.
    milliseconds crashLifetime { std::chrono::minutes(10) };
    /// How long a certain block outlasts the last request that it refused.
    milliseconds blockLifetime { std::chrono::minutes(10) };
};

/// Finds the parts of prompts that crash each endpoint which begins to write an answer on them. A crash cuts many calls, so
/// the only evidence are calls that had no event yet, and each of their parts is a candidate. A call that ran to its end clears
/// all of its parts of earlier crashes. A part is blocked once it was in calls under which endpoints crashed at several moments,
/// without a success in between, while calls without it succeeded:
///   - a few crashes are enough for a part that never succeeded; more without any other success, and then those don't count that
///     a rarer part may explain which never occurs without it;
///   - more of them, over some time, are needed for one that did, so that a wave of crashes by another cause is not put down
///     to a popular part.
/// Crashes at the same moment count once, since they may have one cause outside. The parts that the fewest calls had come first, and a
/// crash counts against one part only: it would otherwise accuse what all calls have in common. Parts that were in the same crashes can't be
/// told apart and are blocked only together. Used by every control process to keep crashes, but only the leader decides, since
/// entries tell their successes to it. Pure; not thread-safe.
class prompt_part_blocks {
public:
    explicit prompt_part_blocks(prompt_part_settings settings)
        : m_settings(settings)
    {
    }

    /// Records a call with parts that was cut before its first event when the connection to its endpoint broke.
    void addCrash(const wire::crash_report& report, time_point at);
    /// The tracker of the crashes, which learns of the endpoints' reports, ends and silence.
    crash_tracker& crashes() { return m_crashes; }
    const crash_tracker& crashes() const { return m_crashes; }
    /// Records what an entry knows of a suspected part. Returns whether that clears it of crashes.
    bool recordStatus(std::uint64_t entry, const wire::prompt_part_status& status, time_point now);
    /// Starts or stops to decide. What entries told a former leader is not known any more.
    void setDeciding(bool deciding);
    /// Adopts a certain block that an entry holds, or extends it if the entry has refused a request by it since.
    void adopt(const wire::blocked_parts& held, time_point now);
    void refresh(time_point now);
    /// Appends the blocks, and the parts of which entries are to tell what they know.
    void fill(wire::blocked_requests& blocks) const;
    bool empty() const { return m_crashes.empty() && m_certain.empty(); }

private:
    using part_set = std::vector<std::uint64_t>;
    /// What the entries told of a part.
    struct part_knowledge {
        time_point suspectedAt {};
        /// Zero if no success is known.
        time_point succeededAt {};
        /// Calls without the part that ran to their end since it is suspected, by entry.
        std::map<std::uint64_t, std::uint32_t> successesWithout;
    };
    /// A run of an endpoint that crashed, and the calls without events that it had.
    struct crashed_run {
        time_point at {};
        bool confirmed = false;
        bool certain = false;
        std::vector<part_set> calls;
    };
    struct part_evidence {
        /// Positions of the runs since the last success of the part that no certain block of other parts explains, in order of time.
        std::vector<std::size_t> runs;
        /// Calls with the part in all runs.
        std::size_t calls = 0;
        time_point lastCrashAt {};
    };
    /// Crashes, counted by the moments at which they happened.
    struct moment_counts {
        std::size_t all = 0;
        std::size_t confirmed = 0;
        std::size_t certain = 0;
    };
    using evidence_map = std::map<std::uint64_t, part_evidence>;
    std::vector<crashed_run> collectRuns(time_point now) const;
    evidence_map collectEvidence(const std::vector<crashed_run>& runs) const;
    static moment_counts countMoments(const std::vector<crashed_run>& runs, const std::vector<std::size_t>& positions);
    void selectSuspects(const std::vector<crashed_run>& runs, const evidence_map& evidence, time_point now);
    bool isBlocked(const part_evidence& evidence, const moment_counts& moments, std::size_t ownMoments, const part_knowledge& knowledge, time_point now) const;
    /// Whether a part was in all calls of the other one's crashes that had the other one.
    static bool accompanies(std::uint64_t part, std::uint64_t other, const std::vector<crashed_run>& runs, const part_evidence& others);
    /// The moments of a part's crashes that no rarer suspect which it accompanies may explain.
    std::size_t countOwnMoments(std::uint64_t part, const part_evidence& own, const std::vector<crashed_run>& runs, const evidence_map& evidence) const;
    /// The parts that were in each call with this one, and had no success either.
    part_set findInseparable(std::uint64_t part, const part_evidence& own, const std::vector<crashed_run>& runs, const evidence_map& evidence) const;
    static bool hasAll(const part_set& call, const part_set& parts);
    void block(part_set parts, const moment_counts& moments, const std::set<part_set>& suspectedBefore, time_point now);

    prompt_part_settings m_settings;
    crash_tracker m_crashes;
    bool m_deciding = false;
    /// Parts of requests under which endpoints crashed, also those that were cleared: what is known of them must not be asked again
    /// until there is another crash.
    std::map<std::uint64_t, part_knowledge> m_knowledge;
    /// The parts that are suspected.
    std::set<std::uint64_t> m_suspects;
    /// Expiry times of certain blocks.
    std::map<part_set, time_point> m_certain;
    std::set<part_set> m_suspected;
};

} // namespace pistachiolatch
