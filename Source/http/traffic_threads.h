#pragma once
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace pistachiolatch {

/// Pool of I/O threads, each with its own io_context, so that a connection stays on one thread.
class traffic_threads {
public:
    explicit traffic_threads(unsigned count);
    ~traffic_threads();
    traffic_threads(const traffic_threads&) = delete;
    traffic_threads& operator=(const traffic_threads&) = delete;

    void start();
    /// Stops and joins the threads; pending handlers are not run. Thread safety: any thread except the traffic threads.
    void stop();
    /// Returns the contexts in round-robin order. Thread safety: any thread.
    boost::asio::io_context& next();
    boost::asio::io_context& first() { return *m_contexts.front(); }

private:
    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> m_guards;
    std::vector<std::thread> m_threads;
    std::atomic<std::size_t> m_next { 0 };
};

} // namespace pistachiolatch
