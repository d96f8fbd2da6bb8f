#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pistachiolatch {

/// Crashes attributed to a request; each run of an endpoint counts at most once, as does each moment if the request is known to
/// succeed.
struct crash_count {
    std::uint32_t suspected = 0;
    std::uint32_t certain = 0;
    /// How many block the request.
    std::uint32_t toBlock = 0;
    std::uint32_t total() const { return suspected + certain; }
    bool blocks() const { return total() >= toBlock; }
    bool blocksCertainly() const { return certain >= toBlock; }
};

/// A crash that counts against its request.
struct counted_crash {
    wire::crash_report report;
    time_point at;
    bool certain = false;
};

/// Tracks, by fingerprint (organisation, model, body), the requests that were running when the connection to their
/// endpoint broke. A suspected crash becomes certain when the endpoint restarts or falls silent. It is cleared when the
/// same incarnation announces itself later: then only the connection broke, and the request did not crash the endpoint.
/// Announcements may be delayed for seconds, so a cleared crash still becomes certain if the incarnation ends before it
/// has kept announcing itself for confirmationPeriod.
/// A request that crashes endpoints never succeeds, so a success of an attempt that began after a crash takes the crash back.
/// Not thread-safe.
class crash_tracker {
public:
    static constexpr std::uint32_t crashesToBlock = 2;
    /// The same for a request that succeeded before. When some endpoints fail by another cause within a fraction of a second, a call that
    /// is sent again meets two of them.
    static constexpr std::uint32_t crashesToBlockAfterSuccess = 3;
    /// Crashes at different moments under calls with a part in their prompts from which on the part is suspected. Each request
    /// has several parts, so that two crashes would accuse sound ones more often.
    static constexpr std::uint32_t crashesToSuspectPart = 3;
    /// Endpoints that crash this close together count as one moment: they may have one cause outside.
    static constexpr milliseconds momentLength { 100 };
    /// How long an endpoint must keep announcing itself to prove that it did not crash. Delayed announcements arrive
    /// together; a live endpoint sends one about every second.
    static constexpr milliseconds confirmationPeriod { 3000 };

    /// Records that the connection to an endpoint broke while it ran the request. Returns false if the report is a repeated
    /// one, which changes nothing.
    bool recordCrash(const wire::crash_report& report, time_point at);
    /// Replaces the marks that control collected from all shards and earlier owners.
    void replaceMarks(const std::vector<wire::poison_mark>& marks);
    /// Handles an announcement of an endpoint's incarnation. Returns the reports that became certain.
    std::vector<wire::crash_report> onAnnounced(const std::string& endpoint, std::uint64_t incarnation, time_point now);
    /// Handles an endpoint that fell silent. Returns the reports that became certain.
    std::vector<wire::crash_report> onSilent(const std::string& endpoint);
    /// Clears the suspected crashes of an endpoint that shut down in an orderly way; certain ones stay.
    void onShutdown(const std::string& endpoint);
    /// Records that an endpoint answered an attempt at the request with success. Crashes up to the begin of the attempt don't
    /// count any more, later ones at the same moment count once, and more are needed for a block. Returns whether this changes anything
    /// for crashes that are recorded.
    bool recordSuccess(std::uint64_t fingerprint, time_point begunAt);
    /// Drops crashes, suspected and certain, that are older than the lifetime, and older successes of requests without crashes.
    void expire(milliseconds lifetime, time_point now);
    /// Number of suspected and certain crashes of a fingerprint, including the marks from control.
    std::uint32_t crashCount(std::uint64_t fingerprint) const;
    /// Endpoints whose crashes are suspected, or cleared but not disproved, each with the time of the latest one.
    std::map<std::string, time_point> suspectedEndpoints() const;
    /// Crashes of one fingerprint, counted like countsByFingerprint().
    crash_count countOf(std::uint64_t fingerprint) const;
    /// Crashes by fingerprint, counted from reports alone; marks from control are not included.
    std::map<std::uint64_t, crash_count> countsByFingerprint() const;
    /// All crashes that count, in the order of their reports.
    std::vector<counted_crash> countedCrashes() const;
    bool empty() const { return m_crashes.empty(); }
    /// Incremented with each change of the crashes or their states.
    std::uint64_t version() const { return m_version; }

private:
    enum class crash_state {
        Suspected,
        /// The same incarnation has announced itself since, possibly late.
        Cleared,
        /// The incarnation went on or shut down. Kept until it expires, so that a repeated report does not count again.
        Disproved,
        Certain,
    };
    struct crash {
        wire::crash_report report;
        /// Identifies the attempt that was running.
        std::string attempt;
        time_point at;
        crash_state state = crash_state::Suspected;
        time_point clearedAt {};

        bool counts() const { return state == crash_state::Suspected || state == crash_state::Certain; }
        bool isOpen() const { return state == crash_state::Suspected || state == crash_state::Cleared; }
    };
    struct crashed_run {
        time_point at;
        bool certain = false;
    };
    /// Runs of endpoints that crashed under a request, by endpoint and incarnation.
    using crashed_runs = std::map<std::pair<std::string, std::uint64_t>, crashed_run>;
    /// Adds the run of a crash that counts. Several connections to it that broke are one crash.
    static void addTo(crashed_runs& runs, const crash& entry);
    crash_count countRuns(std::uint64_t fingerprint, const crashed_runs& runs) const;
    /// Makes the open crashes of an endpoint certain, except those of the incarnation that is given, if any.
    std::vector<wire::crash_report> confirm(const std::string& endpoint, std::optional<std::uint64_t> exceptIncarnation);
    std::vector<crash> m_crashes;
    /// When the latest attempt began that succeeded, by fingerprint.
    std::map<std::uint64_t, time_point> m_successes;
    std::uint64_t m_version = 0;
    std::map<std::uint64_t, std::vector<std::string>> m_markedAttempts;
};

} // namespace pistachiolatch
