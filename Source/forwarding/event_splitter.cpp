#include "forwarding/event_splitter.h"

namespace pistachiolatch {

namespace {
    constexpr std::string_view idField = "id:";

    /// Returns the value of the last id field, or an empty view if there is none.
    std::string_view findLastId(std::string_view events)
    {
        std::string_view id;
        std::size_t begin = 0;
        while (begin < events.size()) {
            auto end = events.find('\n', begin);
            auto line = events.substr(begin, end - begin);
            if (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            if (line.substr(0, idField.size()) == idField) {
                id = line.substr(idField.size());
                while (!id.empty() && id.front() == ' ')
                    id.remove_prefix(1);
            }
            if (end == std::string_view::npos)
                break;
            begin = end + 1;
        }
        return id;
    }

    /// Returns the offset of the end of the last complete event, or 0 if there is none.
    std::size_t findLastEventEnd(std::string_view bytes)
    {
        auto lfEnd = bytes.rfind("\n\n");
        auto crlfEnd = bytes.rfind("\r\n\r\n");
        std::size_t end = 0;
        if (lfEnd != std::string_view::npos)
            end = lfEnd + 2;
        if (crlfEnd != std::string_view::npos)
            end = std::max(end, crlfEnd + 4);
        return end;
    }
}

std::string event_splitter::takeCompleteEvents()
{
    auto end = findLastEventEnd(m_buffer);
    if (end == 0)
        return {};
    auto events = m_buffer.substr(0, end);
    m_buffer.erase(0, end);
    auto id = findLastId(events);
    if (!id.empty())
        m_lastEventId = std::string(id);
    return events;
}

} // namespace pistachiolatch
