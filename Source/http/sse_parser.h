#pragma once
#include "http/event_scanner.h"
#include <optional>
#include <string>
#include <string_view>

namespace pistachiolatch {

/// Splits a stream of server-sent events into the data of each event. Not thread-safe.
class sse_parser {
public:
    void feed(std::string_view bytes) { m_buffer.append(bytes); }
    /// Returns the data of the next complete event, if there is one.
    std::optional<std::string> next();

private:
    event_scanner m_scanner;
    std::string m_buffer;
    /// Bytes of the buffer that were scanned without finding the end of an event.
    std::size_t m_scannedBytes = 0;
};

/// Formats an event. Precondition: the data contains no line break.
std::string sseEvent(std::string_view data);

} // namespace pistachiolatch
