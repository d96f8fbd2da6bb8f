#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pistachiolatch {

struct directory_settings {
    /// Time without a report after which an endpoint is marked silent. Endpoints report at a fixed interval; three
    /// missed reports plus some network delay are more than packet loss explains.
    milliseconds silentAfter { 4000 };
    /// How long an endpoint that is gone is kept, so that delayed reports don't add it again.
    milliseconds goneRetention { 60000 };
    /// How long an endpoint must keep reporting to count as restarted if its GONE report named no incarnation. Reports
    /// delayed by a network partition arrive together when it heals; a live endpoint reports about every second.
    milliseconds restartConfirmation { 3000 };
    /// Time without a report after which an endpoint is gone. A VM that is partitioned or suspended returns in seconds.
    milliseconds goneAfter { 30000 };
    /// How long the reports of a run must go on, while none of the run that counts as later arrives, to replace that one. Longer than
    /// reports are late, and than it takes until the other run is silent.
    milliseconds reassertionPeriod { 8000 };
};

/// The limit in calls per second that a row or a statement of an endpoint contains, if any. Thread safety: any thread.
template <typename Message>
std::optional<double> limitIn(const Message& message)
{
    return message.limited() ? std::optional(message.calls_per_second()) : std::nullopt;
}

/// Whether two limits differ by no more than the noise in what an endpoint measures of itself. Thread safety: any thread.
bool isSameLimit(std::optional<double> left, std::optional<double> right);

/// A page of changed endpoints.
struct directory_page {
    std::vector<wire::endpoint_row> rows;
    /// All changes up to this version are in this page or earlier ones.
    std::uint64_t version = 0;
    bool more = false;
};

/// The state of the endpoints according to their own reports. Reports may be late, duplicated, out of order, or from an
/// earlier incarnation whose address another endpoint uses now. An incarnation is identified by its `born_ms`. Each
/// change gets a version, so that readers can request only the changes they haven't seen. A single report, which may come
/// from another writer, can't keep out an endpoint for good: a run that goes on reporting replaces one that does not, even
/// if that one claimed to be later.
/// Not thread-safe.
class endpoint_directory {
public:
    /// `source` distinguishes the versions of this directory from those of others.
    endpoint_directory(std::uint64_t source, directory_settings settings);
    endpoint_directory(const endpoint_directory&) = delete;
    endpoint_directory& operator=(const endpoint_directory&) = delete;

    /// Applies a report. Returns whether any endpoint changed. GONE reports of a run end it, and no later report of it counts.
    bool applyReport(const wire::endpoint_report& report, time_point now);
    /// Marks an endpoint that could not be reached as silent until its next report. A crashed endpoint doesn't report
    /// its crash; without this, every entry would detect it by a failed call of its own. Returns whether it changed.
    bool markUnreachable(const std::string& id, std::uint64_t bornMs);
    /// Applies what a response of an endpoint stated about its limit, unless a later statement or a later run is known. A
    /// statement of a run that has not reported here yet waits for its first report. Returns whether the limit changed.
    bool applyLimit(const wire::endpoint_limit& limit, time_point now);
    /// Marks endpoints as silent or gone and removes old ones. Returns whether any was marked.
    bool expire(time_point now);
    std::uint64_t source() const { return m_source; }
    std::uint64_t version() const { return m_version; }
    /// The endpoints that changed after the version, including those that are gone.
    std::vector<wire::endpoint_row> changesSince(std::uint64_t version) const;
    /// At most `maxRows` of these endpoints, in the order in which they changed.
    directory_page pageSince(std::uint64_t version, std::size_t maxRows) const;
    std::size_t size() const { return m_endpoints.size(); }
    /// How many times a run replaced one that claimed to be later.
    std::uint64_t reassertions() const { return m_reassertions; }
    /// How long ago the endpoint first reported that it leaves; zero if it is unknown or doesn't leave.
    milliseconds leavingFor(const std::string& id, time_point now) const;
    /// Whether any endpoint that isn't gone reports from the data centre.
    bool hasDataCentre(const std::string& dataCentre) const;
    /// The row of an endpoint, or null if it is unknown.
    const wire::endpoint_row* find(const std::string& id) const;

private:
    /// A run whose reports are ignored because the known report counts as later.
    struct ignored_run {
        std::string id;
        std::uint64_t bornMs = 0;
        std::uint64_t sequence = 0;
        time_point since {};
        time_point lastReportAt {};
    };
    struct known_endpoint {
        wire::endpoint_row row;
        time_point lastReportAt;
        std::uint64_t changedVersion = 0;
        /// The address under which m_byAddress lists the endpoint; empty if it does not.
        std::string indexedAddress;
        /// Whether its GONE state is what was reported of it, rather than concluded.
        bool goneByReport = false;
        /// The run that this one keeps out, if any.
        ignored_run ignored;
        /// Whether its GONE report named no incarnation.
        bool goneWithoutIncarnation = false;
        /// The incarnation that reported after such a GONE report, and since when.
        std::uint64_t reportingIncarnation = 0;
        time_point reportingSince {};
        /// When it first reported that it leaves; zero while it serves.
        time_point leavingSince {};
        /// When the newest statement about its limit was made.
        time_point limitStatedAt {};
    };
    static bool setLimit(known_endpoint& endpoint, const wire::endpoint_limit& limit, time_point statedAt);
    /// Applies the statement that came before the first report of the endpoint's run, if any.
    void applyEarlyLimit(known_endpoint& endpoint);
    /// Whether a report may predate the GONE report without incarnation that was applied before it.
    bool mayPredateGone(known_endpoint& endpoint, const wire::endpoint_report& report, time_point now) const;
    /// Whether a report says that the endpoint stays cold for longer than its report before did.
    static bool isColdAgain(const known_endpoint& known, const wire::endpoint_report& report, time_point now);
    bool isOlder(const wire::endpoint_report& report, const wire::endpoint_report& known) const;
    /// Whether an endpoint is replaced by a run that counts as earlier, since that one went on reporting and the endpoint did not.
    /// Precondition: called with each ignored report.
    bool isReplacedBy(known_endpoint& endpoint, const wire::endpoint_report& report, time_point now) const;
    /// Whether the known report keeps out a report with the same id.
    bool isKeptOutById(known_endpoint& endpoint, const wire::endpoint_report& report, time_point now) const;
    /// Whether another endpoint with the same address keeps out a report: one that started later.
    bool isKeptOutByAddress(const wire::endpoint_report& report, time_point now);
    /// Marks the other endpoints with the address of a report as gone.
    void takeAddress(const wire::endpoint_report& report);
    void markChanged(known_endpoint& endpoint);
    void updateAddressIndex(known_endpoint& endpoint, const std::string& address);
    void removeFromIndexes(known_endpoint& endpoint);

    std::uint64_t m_source;
    directory_settings m_settings;
    std::uint64_t m_version = 0;
    std::uint64_t m_reassertions = 0;
    std::map<std::string, known_endpoint> m_endpoints;
    /// Statements about limits of runs that have not reported yet, each with the time at which it was made.
    std::map<std::string, std::pair<wire::endpoint_limit, time_point>> m_earlyLimits;
    /// Each report and each entry's request looks for a few endpoints among thousands, so both go by an index.
    std::map<std::uint64_t, known_endpoint*> m_byChangedVersion;
    std::unordered_multimap<std::string, known_endpoint*> m_byAddress;
};

} // namespace pistachiolatch
