#pragma once
#include "endpoints/endpoints.h"
#include "membership/membership.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// An endpoint to look after.
struct orphan_endpoint {
    std::string id;
    std::string address;
};

/// Frees what entries that are gone left on endpoints: asks each endpoint what it holds, and cancels the tags of
/// entries that live no more. Without it an entry killed between prefill and decode would keep engine memory taken.
/// Traffic thread only, but for the static task.
class orphan_collector {
public:
    /// What the control thread hands over for one sweep.
    struct sweep {
        std::vector<orphan_endpoint> endpoints;
        std::vector<wire::live_process> live;
        time_point now {};
    };

    explicit orphan_collector(metrics& counters)
        : m_metrics(counters)
    {
    }

    /// Sweeps each endpoint once, one after the other.
    task_of<void> run(sweep given);

private:
    task_of<void> runOne(const orphan_endpoint& endpoint, const sweep& given);
    /// Whether a tag's entry is gone for good, as far as the live list tells.
    bool orphaned(const held_item& item, const sweep& given);

    metrics& m_metrics;
    /// When the entry of a tag was first missing from the live list.
    std::map<std::string, time_point> m_missingSince;
    bool m_running = false;
};

} // namespace pistachiolatch
