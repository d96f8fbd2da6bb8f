#pragma once
#include "consensus/memory_log_store.h"
#include <functional>
#include <optional>

namespace pistachiolatch {

/// Callbacks through which a raft_host sends messages, applies entries, restores snapshots and completes reads.
struct raft_callbacks {
    std::function<void(const wire::raft_message&)> send;
    std::function<void(const wire::log_entry&)> apply;
    std::function<void(const wire::raft_snapshot&)> restore;
    std::function<void(std::uint64_t id, bool confirmed)> completeRead;
};

/// Connects a raft_core to its storage and its callbacks; persists state before it sends messages or applies entries.
/// Not thread-safe.
template <log_storage Storage>
class raft_host {
public:
    raft_host(raft_core core, Storage storage, raft_callbacks callbacks)
        : m_core(std::move(core))
        , m_storage(std::move(storage))
        , m_callbacks(std::move(callbacks))
    {
    }

    raft_core& core() { return m_core; }
    const raft_core& core() const { return m_core; }

    Storage& storage() { return m_storage; }

    /// Processes the pending output of the core. A storage error is final: the core already includes state that was not
    /// stored and must not acknowledge it. The replica has to be reopened from its files.
    result<void> processReady()
    {
        // Callbacks can produce further output. Two iterations nearly always suffice; the rest waits for the next tick.
        constexpr int maxIterations = 4;
        for (int i = 0; i < maxIterations; ++i) {
            auto ready = m_core.takeReady();
            // A callback may have called processReady() itself, and that call may have failed.
            if (m_storageError)
                return *m_storageError;
            if (isEmpty(ready))
                return ok();
            BOOST_OUTCOME_TRYV(recordError(m_storage.persist(ready)));
            if (ready.snapshot)
                m_callbacks.restore(*ready.snapshot);
            for (const auto& message : ready.messages)
                m_callbacks.send(message);
            for (const auto& entry : ready.committed)
                m_callbacks.apply(entry);
            for (auto id : ready.confirmedReads)
                m_callbacks.completeRead(id, true);
            for (auto id : ready.failedReads)
                m_callbacks.completeRead(id, false);
        }
        return ok();
    }

    /// Stores the state up to the index as a snapshot and removes the log entries that it covers.
    result<void> compact(std::uint64_t index, std::string state)
    {
        m_core.compact(index, std::move(state));
        std::vector<wire::log_entry> remainingEntries;
        for (auto i = m_core.log().firstIndex(); i <= m_core.log().lastIndex(); ++i)
            remainingEntries.push_back(m_core.log().at(i));
        return recordError(m_storage.compact(m_core.snapshot(), remainingEntries));
    }

private:
    result<void> recordError(result<void> outcome)
    {
        if (!outcome)
            m_storageError = outcome.error();
        return outcome;
    }

    static bool isEmpty(const raft_ready& ready)
    {
        return !ready.hardState && !ready.snapshot && ready.append.empty() && ready.messages.empty() && ready.committed.empty()
            && ready.confirmedReads.empty() && ready.failedReads.empty();
    }

    raft_core m_core;
    Storage m_storage;
    raft_callbacks m_callbacks;
    std::optional<failure> m_storageError;
};

} // namespace pistachiolatch
