#include "wire/control_loop.h"

#include <algorithm>
#include <sys/eventfd.h>
#include <unistd.h>

namespace pistachiolatch {

namespace {
    constexpr milliseconds tickInterval { 10 };
}

control_loop::control_loop(transport& wire, const clock_source& clock)
    : m_wire(wire)
    , m_clock(clock)
    , m_wakeDescriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

control_loop::~control_loop()
{
    stop();
    ::close(m_wakeDescriptor);
}

void control_loop::start()
{
    m_thread = std::thread([this] { run(); });
}

void control_loop::stop()
{
    if (!m_thread.joinable())
        return;
    post([this] { m_stopping = true; });
    m_thread.join();
}

void control_loop::post(task work)
{
    {
        std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(work));
    }
    std::uint64_t one = 1;
    // A full counter still wakes the loop, so a failed write needs no answer.
    [[maybe_unused]] auto written = ::write(m_wakeDescriptor, &one, sizeof one);
}

void control_loop::call(const std::string& address, wire::envelope& message, milliseconds timeout, reply_handler handler)
{
    message.set_call(++m_lastCall);
    m_calls[m_lastCall] = { now() + timeout, std::move(handler) };
    m_wire.send(address, message);
}

void control_loop::run()
{
    while (!m_stopping) {
        m_wire.dropIdlePeers(now());
        auto patience = std::clamp(std::chrono::ceil<milliseconds>(m_nextTick - now()), milliseconds(0), tickInterval);
        m_wire.poll(patience, m_wakeDescriptor, [this](const wire::envelope& message) { receive(message); });
        runTasks();
        expireCalls();
        m_nextTick = now() + tickInterval;
        if (m_tick)
            m_tick();
    }
}

void control_loop::runTasks()
{
    std::uint64_t drained = 0;
    [[maybe_unused]] auto got = ::read(m_wakeDescriptor, &drained, sizeof drained);
    std::vector<task> tasks;
    {
        std::lock_guard lock(m_mutex);
        tasks.swap(m_tasks);
    }
    for (auto& work : tasks)
        work();
}

void control_loop::receive(const wire::envelope& message)
{
    if (message.reply_to() == 0) {
        if (m_receive)
            m_receive(message);
        return;
    }
    // A reply that comes after its timeout, or twice, finds no call any more and is dropped.
    auto found = m_calls.find(message.reply_to());
    if (found == m_calls.end())
        return;
    auto handler = std::move(found->second.handler);
    m_calls.erase(found);
    handler(&message);
}

void control_loop::expireCalls()
{
    std::vector<reply_handler> expired;
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        if (it->second.deadline > now()) {
            ++it;
            continue;
        }
        expired.push_back(std::move(it->second.handler));
        it = m_calls.erase(it);
    }
    for (auto& handler : expired)
        handler(nullptr);
}

} // namespace pistachiolatch
