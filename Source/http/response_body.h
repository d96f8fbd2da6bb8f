#pragma once
#include <string_view>

namespace pistachiolatch {

/// How the body of a response ended.
enum class body_end {
    /// It has not ended yet.
    Open,
    /// All bytes of the announced length arrived, or the response has no body.
    Length,
    LastChunk,
    /// The server closed the connection of a response with neither length nor chunks. A crash in the middle of the body
    /// looks the same.
    Close,
    /// The connection failed, was closed before the announced end, or was given up by this side.
    Reset,
};

/// The name of an end in logs and metrics.
constexpr std::string_view bodyEndName(body_end end)
{
    switch (end) {
    case body_end::Open:
        return "open";
    case body_end::Length:
        return "length";
    case body_end::LastChunk:
        return "last_chunk";
    case body_end::Close:
        return "close";
    case body_end::Reset:
        return "reset";
    }
    return "unknown";
}

/// Whether a body that isn't a stream of events has arrived in full. A body without framing is complete when its
/// connection is closed in order (RFC 9112, section 8).
constexpr bool isCompleteBody(body_end end)
{
    return end == body_end::Length || end == body_end::LastChunk || end == body_end::Close;
}

/// Whether a stream of events has arrived in full. A stream that ends inside an event was broken off, whatever its
/// framing says. One that ends with its connection before any event has not begun.
constexpr bool isCompleteStream(body_end end, bool insideEvent, bool hasEvents)
{
    return isCompleteBody(end) && !insideEvent && (hasEvents || end != body_end::Close);
}

/// How far a Beast response parser has read the body. The parser itself doesn't know of a failed connection, so that the
/// caller adds Reset. Precondition: the parser has read the head.
template <typename Parser>
body_end parsedBodyEnd(const Parser& parser)
{
    if (!parser.is_done())
        return body_end::Open;
    if (parser.need_eof())
        return body_end::Close;
    return parser.chunked() ? body_end::LastChunk : body_end::Length;
}

} // namespace pistachiolatch
