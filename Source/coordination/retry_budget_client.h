#pragma once
#include "coordination/control_link.h"
#include "limits/limits.h"
#include <functional>

namespace pistachiolatch {

/// Asks for the retries of an entry's calls: what the entry has earned itself, else a grant of the leader, else the entry's
/// share, so that all entries together keep to the retry budget of the fleet.
/// Thread safety: all calls on the thread that runs the context.
class retry_budget_client {
public:
    using handler = std::function<void(bool granted)>;

    /// Precondition: the references outlive the client, and the process has sent no request to an endpoint yet.
    retry_budget_client(peer_network& network, const clock_source& clock, metrics& counters, control_link& link, retry_tolerance tolerance);

    /// Records the first attempt of a call.
    void recordFirstAttempt(const std::string& service) { m_share.recordFirstAttempt(service, m_clock.now()); }
    /// Asks for a retry, which is to be made within retry_tolerance::grantLifetime.
    void acquire(const std::string& service, retry_need need, handler done);
    /// Whether a required retry was refused a short time ago. Calls then avoid what may fail.
    bool isSpent(const std::string& service) const;

private:
    void takeShare(const std::string& service, retry_need need, const handler& done);

    peer_network& m_network;
    const clock_source& m_clock;
    metrics& m_metrics;
    control_link& m_link;
    entry_retry_share m_share;
    /// The leader is not asked until then, since it did not reply.
    time_point m_skipLeaderUntil {};
    /// Until when a refusal tells that the budget is spent.
    std::map<std::string, time_point> m_spentUntil;
};

} // namespace pistachiolatch
