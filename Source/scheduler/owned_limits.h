#pragma once
#include "limits/limits.h"
#include "records/records.h"
#include "wire/wire.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// A limit shard owned by this scheduler: accepts token requests from entries and replies with grants or refusals.
/// Control thread only.
class owned_limits {
public:
    owned_limits(std::string shard, std::uint64_t epoch, control_loop& loop, metrics& counters);

    std::uint64_t epoch() const { return m_epoch; }
    /// Applies the configured limits of the organisations in this shard.
    void configure(const config_view& config, time_point now);
    void onRequest(const wire::envelope& message, time_point now);
    /// Replies to the requests that have been decided.
    void sendDecisions(time_point now);
    std::size_t size() const { return m_limiter.size(); }

private:
    std::string m_shard;
    std::uint64_t m_epoch;
    control_loop& m_loop;
    metrics& m_metrics;
    rate_limiter m_limiter;
    std::set<std::string> m_organisations;
    std::map<std::uint64_t, wire::envelope> m_pendingRequests;
    std::uint64_t m_lastTicket = 0;
};

} // namespace pistachiolatch
