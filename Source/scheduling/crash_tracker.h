#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Crashes attributed to a request; each run of an endpoint counts at most once.
struct crash_count {
    std::uint32_t suspected = 0;
    std::uint32_t certain = 0;
    std::uint32_t total() const { return suspected + certain; }
};

/// Tracks, by fingerprint (organisation, model, body), the requests that were running when the connection to their
/// endpoint broke. A suspected crash becomes certain when the endpoint restarts or falls silent. It is dropped when the
/// same incarnation announces itself later: then only the connection broke, and the request did not crash the endpoint.
/// Not thread-safe.
class crash_tracker {
public:
    static constexpr std::uint32_t crashesToBlock = 2;

    /// Records that the connection to an endpoint broke while it ran the request. Idempotent for repeated reports.
    void recordCrash(const wire::crash_report& report, time_point now);
    /// Replaces the marks that control collected from all shards and earlier owners.
    void replaceMarks(const std::vector<wire::poison_mark>& marks);
    /// Handles an announcement of an endpoint's incarnation. Returns the reports that became certain.
    std::vector<wire::crash_report> onAnnounced(const std::string& endpoint, std::uint64_t incarnation, time_point now);
    /// Handles an endpoint that fell silent. Returns the reports that became certain.
    std::vector<wire::crash_report> onSilent(const std::string& endpoint);
    /// Drops the suspected crashes of an endpoint that shut down in an orderly way; certain ones stay.
    void onShutdown(const std::string& endpoint);
    /// Drops crashes, suspected and certain, that are older than the lifetime.
    void expire(milliseconds lifetime, time_point now);
    /// Number of suspected and certain crashes of a fingerprint, including the marks from control.
    std::uint32_t crashCount(std::uint64_t fingerprint) const;
    /// Endpoints with suspected crashes, each with the time of the latest one.
    std::map<std::string, time_point> suspectedEndpoints() const;
    /// Crashes by fingerprint, counted from reports alone; marks from control are not included.
    std::map<std::uint64_t, crash_count> countsByFingerprint() const;
    bool empty() const { return m_crashes.empty(); }

private:
    struct crash {
        wire::crash_report report;
        time_point at;
        bool certain = false;
    };
    std::vector<crash> m_crashes;
    std::map<std::uint64_t, std::vector<std::string>> m_markedAttempts;
};

} // namespace pistachiolatch
