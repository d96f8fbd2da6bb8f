#pragma once
#include "consensus/memory_log_store.h"
#include "consensus/write_queue.h"
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace pistachiolatch {

/// Callbacks through which a raft_host sends messages, applies entries, restores snapshots and completes reads.
struct raft_callbacks {
    std::function<void(const wire::raft_message&)> send;
    std::function<void(const wire::log_entry&)> apply;
    std::function<void(const wire::raft_snapshot&)> restore;
    std::function<void(std::uint64_t id, bool confirmed)> completeRead;
    /// Called on another thread after a write: processReady() is to be called on the host's thread.
    /// It may still be called while the host is destroyed.
    std::function<void()> writeCompleted;
    /// A write took this long, with the writes before it that it waited for.
    std::function<void(duration)> slowWrite;
};

/// Connects a raft_core to its storage and its callbacks. It writes on a thread of its own, and sends what a write promises
/// only when it is complete. Not thread-safe, except for that thread.
template <log_storage Storage>
class raft_host {
public:
    /// Precondition: the clock outlives the host.
    raft_host(raft_core core, Storage storage, const clock_source& clock, raft_callbacks callbacks)
        : m_core(std::move(core))
        , m_storage(std::move(storage))
        , m_clock(clock)
        , m_callbacks(std::move(callbacks))
        , m_writes(m_callbacks.writeCompleted)
    {
    }

    raft_core& core() { return m_core; }
    const raft_core& core() const { return m_core; }
    /// Precondition: processReady() failed, so that no write uses the storage.
    Storage& storage() { return m_storage; }

    /// Processes completed writes and the pending output of the core. A storage error is final: the core already includes
    /// state that was not stored and must not acknowledge it. The replica has to be reopened from its files, after this
    /// host was destroyed.
    result<void> processReady()
    {
        processCompleted();
        // Callbacks can produce further output. Two iterations nearly always suffice; the rest waits for the next tick.
        constexpr int maxIterations = 4;
        for (int i = 0; i < maxIterations; ++i) {
            // A callback may have called processReady() itself, and that call may have failed.
            if (m_storageError)
                return *m_storageError;
            // What arrives during a write is synced together after it.
            auto ready = m_core.takeReady(m_pending.empty());
            if (isEmpty(ready))
                return ok();
            process(std::move(ready));
        }
        return ok();
    }

    /// Stores the state up to the index as a snapshot and removes the log entries that it covers. Errors: in processReady().
    void compact(std::uint64_t index, std::string state)
    {
        // An entry that is stored with the whole log and again by a later write could be lost with the entries after it, if the
        // power fails during that write.
        process(m_core.takeReady());
        if (!m_core.compact(index, std::move(state)))
            return;
        auto remaining = std::make_shared<std::vector<wire::log_entry>>();
        for (auto i = m_core.log().firstIndex(); i <= m_core.log().lastIndex(); ++i)
            remaining->push_back(m_core.log().at(i));
        log_position end { m_core.log().lastIndex(), m_core.log().termAt(m_core.log().lastIndex()) };
        auto snapshot = std::make_shared<wire::raft_snapshot>(m_core.snapshot());
        push({ {}, end, {}, {} }, [this, snapshot, remaining] { return m_storage.compact(*snapshot, *remaining); });
    }

    /// Whether a write has not completed yet.
    bool isWriting() const { return !m_pending.empty(); }
    /// Whether a write has completed.
    bool hasStored() const { return m_hasStored; }

private:
    /// Writes from this length on are reported. Networks and disks take a few milliseconds.
    static constexpr milliseconds slowWriteTime { 200 };

    /// A write that was passed to the queue.
    struct pending_write {
        std::optional<wire::hard_state> hardState;
        log_position end;
        time_point startedAt {};
        std::vector<wire::raft_message> messages;
    };

    void process(raft_ready ready)
    {
        if (!ready.write.isEmpty()) {
            auto write = std::make_shared<raft_write>(std::move(ready.write));
            push({ write->hardState, write->end(), {}, {} }, [this, write] { return m_storage.persist(*write); });
            if (write->snapshot)
                m_callbacks.restore(*write->snapshot);
        }
        for (const auto& message : ready.messages)
            m_callbacks.send(message);
        if (!m_pending.empty())
            std::move(ready.messagesAfterWrite.begin(), ready.messagesAfterWrite.end(), std::back_inserter(m_pending.back().messages));
        else
            sendAll(ready.messagesAfterWrite);
        for (const auto& entry : ready.committed)
            m_callbacks.apply(entry);
        for (auto id : ready.confirmedReads)
            m_callbacks.completeRead(id, true);
        for (auto id : ready.failedReads)
            m_callbacks.completeRead(id, false);
    }

    void push(pending_write pending, write_queue::write work)
    {
        pending.startedAt = m_clock.now();
        m_pending.push_back(std::move(pending));
        m_writes.push(std::move(work));
    }

    void processCompleted()
    {
        for (auto& outcome : m_writes.takeCompleted()) {
            if (!outcome) {
                m_storageError = outcome.error();
                return;
            }
            auto done = std::move(m_pending.front());
            m_pending.pop_front();
            m_hasStored = true;
            auto now = m_clock.now();
            if (now - done.startedAt >= slowWriteTime)
                m_callbacks.slowWrite(now - done.startedAt);
            m_core.recordStored(done.hardState, done.end, now);
            sendAll(done.messages);
        }
    }

    void sendAll(const std::vector<wire::raft_message>& messages)
    {
        for (const auto& message : messages)
            m_callbacks.send(message);
    }

    static bool isEmpty(const raft_ready& ready)
    {
        return ready.write.isEmpty() && ready.messagesAfterWrite.empty() && ready.messages.empty() && ready.committed.empty()
            && ready.confirmedReads.empty() && ready.failedReads.empty();
    }

    raft_core m_core;
    Storage m_storage;
    const clock_source& m_clock;
    raft_callbacks m_callbacks;
    std::deque<pending_write> m_pending;
    bool m_hasStored = false;
    std::optional<failure> m_storageError;
    /// Declared last: its thread uses the storage.
    write_queue m_writes;
};

} // namespace pistachiolatch
