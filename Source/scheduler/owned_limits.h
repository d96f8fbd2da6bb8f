#pragma once
#include "limits/limits.h"
#include "records/records.h"
#include "wire/wire.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// One limit shard that this scheduler owns: takes the entries' questions and sends the verdicts.
/// Control thread only.
class owned_limits {
public:
    owned_limits(std::string shard, std::uint64_t epoch, control_loop& loop, metrics& counters);

    std::uint64_t epoch() const { return m_epoch; }
    /// Takes over the limits in force for the organisations of this shard.
    void configure(const config_view& config, time_point now);
    void onRequest(const wire::envelope& message, time_point now);
    /// Sends the verdicts that are due.
    void step(time_point now);
    std::size_t size() const { return m_owner.size(); }

private:
    std::string m_shard;
    std::uint64_t m_epoch;
    control_loop& m_loop;
    metrics& m_metrics;
    rate_limiter m_owner;
    std::set<std::string> m_organisations;
    std::map<std::uint64_t, wire::envelope> m_questions;
    std::uint64_t m_lastTicket = 0;
};

} // namespace pistachiolatch
