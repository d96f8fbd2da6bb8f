#pragma once
#include "kernel/reason.h"
#include <chrono>
#include <memory>
#include <string>

namespace pistachiolatch {

/// Counters, gauges and histograms of the process, implemented with prometheus-cpp.
/// Thread safety: every method may be called from any thread.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts a request that was refused.
    void countRefusal(reason cause);
    /// Counts a retry of a request.
    void countRetry(reason cause);
    /// Counts an event with a fixed name, such as "wire_frame_dropped".
    void count(const std::string& event, double amount = 1);
    void gauge(const std::string& name, double value);
    /// Records a latency. Precondition: the name ends in "_seconds".
    void observe(const std::string& name, std::chrono::nanoseconds value);
    /// Renders all metrics in the Prometheus text format.
    std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace pistachiolatch
