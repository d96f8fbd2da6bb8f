#pragma once
#include "kernel/kernel.h"
#include "wire/transport.h"
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace pistachiolatch {

/// Event loop of the thread that owns the control state and the transport of a process.
/// Other threads access that state only by posting tasks.
class control_loop {
public:
    using task = std::function<void()>;
    using reply_handler = std::function<void(const wire::envelope* reply)>;

    /// Precondition: the references outlive the loop.
    control_loop(transport& wire, const clock_source& clock);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Sets the handler for messages other than replies. Precondition: called before start().
    void onMessage(transport::message_handler handler) { m_messageHandler = std::move(handler); }
    /// Sets a task that runs at least once per tick interval and after every batch of messages. Precondition: called before
    /// start().
    void onTick(task handler) { m_tickHandler = std::move(handler); }
    void start();
    /// Stops the thread after the tasks already posted have run. Thread safety: any thread except the loop's own.
    void stop();
    /// Runs a task on the loop's thread. Thread safety: any thread.
    void post(task work);
    /// Sends a request and calls the handler with the reply, or with null on timeout.
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
    void handleMessage(const wire::envelope& message);
    void expireCalls();

    transport& m_wire;
    const clock_source& m_clock;
    transport::message_handler m_messageHandler;
    task m_tickHandler;
    std::mutex m_mutex;
    std::vector<task> m_tasks;
    bool m_stopping = false;
    int m_wakeDescriptor = -1;
    std::thread m_thread;
    std::uint64_t m_lastCallId = 0;
    std::map<std::uint64_t, pending_call> m_pendingCalls;
    time_point m_nextTick {};
};

} // namespace pistachiolatch
