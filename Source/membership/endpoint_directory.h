#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

struct directory_settings {
    /// Silence after which an endpoint counts as silent. Endpoints announce themselves at a fixed interval; three
    /// misses and some delay on the way are more than a lossy link explains.
    milliseconds silentAfter { 4000 };
    /// How long an endpoint that left is remembered, so that announcements delayed on the way don't bring it back.
    milliseconds goneRetention { 60000 };
    /// How long an endpoint whose farewell named no run must go on reporting before it counts as started again. Reports
    /// that were held up by a cut come together when it heals; a live endpoint reports every second or so.
    milliseconds restartConfirmation { 3000 };
    /// Silence after which an endpoint counts as gone. A VM that is cut off or suspended comes back within seconds.
    milliseconds goneAfter { 30000 };
};

/// Some of the endpoints that changed.
struct directory_page {
    std::vector<wire::endpoint_row> rows;
    /// All changes up to this number are in this page or came before it.
    std::uint64_t version = 0;
    bool more = false;
};

/// What is known of the endpoints from their own reports, which may come late, twice, out of order, or from an
/// earlier run at an address that another endpoint has by now. Each change gets a number, so that a reader asks for
/// what it hasn't seen.
/// Not thread-safe.
class endpoint_directory {
public:
    /// The source tells one directory's numbers from another's.
    endpoint_directory(std::uint64_t source, directory_settings settings);

    /// Takes in a report. Returns whether what is known of any endpoint changed.
    bool applyReport(const wire::endpoint_report& report, time_point now);
    /// Counts an endpoint as silent until its next report, because it could not be reached. A crashed endpoint sends no
    /// word of it; without this every entry had to find out by a call of its own. Returns whether that is news.
    bool markUnreachable(const std::string& id, std::uint64_t born);
    /// Marks endpoints that fell silent. Returns whether any did.
    bool expire(time_point now);
    std::uint64_t source() const { return m_source; }
    std::uint64_t version() const { return m_version; }
    /// The endpoints that changed after the version; those that are gone are among them, marked so.
    std::vector<wire::endpoint_row> changesSince(std::uint64_t version) const;
    /// The first so many of them, in the order in which they changed.
    directory_page pageSince(std::uint64_t version, std::size_t mostRows) const;
    std::size_t size() const { return m_endpoints.size(); }
    /// The row of an endpoint, or null if it is unknown.
    const wire::endpoint_row* find(const std::string& id) const;

private:
    struct known_endpoint {
        wire::endpoint_row row;
        time_point heardAt;
        std::uint64_t changedAt = 0;
        /// Whether its farewell named no run.
        bool endedUnnamed = false;
        /// The run that reported after such a farewell, and since when.
        std::uint64_t reportingRun = 0;
        time_point reportingSince {};
    };
    /// Whether a report that follows a farewell without a run may come from before it.
    bool mayPrecedeFarewell(known_endpoint& one, const wire::endpoint_report& report, time_point now) const;
    bool isOlder(const wire::endpoint_report& report, const wire::endpoint_report& known) const;
    bool addressTaken(const wire::endpoint_report& report);
    void markChanged(known_endpoint& one) { one.changedAt = ++m_version; }

    std::uint64_t m_source;
    directory_settings m_settings;
    std::uint64_t m_version = 0;
    std::map<std::string, known_endpoint> m_endpoints;
};

} // namespace pistachiolatch
