#include "forwarding/event_splitter.h"

namespace pistachiolatch {

namespace {
    constexpr std::string_view idField = "id:";

    /// The value of the last id line; empty when there is none.
    std::string_view lastIdIn(std::string_view events)
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

    /// Where the last whole event ends; 0 when there is none.
    std::size_t endOfLastEvent(std::string_view bytes)
    {
        auto plain = bytes.rfind("\n\n");
        auto withReturns = bytes.rfind("\r\n\r\n");
        std::size_t end = 0;
        if (plain != std::string_view::npos)
            end = plain + 2;
        if (withReturns != std::string_view::npos)
            end = std::max(end, withReturns + 4);
        return end;
    }
}

std::string event_splitter::takeWhole()
{
    auto end = endOfLastEvent(m_held);
    if (end == 0)
        return {};
    auto whole = m_held.substr(0, end);
    m_held.erase(0, end);
    auto id = lastIdIn(whole);
    if (!id.empty())
        m_lastId = std::string(id);
    return whole;
}

} // namespace pistachiolatch
