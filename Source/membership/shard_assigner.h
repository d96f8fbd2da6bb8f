#pragma once
#include "membership/session_table.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Chooses owners for shards that have none or whose owner's lease has surely run out.
/// A shard whose owner may still act is never moved: two owners at once would both spend one bucket and both
/// fill one endpoint. Deterministic, not thread-safe.
/// Returns the new owners; their epochs are set when the assignment is applied.
std::vector<wire::shard_owner> assignShards(const std::vector<std::string>& wanted, const std::map<std::string, wire::shard_owner>& current,
    const session_table& sessions, time_point now);

} // namespace pistachiolatch
