#include "http/event_scanner.h"

#include <utility>

namespace pistachiolatch {

std::optional<event_scanner::event_end> event_scanner::scan(std::string_view bytes)
{
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        char byte = bytes[i];
        bool completesCrlf = std::exchange(m_afterCarriageReturn, byte == '\r') && byte == '\n';
        if (byte != '\n' && byte != '\r') {
            if (std::exchange(m_lineIsEmpty, false) && byte != ':')
                m_hasFields = true;
            continue;
        }
        if (completesCrlf) {
            // The LF belongs to the line end that the CR has counted. Behind an event, it goes out with the event.
            if (m_lineIsEmpty && !m_hasFields)
                return event_end { i + 1, false };
            continue;
        }
        if (!std::exchange(m_lineIsEmpty, true))
            continue;
        return event_end { i + 1, std::exchange(m_hasFields, false) };
    }
    return std::nullopt;
}

std::string_view takeLine(std::string_view& text)
{
    auto end = text.find_first_of("\r\n");
    auto line = text.substr(0, end);
    if (end == std::string_view::npos) {
        text = {};
        return line;
    }
    bool isCrlf = text.substr(end, 2) == "\r\n";
    text.remove_prefix(end + (isCrlf ? 2 : 1));
    return line;
}

} // namespace pistachiolatch
