#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Crashes that count against a request, one for each run of an endpoint.
struct crash_count {
    std::uint32_t suspected = 0;
    std::uint32_t certain = 0;
    std::uint32_t total() const { return suspected + certain; }
};

/// Remembers which requests were running on endpoints that broke off, by fingerprint (organisation, model, body).
/// A suspicion becomes certain when the endpoint restarts or falls silent, and is dropped when the same
/// incarnation announces itself later on: then only the connection broke, and the request is no poison.
/// Not thread-safe.
class crash_tracker {
public:
    static constexpr std::uint32_t crashesToBlock = 2;

    /// Notes that the connection to an endpoint broke while it ran the request. A report sent again counts once.
    void recordCrash(const wire::crash_report& report, time_point now);
    /// Takes marks that control holds from all shards and earlier owners.
    void replaceMarks(const std::vector<wire::poison_mark>& marks);
    /// Tells that an incarnation of an endpoint announced itself. Returns the reports that became certain.
    std::vector<wire::crash_report> onAnnounced(const std::string& endpoint, std::uint64_t incarnation, time_point now);
    /// Tells that an endpoint fell silent. Returns the reports that became certain.
    std::vector<wire::crash_report> onSilent(const std::string& endpoint);
    /// Drops the suspicions that are not certain against an endpoint that shut down in an orderly way.
    void onShutdown(const std::string& endpoint);
    /// Drops suspicions, certain or not, that are older than the lifetime.
    void expire(milliseconds lifetime, time_point now);
    /// Crashes, certain or suspected, that count against a fingerprint.
    std::uint32_t crashCount(std::uint64_t fingerprint) const;
    /// Endpoints with suspicions that are not certain, each with the time of the latest one.
    std::map<std::string, time_point> suspectedEndpoints() const;
    /// Crashes by fingerprint, counted from reports alone; the marks given to replaceMarks() are not included.
    std::map<std::uint64_t, crash_count> countsByFingerprint() const;
    bool empty() const { return m_suspicions.empty(); }

private:
    struct suspicion {
        wire::crash_report report;
        time_point at;
        bool certain = false;
    };
    std::vector<suspicion> m_suspicions;
    std::map<std::uint64_t, std::vector<std::string>> m_marked;
};

} // namespace pistachiolatch
