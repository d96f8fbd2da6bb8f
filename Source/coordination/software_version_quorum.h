#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Holds endpoints of a software version back until a majority of the control processes has heard of the version: streams must not
/// begin at a version that a majority doesn't know, since their origin may be inferred from the answers of any majority.
/// Pure; not thread-safe.
class software_version_quorum {
public:
    /// Whether endpoints of the report's version may be used.
    bool isKnown(const wire::endpoint_report& report) const;
    /// Keeps the last report of an endpoint until its version may be used. Precondition: that is not the case yet.
    void hold(const wire::endpoint_report& report);
    /// Handles that an endpoint leaves or is gone.
    void drop(const std::string& endpoint) { m_held.erase(endpoint); }
    /// Records that another control process, named by its address, has heard of a report's version.
    void recordKnownAt(const std::string& process, const wire::endpoint_report& report);
    /// Returns the reports of endpoints that were held and may be used from now on. Their versions are known at `needed` of the other
    /// voters at least, which are a majority together with this process if it votes.
    std::vector<wire::endpoint_report> release(const std::vector<std::string>& otherVoters, std::size_t needed);
    /// A report of each version that is held.
    std::vector<wire::endpoint_report> heldVersions() const;
    /// Whether a report's version should be told to the others now, to learn that they have heard of it.
    bool shouldAsk(const wire::endpoint_report& report, time_point now);

private:
    struct heard_version {
        std::set<std::string> processes;
        /// Whether a majority has heard of it.
        bool known = false;
        time_point askedAt {};
    };
    using version_key = std::pair<std::string, std::string>;
    static version_key keyOf(const wire::endpoint_report& report) { return { report.service(), report.software_version() }; }
    heard_version& find(const wire::endpoint_report& report);

    std::map<version_key, heard_version> m_versions;
    /// By endpoint.
    std::map<std::string, wire::endpoint_report> m_held;
};

} // namespace pistachiolatch
