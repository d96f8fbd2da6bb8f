#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace pistachiolatch {

/// Splits a stream of server-sent events into the data of each event. Not thread-safe.
class sse_parser {
public:
    void feed(std::string_view bytes) { m_buffer.append(bytes); }
    /// The data of the next whole event, or nothing until more bytes come.
    std::optional<std::string> next();

private:
    std::string m_buffer;
};

/// One event as bytes. Precondition: the data has no line break.
std::string sseEvent(std::string_view data);

} // namespace pistachiolatch
