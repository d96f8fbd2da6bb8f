#pragma once
#include "consensus/raft_core.h"

namespace pistachiolatch {

/// Storage that persists a replica's state.
template <typename T>
concept log_storage = requires(T store, const raft_write& write, const wire::raft_snapshot& snapshot, const std::vector<wire::log_entry>& remainingEntries)
{
    {
        store.persist(write)
        } -> std::same_as<result<void>>;
    {
        store.compact(snapshot, remainingEntries)
        } -> std::same_as<result<void>>;
};

/// Storage of a replica without a disk. It keeps nothing, so each start needs a new incarnation.
class memory_log_store {
public:
    result<void> persist(const raft_write&) { return ok(); }
    void close() { }
    result<void> compact(const wire::raft_snapshot&, const std::vector<wire::log_entry>&) { return ok(); }
};

} // namespace pistachiolatch
