#pragma once
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace pistachiolatch {

/// The threads that carry traffic, each with an io_context of its own, so that one connection stays on one thread.
class traffic_threads {
public:
    explicit traffic_threads(unsigned count);
    ~traffic_threads();
    traffic_threads(const traffic_threads&) = delete;
    traffic_threads& operator=(const traffic_threads&) = delete;

    void start();
    /// Ends the threads; handlers not yet run are dropped. Thread safety: any thread but the traffic threads.
    void stop();
    /// The contexts in turn. Thread safety: any thread.
    boost::asio::io_context& next();
    boost::asio::io_context& first() { return *m_contexts.front(); }

private:
    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> m_guards;
    std::vector<std::thread> m_threads;
    std::atomic<std::size_t> m_turn { 0 };
};

} // namespace pistachiolatch
