#include "http/sse_parser.h"

namespace pistachiolatch {

namespace {
    constexpr std::string_view dataField = "data: ";

    std::string joinData(std::string_view event)
    {
        std::string data;
        while (!event.empty()) {
            auto line = takeLine(event);
            if (line.starts_with(dataField))
                data.append(line.substr(dataField.size()));
        }
        return data;
    }
}

std::optional<std::string> sse_parser::next()
{
    while (auto end = m_scanner.scan(std::string_view(m_buffer).substr(m_scannedBytes))) {
        auto event = m_buffer.substr(0, m_scannedBytes + end->offset);
        m_buffer.erase(0, event.size());
        m_scannedBytes = 0;
        if (end->hasFields)
            return joinData(event);
    }
    m_scannedBytes = m_buffer.size();
    return std::nullopt;
}

std::string sseEvent(std::string_view data)
{
    std::string event(dataField);
    event.append(data);
    event.append("\n\n");
    return event;
}

} // namespace pistachiolatch
