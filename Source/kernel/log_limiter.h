#pragma once
#include "kernel/clock_source.h"
#include <utility>

namespace pistachiolatch {

/// Bounds how often a line is logged whose number callers decide. Pure; not thread-safe.
class log_limiter {
public:
    static constexpr unsigned maxLines = 10;
    static constexpr milliseconds window { 1000 };

    /// Whether to log another line now. If not, it is counted.
    bool admit(time_point now)
    {
        if (now - m_windowStartedAt >= window) {
            m_windowStartedAt = now;
            m_lines = 0;
        }
        if (m_lines == maxLines) {
            ++m_suppressed;
            return false;
        }
        ++m_lines;
        return true;
    }
    /// Returns how many lines were not logged since it was called last.
    unsigned takeSuppressed() { return std::exchange(m_suppressed, 0); }

private:
    time_point m_windowStartedAt {};
    unsigned m_lines = 0;
    unsigned m_suppressed = 0;
};

} // namespace pistachiolatch
