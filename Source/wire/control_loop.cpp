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
    // The write only fails if the counter is full, and the loop is woken then too.
    [[maybe_unused]] auto written = ::write(m_wakeDescriptor, &one, sizeof one);
}

void control_loop::call(const std::string& address, wire::envelope& message, milliseconds timeout, reply_handler handler)
{
    message.set_call(++m_lastCallId);
    m_pendingCalls[m_lastCallId] = { now() + timeout, std::move(handler) };
    m_wire.send(address, message);
}

void control_loop::run()
{
    while (!m_stopping) {
        m_wire.closeIdlePeers(now());
        auto timeout = std::clamp(std::chrono::ceil<milliseconds>(m_nextTick - now()), milliseconds(0), tickInterval);
        m_wire.poll(timeout, m_wakeDescriptor, [this](const wire::envelope& message) { handleMessage(message); });
        runTasks();
        expireCalls();
        m_nextTick = now() + tickInterval;
        if (m_tickHandler)
            m_tickHandler();
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

void control_loop::handleMessage(const wire::envelope& message)
{
    if (message.reply_to() == 0) {
        if (m_messageHandler)
            m_messageHandler(message);
        return;
    }
    // Drops duplicate replies and replies that arrive after the timeout.
    auto found = m_pendingCalls.find(message.reply_to());
    if (found == m_pendingCalls.end())
        return;
    auto handler = std::move(found->second.handler);
    m_pendingCalls.erase(found);
    handler(&message);
}

void control_loop::expireCalls()
{
    std::vector<reply_handler> expired;
    for (auto it = m_pendingCalls.begin(); it != m_pendingCalls.end();) {
        if (it->second.deadline > now()) {
            ++it;
            continue;
        }
        expired.push_back(std::move(it->second.handler));
        it = m_pendingCalls.erase(it);
    }
    for (auto& handler : expired)
        handler(nullptr);
}

} // namespace pistachiolatch
