#pragma once
#include <limits>

namespace pistachiolatch {

/// How many calls an endpoint may have beyond its slots. Load pattern: callers send more than an endpoint can serve and its
/// calls are short, so that the messages between the end of a call and the arrival of the next take about as long as the work
/// itself. With a single call ahead the endpoint idles in between while callers are refused. With many, calls wait at the
/// endpoint that another could have served. So the number follows what the endpoint states with its responses.
/// Pure; not thread-safe.
class endpoint_window {
public:
    /// What an endpoint stated of its load.
    struct statement {
        unsigned running = 0;
        unsigned waiting = 0;
        unsigned slots = 0;
    };

    /// Calls beyond the slots of an endpoint that states nothing, and the fewest of any.
    static constexpr unsigned minAhead = 1;

    /// Records what the endpoint stated with a response while this many calls were placed at it.
    void record(const statement& stated, double placed);
    /// Records that the endpoint refused a call while it had this many others.
    void recordRefusal(double others);
    /// Calls that an endpoint with this many slots may have, those that run included. While work takes longer than the mean of
    /// the endpoint by a factor, fewer calls ahead last until the next arrives.
    unsigned limit(unsigned slots, double slowdown = 1) const;

private:
    unsigned ahead(unsigned slots, double slowdown) const;

    double m_ahead = minAhead;
    double m_refusedAbove = std::numeric_limits<double>::infinity();
};

} // namespace pistachiolatch
