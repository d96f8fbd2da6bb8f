#pragma once
#include "endpoints/endpoints.h"
#include "membership/membership.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// An endpoint to check for orphaned requests.
struct orphan_endpoint {
    std::string id;
    std::string address;
};

/// Cancels requests that terminated entries left on endpoints. Without it, an entry killed between prefill and decode
/// would leave engine memory allocated.
/// Thread safety: one traffic thread only.
class orphan_collector {
public:
    /// A copy of the control thread's state for one pass.
    struct collection_input {
        std::vector<orphan_endpoint> endpoints;
        std::vector<wire::live_process> live;
        time_point now {};
    };

    explicit orphan_collector(metrics& counters)
        : m_metrics(counters)
    {
    }

    /// Checks each endpoint once, sequentially. Does nothing while an earlier pass is running.
    task_of<void> collect(collection_input input);

private:
    task_of<void> collectFrom(const orphan_endpoint& endpoint, const collection_input& input);
    /// Whether the entry that sent the request is considered terminated, according to the list of live processes.
    bool isOrphaned(const endpoint_request& request, const collection_input& input);

    metrics& m_metrics;
    /// When each entry was first missing from the list of live processes, by name and incarnation.
    std::map<std::string, time_point> m_missingSince;
    bool m_running = false;
};

} // namespace pistachiolatch
