#include "forwarding/event_splitter.h"

#include <utility>

namespace pistachiolatch {

namespace {
    constexpr std::string_view idField = "id:";

    /// Returns the value of the last id field, or an empty view if there is none.
    std::string_view findLastId(std::string_view events)
    {
        std::string_view id;
        while (!events.empty()) {
            auto line = takeLine(events);
            if (!line.starts_with(idField))
                continue;
            id = line.substr(idField.size());
            while (!id.empty() && id.front() == ' ')
                id.remove_prefix(1);
        }
        return id;
    }
}

void event_splitter::append(std::string_view bytes)
{
    m_buffer.append(bytes);
    while (auto end = m_scanner.scan(bytes)) {
        bytes.remove_prefix(end->offset);
        m_completeBytes = m_buffer.size() - bytes.size();
        m_completeCount += end->hasFields ? 1 : 0;
    }
}

complete_events event_splitter::takeCompleteEvents()
{
    complete_events events { m_buffer.substr(0, m_completeBytes), std::exchange(m_completeCount, 0) };
    m_buffer.erase(0, std::exchange(m_completeBytes, 0));
    // In a stream with CR line ends, the bytes before are no CRLF.
    if (!events.bytes.empty())
        m_endsWithinCrlf = events.bytes.ends_with("\r\n\r");
    auto id = findLastId(events.bytes);
    if (!id.empty())
        m_lastEventId = std::string(id);
    return events;
}

void event_splitter::discardRemainder()
{
    m_buffer.clear();
    if (std::exchange(m_endsWithinCrlf, false))
        m_buffer.push_back('\n');
    m_completeBytes = m_buffer.size();
    m_completeCount = 0;
    m_scanner = {};
}

} // namespace pistachiolatch
