#pragma once
#include "wire/generated/pistachiolatch.pb.h"
#include <set>
#include <string>

namespace pistachiolatch {

/// The software versions of the endpoints that a call may use. Every choice of an endpoint, at the leader and at entries, goes
/// by this. Thread safety: as for a value.
struct version_requirement {
    /// The version that began the stream, which no other may continue; empty if any will do.
    std::string required;
    /// Versions that are left to streams that wait to be continued there; binds only calls that may use any version.
    std::set<std::string> reserved;

    /// Whether the call may use the endpoint. An unknown version meets no requirement.
    bool allows(const wire::endpoint_report& report) const
    {
        return required.empty() ? !reserved.count(report.software_version()) : report.software_version() == required;
    }
};

} // namespace pistachiolatch
