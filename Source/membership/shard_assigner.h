#pragma once
#include "membership/session_table.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Assigns owners to shards that have none or whose owner's lease has expired, preferring schedulers with few shards.
/// A shard is never moved while its owner may still act: two owners at once would spend the same token bucket twice and
/// overcommit the same endpoints. Deterministic, not thread-safe.
/// Returns the new owners; their epochs are set when the assignment is applied.
std::vector<wire::shard_owner> assignShards(const std::vector<std::string>& shards, const std::map<std::string, wire::shard_owner>& current,
    const session_table& sessions, time_point now);

} // namespace pistachiolatch
