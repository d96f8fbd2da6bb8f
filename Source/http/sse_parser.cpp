#include "http/sse_parser.h"

namespace pistachiolatch {

namespace {
    constexpr std::string_view dataField = "data: ";
}

std::optional<std::string> sse_parser::next()
{
    auto end = m_buffer.find("\n\n");
    if (end == std::string::npos)
        return std::nullopt;
    auto event = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    std::string data;
    std::size_t position = 0;
    while (position < event.size()) {
        auto lineEnd = std::min(event.find('\n', position), event.size());
        auto line = std::string_view(event).substr(position, lineEnd - position);
        if (line.starts_with(dataField))
            data.append(line.substr(dataField.size()));
        position = lineEnd + 1;
    }
    return data;
}

std::string sseEvent(std::string_view data)
{
    std::string event(dataField);
    event.append(data);
    event.append("\n\n");
    return event;
}

} // namespace pistachiolatch
