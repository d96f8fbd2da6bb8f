#include "entry/request_journal.h"

namespace pistachiolatch {

namespace {
    constexpr std::size_t mostStories = 4096;
    constexpr std::size_t mostLinesEach = 64;
}

void request_journal::note(const std::string& requestId, std::string_view event, std::initializer_list<log_field> fields)
{
    auto now = std::chrono::steady_clock::now();
    auto line = formatEvent(event, fields);
    std::lock_guard lock(m_mutex);
    auto [found, added] = m_stories.try_emplace(requestId);
    auto& one = found->second;
    if (added) {
        one.begun = now;
        m_order.push_back(requestId);
    }
    if (one.lines.size() < mostLinesEach)
        one.lines.push_back(fmt::format("+{}ms {}", std::chrono::duration_cast<std::chrono::milliseconds>(now - one.begun).count(), line));
    if (m_order.size() > mostStories) {
        m_stories.erase(m_order.front());
        m_order.pop_front();
    }
}

std::vector<std::string> request_journal::lines(const std::string& requestId) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_stories.find(requestId);
    return found == m_stories.end() ? std::vector<std::string>() : found->second.lines;
}

} // namespace pistachiolatch
