#pragma once
#include "kernel/kernel.h"
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace pistachiolatch {

/// Runs the writes of a replica in their order on a thread of its own, so that a slow disk doesn't hold up its caller.
/// After a write has failed, the later ones are dropped. Thread safety: all calls on one thread.
class write_queue {
public:
    using write = std::function<result<void>()>;

    /// completed: called on the queue's thread after each write.
    explicit write_queue(std::function<void()> completed);
    /// Waits for a write that is under way and drops the others.
    ~write_queue();
    write_queue(const write_queue&) = delete;
    write_queue& operator=(const write_queue&) = delete;

    void push(write work);
    /// The outcomes of the writes that completed since the last call, in the order of the writes.
    std::vector<result<void>> takeCompleted();

private:
    void run();

    std::function<void()> m_completed;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<write> m_writes;
    std::vector<result<void>> m_outcomes;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace pistachiolatch
