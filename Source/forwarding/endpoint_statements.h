#pragma once
#include "kernel/kernel.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// What endpoints asked of this VM in their responses: to send them nothing for some time, or no new calls because they leave.
/// Each statement is one of a run of an endpoint, and holds for this VM, whoever placed the call. It holds without any other
/// process, so that no lost message or leader ends it.
/// Pure; not thread-safe.
class endpoint_statements {
public:
    /// Records that an endpoint wants nothing until a time. An earlier wish for longer stays.
    void recordRest(const std::string& endpoint, std::uint64_t incarnation, time_point until);
    /// Records what a response to a request that was sent at `sentAt` tells of whether the endpoint leaves.
    void recordLeaving(const std::string& endpoint, std::uint64_t incarnation, bool leaves, time_point sentAt, time_point now);
    /// Until when the run of an endpoint wants nothing; zero if it asked for no rest.
    time_point restsUntil(const std::string& endpoint, std::uint64_t incarnation) const;
    /// When the run of an endpoint said that it leaves; zero if it did not.
    time_point leavingSince(const std::string& endpoint, std::uint64_t incarnation) const;
    /// The endpoints that want no new calls now.
    std::vector<std::string> unwilling(time_point now) const;
    void forget(const std::string& endpoint) { m_runs.erase(endpoint); }

private:
    struct run_statements {
        std::uint64_t incarnation = 0;
        time_point restsUntil {};
        time_point leavingSince {};
    };
    /// The statements of this run; null if a later run is known.
    run_statements* findOrAdd(const std::string& endpoint, std::uint64_t incarnation);
    const run_statements* find(const std::string& endpoint, std::uint64_t incarnation) const;

    std::map<std::string, run_statements> m_runs;
};

} // namespace pistachiolatch
