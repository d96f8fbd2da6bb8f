#pragma once
#include "consensus/raft_core.h"

namespace pistachiolatch {

/// What keeps a replica's state through a restart.
template <typename T>
concept log_storage = requires(T store, const raft_ready& ready, const wire::raft_snapshot& snapshot, const std::vector<wire::log_entry>& rest)
{
    {
        store.persist(ready)
        } -> std::same_as<result<void>>;
    {
        store.compact(snapshot, rest)
        } -> std::same_as<result<void>>;
};

/// The storage of a replica without a disk: nothing lasts, so each start is a new replica identity.
class memory_log_store {
public:
    result<void> persist(const raft_ready&) { return ok(); }
    void close() { }
    result<void> compact(const wire::raft_snapshot&, const std::vector<wire::log_entry>&) { return ok(); }
};

} // namespace pistachiolatch
