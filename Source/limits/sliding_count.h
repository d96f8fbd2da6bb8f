#pragma once
#include "kernel/kernel.h"
#include <deque>

namespace pistachiolatch {

/// The exact number of events within a sliding window. Its size is the number of these events, so it is meant for events that
/// are limited by their count. Not thread-safe.
class sliding_count {
public:
    void add(time_point at) { m_events.push_back(at); }
    /// Returns the number of events that are at most `window` old, and forgets the others.
    std::size_t count(milliseconds window, time_point now)
    {
        while (!m_events.empty() && now - m_events.front() > window)
            m_events.pop_front();
        return m_events.size();
    }

private:
    std::deque<time_point> m_events;
};

} // namespace pistachiolatch
