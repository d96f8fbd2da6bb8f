#pragma once
#include <string>
#include <string_view>

namespace pistachiolatch {

/// Cuts a stream of server-sent events into whole events and notes their ids, so that a stream can go on elsewhere
/// after the last whole one. Not thread-safe.
class event_splitter {
public:
    /// Takes in bytes of the stream.
    void feed(std::string_view bytes) { m_held.append(bytes); }
    /// The whole events that are there, as bytes; empty when there are none.
    std::string takeWhole();
    /// The id of the last whole event taken; empty before the first.
    const std::string& lastId() const { return m_lastId; }
    /// What is left of an event that is not whole.
    std::string_view rest() const { return m_held; }
    /// Drops what is left: the endpoint that sent it is gone.
    void dropRest() { m_held.clear(); }

private:
    std::string m_held;
    std::string m_lastId;
};

} // namespace pistachiolatch
