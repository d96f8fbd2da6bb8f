#pragma once
#include "Platform/fake_endpoint.h"
#include <mutex>
#include <vector>

namespace pistachiolatch::test {

/// The bounds of a service's retry budget.
struct retry_bounds {
    double ratio = 0.2;
    double slack = 54;
    milliseconds window { 10000 };
};

/// Arrivals beyond the first of their request within one window, and those allowed.
struct window_retries {
    unsigned retries = 0;
    double allowed = 0;
};

/// Counts what reaches the endpoints of one service beyond the first arrival of each request. The first accepted prefill of
/// a request doesn't count. Thread safety: any thread.
class retry_accounting {
public:
    /// Records that a caller sent a request.
    void recordSent(time_point at);
    /// Adds all arrivals at an endpoint.
    void addArrivals(const fake_endpoint& endpoint);
    /// The sliding window with the most retries compared with what is allowed, by the requests in it, in the window before it,
    /// or in the one that begins half a window before it.
    window_retries worstWindow(const retry_bounds& bounds) const;

private:
    std::vector<time_point> retryTimes() const;
    double countSent(time_point from, milliseconds length) const;

    mutable std::mutex m_mutex;
    std::vector<time_point> m_sent;
    std::vector<endpoint_arrival> m_arrivals;
};

} // namespace pistachiolatch::test
