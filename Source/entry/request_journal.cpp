#include "entry/request_journal.h"

namespace pistachiolatch {

namespace {
    constexpr std::size_t maxRequests = 4096;
    constexpr std::size_t maxLinesPerRequest = 64;
}

void request_journal::record(const std::string& requestId, std::string_view event, std::initializer_list<log_field> fields)
{
    auto now = std::chrono::steady_clock::now();
    auto line = formatEvent(event, fields);
    std::lock_guard lock(m_mutex);
    auto [found, added] = m_logs.try_emplace(requestId);
    auto& log = found->second;
    if (added) {
        log.startedAt = now;
        m_order.push_back(requestId);
    }
    if (log.lines.size() < maxLinesPerRequest)
        log.lines.push_back(fmt::format("+{}ms {}", std::chrono::duration_cast<std::chrono::milliseconds>(now - log.startedAt).count(), line));
    if (m_order.size() > maxRequests) {
        m_logs.erase(m_order.front());
        m_order.pop_front();
    }
}

std::vector<std::string> request_journal::lines(const std::string& requestId) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_logs.find(requestId);
    return found == m_logs.end() ? std::vector<std::string>() : found->second.lines;
}

} // namespace pistachiolatch
