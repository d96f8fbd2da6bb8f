#pragma once
#include "kernel/kernel.h"
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pistachiolatch {

/// What this entry did for its latest requests, for `pistachiolatch explain`. In memory only.
/// Thread safety: any thread.
class request_journal {
public:
    /// Adds a line to a request's story.
    void note(const std::string& requestId, std::string_view event, std::initializer_list<log_field> fields);
    /// The lines of a request, oldest first; empty when it is unknown.
    std::vector<std::string> lines(const std::string& requestId) const;

private:
    struct story {
        std::chrono::steady_clock::time_point begun;
        std::vector<std::string> lines;
    };
    mutable std::mutex m_mutex;
    std::map<std::string, story> m_stories;
    std::deque<std::string> m_order;
};

} // namespace pistachiolatch
