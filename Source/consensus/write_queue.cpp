#include "consensus/write_queue.h"

namespace pistachiolatch {

write_queue::write_queue(std::function<void()> completed)
    : m_completed(std::move(completed))
    , m_thread([this] { run(); })
{
}

write_queue::~write_queue()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void write_queue::push(write work)
{
    {
        std::lock_guard lock(m_mutex);
        m_writes.push_back(std::move(work));
    }
    m_changed.notify_one();
}

std::vector<result<void>> write_queue::takeCompleted()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_outcomes, {});
}

void write_queue::run()
{
    std::unique_lock lock(m_mutex);
    bool failed = false;
    while (!failed) {
        m_changed.wait(lock, [this] { return m_stopping || !m_writes.empty(); });
        if (m_stopping)
            return;
        auto work = std::move(m_writes.front());
        m_writes.pop_front();
        lock.unlock();
        auto outcome = work();
        failed = !outcome;
        lock.lock();
        m_outcomes.push_back(std::move(outcome));
        lock.unlock();
        m_completed();
        lock.lock();
    }
}

} // namespace pistachiolatch
