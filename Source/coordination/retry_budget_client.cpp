#include "coordination/retry_budget_client.h"

namespace pistachiolatch {

namespace {
    /// A live leader replies within a few milliseconds.
    constexpr milliseconds leaderReplyTimeout { 60 };
    /// A leader that did not reply is not asked for this long, since every call that failed would wait for it.
    constexpr milliseconds leaderSkipPeriod { 200 };
    /// How long a refusal tells that the budget is spent. Some of it is available again within about a second.
    constexpr milliseconds spentPeriod { 1000 };
}

retry_budget_client::retry_budget_client(peer_network& network, const clock_source& clock, metrics& counters, control_link& link, retry_tolerance tolerance)
    : m_network(network)
    , m_clock(clock)
    , m_metrics(counters)
    , m_link(link)
    , m_share(tolerance, clock.now())
{
    m_link.onEntryCount([this](unsigned entries) { m_share.recordEntryCount(entries, m_clock.now()); });
}

void retry_budget_client::acquire(const std::string& service, retry_need need, handler done)
{
    auto now = m_clock.now();
    if (m_share.tryTakeEarned(service, need, now)) {
        m_metrics.count("retry_earned");
        done(true);
        return;
    }
    if (m_link.leader().empty() || now < m_skipLeaderUntil) {
        takeShare(service, need, done);
        return;
    }
    wire::envelope message;
    message.mutable_retry_request()->set_service(service);
    message.mutable_retry_request()->set_optional(need == retry_need::Optional);
    m_network.call(m_link.leader(), std::move(message), leaderReplyTimeout, [this, service, need, done = std::move(done)](const wire::envelope* reply) {
        if (!reply) {
            m_skipLeaderUntil = m_clock.now() + leaderSkipPeriod;
            m_link.probeLeader();
        }
        if (!reply || !reply->has_retry_reply() || !reply->retry_reply().granted()) {
            takeShare(service, need, done);
            return;
        }
        m_metrics.count("retry_granted");
        done(true);
    });
}

void retry_budget_client::takeShare(const std::string& service, retry_need need, const handler& done)
{
    bool taken = need == retry_need::Required && m_share.tryTakeShare(service, m_clock.now());
    m_metrics.count(taken ? "retry_from_share" : "retry_refused");
    if (!taken && need == retry_need::Required)
        m_spentUntil[service] = m_clock.now() + spentPeriod;
    done(taken);
}

bool retry_budget_client::isSpent(const std::string& service) const
{
    auto found = m_spentUntil.find(service);
    return found != m_spentUntil.end() && m_clock.now() < found->second;
}

} // namespace pistachiolatch
