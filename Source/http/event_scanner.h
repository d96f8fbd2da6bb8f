#pragma once
#include <optional>
#include <string_view>

namespace pistachiolatch {

/// Finds the ends of server-sent events in a stream that arrives in pieces. A line ends in LF, CRLF or CR, and an empty
/// line ends an event. Not thread-safe.
class event_scanner {
public:
    struct event_end {
        /// Offset behind the event, in the bytes that were scanned.
        std::size_t offset = 0;
        /// Whether the event has fields; comments alone make no event.
        bool hasFields = false;
    };

    /// Scans up to the next end of an event. Without one, all bytes were scanned. The next call continues behind what
    /// was scanned.
    std::optional<event_end> scan(std::string_view bytes);
    /// Whether a field has begun that no empty line has followed yet: a stream that ends here was broken off.
    bool isInsideEvent() const { return m_hasFields; }

private:
    bool m_lineIsEmpty = true;
    bool m_hasFields = false;
    bool m_afterCarriageReturn = false;
};

/// Removes the first line from the text and returns it without its end. Precondition: the text is not empty.
std::string_view takeLine(std::string_view& text);

} // namespace pistachiolatch
