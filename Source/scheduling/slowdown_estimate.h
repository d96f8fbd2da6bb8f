#pragma once
#include "kernel/kernel.h"

namespace pistachiolatch {

/// Estimates how long work takes at an endpoint at a moment, as a multiple of its usual time, from what the endpoint reports.
/// Load pattern: endpoints share their machines with other programs, so that their speed changes many times a second and
/// those that were slow at the last report may be the fastest now. So a report loses its weight within a fraction of a second,
/// and the estimate returns to the endpoint's mean.
/// Pure; not thread-safe.
class slowdown_estimate {
public:
    /// Bounds of what a report is taken for, so that a single odd one neither attracts all calls nor excludes the endpoint.
    static constexpr double minSlowdown = 0.1;
    static constexpr double maxSlowdown = 10;

    /// Records what the endpoint reported at a time: 1 is usual, 2 means that work takes twice as long. Reports older than the
    /// newest one are ignored.
    void record(double slowdown, time_point reportedAt);
    /// The expected slowdown; 1 if nothing is known.
    double at(time_point now) const;
    /// The expected slowdown as a multiple of the endpoint's mean.
    double relativeAt(time_point now) const { return at(now) / m_mean; }
    /// The last report, within its bounds; meaningful only if isKnown().
    double last() const { return m_last; }
    time_point reportedAt() const { return m_reportedAt; }
    bool isKnown() const { return m_reportedAt != time_point {}; }

private:
    double m_mean = 1;
    double m_last = 1;
    time_point m_reportedAt {};
};

} // namespace pistachiolatch
