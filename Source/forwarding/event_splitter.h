#pragma once
#include <string>
#include <string_view>

namespace pistachiolatch {

/// Splits a stream of server-sent events into complete events and records their ids, so that another endpoint can
/// resume the stream after the last complete event. Not thread-safe.
class event_splitter {
public:
    /// Appends bytes received from the stream.
    void append(std::string_view bytes) { m_buffer.append(bytes); }
    /// Removes and returns the bytes of all complete events; empty if there are none.
    std::string takeCompleteEvents();
    /// Id of the last event returned by takeCompleteEvents(); empty if none had an id.
    const std::string& lastEventId() const { return m_lastEventId; }
    /// The buffered bytes of an incomplete event.
    std::string_view remainder() const { return m_buffer; }
    /// Discards an incomplete event when the endpoint that sent it is no longer used.
    void discardRemainder() { m_buffer.clear(); }

private:
    std::string m_buffer;
    std::string m_lastEventId;
};

} // namespace pistachiolatch
