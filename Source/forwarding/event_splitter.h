#pragma once
#include "http/event_scanner.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiolatch {

/// The complete events of a stream that have arrived.
struct complete_events {
    std::string bytes;
    std::uint64_t count = 0;
};

/// Splits a stream of server-sent events into complete events and records their ids, so that another endpoint can
/// resume the stream after the last complete event. Not thread-safe.
class event_splitter {
public:
    /// Appends bytes received from the stream.
    void append(std::string_view bytes);
    /// Removes and returns all complete events.
    complete_events takeCompleteEvents();
    /// Id of the last event returned by takeCompleteEvents(); empty if none had an id.
    const std::string& lastEventId() const { return m_lastEventId; }
    /// The buffered bytes behind the last complete event.
    std::string_view remainder() const { return m_buffer; }
    /// Whether the remainder is part of an event; comments and line ends alone are not.
    bool isInsideEvent() const { return m_scanner.isInsideEvent(); }
    /// Discards an incomplete event when the endpoint that sent it is no longer used. A CRLF of which only the CR was taken is
    /// completed before the next events.
    void discardRemainder();

private:
    event_scanner m_scanner;
    std::string m_buffer;
    /// Size of the complete events in the buffer.
    std::size_t m_completeBytes = 0;
    std::uint64_t m_completeCount = 0;
    std::string m_lastEventId;
    /// Whether the events that were taken end in the first half of a CRLF.
    bool m_endsWithinCrlf = false;
};

} // namespace pistachiolatch
