#pragma once
#include "kernel/reason.h"
#include <chrono>
#include <memory>
#include <string>

namespace pistachiolatch {

/// The process's counters, gauges and histograms, behind prometheus-cpp.
/// Thread safety: every method may be called from any thread.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts one refusal given to a caller.
    void countRefusal(reason why);
    /// Counts one further attempt for a request.
    void countRetry(reason why);
    /// Counts one event with a fixed name, such as "wire_frame_dropped".
    void count(const std::string& event, double amount = 1);
    /// Sets a gauge.
    void gauge(const std::string& name, double value);
    /// Observes a latency; the name ends in "_seconds".
    void observe(const std::string& name, std::chrono::nanoseconds value);
    /// Everything in the Prometheus text format.
    std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace pistachiolatch
