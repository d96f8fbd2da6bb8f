#pragma once
#include "kernel/kernel.h"
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Keeps the events of the latest requests for `pistachiolatch explain`. In memory only.
/// Thread safety: any thread.
class request_journal {
public:
    /// Appends an event to the log of a request.
    void record(const std::string& requestId, std::string_view event, std::initializer_list<log_field> fields);
    /// The log lines of a request, oldest first; empty if it is unknown.
    std::vector<std::string> lines(const std::string& requestId) const;

private:
    struct request_log {
        std::chrono::steady_clock::time_point startedAt;
        std::vector<std::string> lines;
    };
    mutable std::mutex m_mutex;
    std::map<std::string, request_log> m_logs;
    std::deque<std::string> m_order;
};

} // namespace pistachiolatch
