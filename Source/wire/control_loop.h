#pragma once
#include "kernel/kernel.h"
#include "wire/transport.h"
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace pistachiolatch {

/// The one thread of a process that owns its control state and its transport.
/// Other threads reach that state only by posting a task here.
class control_loop {
public:
    using task = std::function<void()>;
    using reply_handler = std::function<void(const wire::envelope* reply)>;

    /// Preconditions: the references outlive the loop.
    control_loop(transport& wire, const clock_source& clock);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Called for every message that is no reply to a call. Precondition: set before start().
    void onMessage(transport::receiver receive) { m_receive = std::move(receive); }
    /// Called at least each tick interval and after every batch of messages. Precondition: set before start().
    void onTick(task tick) { m_tick = std::move(tick); }
    void start();
    /// Ends the thread after the tasks already posted. Thread safety: any thread but the loop's own.
    void stop();
    /// Runs a task on the loop's thread. Thread safety: any thread.
    void post(task work);
    /// Sends a message and waits for its reply without blocking; the handler gets null at the timeout.
    /// Precondition: called on the loop's thread.
    void call(const std::string& address, wire::envelope& message, milliseconds timeout, reply_handler handler);
    /// Precondition: used on the loop's thread.
    transport& wire() { return m_wire; }
    time_point now() const { return m_clock.now(); }

private:
    struct pending_call {
        time_point deadline;
        reply_handler handler;
    };
    void run();
    void runTasks();
    void receive(const wire::envelope& message);
    void expireCalls();

    transport& m_wire;
    const clock_source& m_clock;
    transport::receiver m_receive;
    task m_tick;
    std::mutex m_mutex;
    std::vector<task> m_tasks;
    bool m_stopping = false;
    int m_wakeDescriptor = -1;
    std::thread m_thread;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, pending_call> m_calls;
    time_point m_nextTick {};
};

} // namespace pistachiolatch
