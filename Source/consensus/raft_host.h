#pragma once
#include "consensus/memory_log_store.h"
#include <functional>
#include <optional>

namespace pistachiolatch {

/// What a host does with the effects of its core.
struct raft_callbacks {
    std::function<void(const wire::raft_message&)> send;
    std::function<void(const wire::log_entry&)> apply;
    std::function<void(const wire::raft_snapshot&)> restore;
    std::function<void(std::uint64_t id, bool done)> completeRead;
};

/// Joins a raft_core with its storage: persists before it sends or applies.
/// Not thread-safe.
template <log_storage Storage>
class raft_host {
public:
    raft_host(raft_core core, Storage storage, raft_callbacks effects)
        : m_core(std::move(core))
        , m_storage(std::move(storage))
        , m_effects(std::move(effects))
    {
    }

    raft_core& core() { return m_core; }
    const raft_core& core() const { return m_core; }

    Storage& storage() { return m_storage; }

    /// Carries out what the core asks for. An error of the storage is final: the core believes in what was not stored, and
    /// must not acknowledge it. The replica has to be read from its files again.
    result<void> processReady()
    {
        // Applying may make the core ask for more; two rounds settle nearly always, the rest waits for the next tick.
        constexpr int mostRounds = 4;
        for (int round = 0; round < mostRounds; ++round) {
            auto ready = m_core.takeReady();
            // Effects may have led to a round within this one.
            if (m_failed)
                return *m_failed;
            if (isEmpty(ready))
                return ok();
            BOOST_OUTCOME_TRYV(keepFailure(m_storage.persist(ready)));
            if (ready.snapshot)
                m_effects.restore(*ready.snapshot);
            for (const auto& message : ready.messages)
                m_effects.send(message);
            for (const auto& entry : ready.committed)
                m_effects.apply(entry);
            for (auto id : ready.readsDone)
                m_effects.completeRead(id, true);
            for (auto id : ready.readsFailed)
                m_effects.completeRead(id, false);
        }
        return ok();
    }

    /// Puts the state up to the commit index into a snapshot and drops the log before it.
    result<void> compact(std::uint64_t index, std::string state)
    {
        m_core.compact(index, std::move(state));
        std::vector<wire::log_entry> rest;
        for (auto i = m_core.log().firstIndex(); i <= m_core.log().lastIndex(); ++i)
            rest.push_back(m_core.log().at(i));
        return keepFailure(m_storage.compact(m_core.snapshot(), rest));
    }

private:
    result<void> keepFailure(result<void> stored)
    {
        if (!stored)
            m_failed = stored.error();
        return stored;
    }

    static bool isEmpty(const raft_ready& ready)
    {
        return !ready.hardState && !ready.snapshot && ready.append.empty() && ready.messages.empty() && ready.committed.empty()
            && ready.readsDone.empty() && ready.readsFailed.empty();
    }

    raft_core m_core;
    Storage m_storage;
    raft_callbacks m_effects;
    std::optional<failure> m_failed;
};

} // namespace pistachiolatch
