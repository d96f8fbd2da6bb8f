#pragma once
#include "forwarding/call_types.h"

namespace pistachiolatch {

/// How a response body is framed on the connection to the caller.
struct response_framing {
    /// Body length if known; otherwise the body is sent in chunked encoding.
    std::optional<std::size_t> length;
    bool closeConnection = false;
};

/// Encodes the head of an endpoint's response for the caller: the endpoint's status and header fields without the
/// hop-by-hop fields. Thread safety: any thread.
std::string encodeResponseHead(unsigned status, std::string_view reasonPhrase, const header_fields& fields, const response_framing& framing);

/// Whether a header field applies to a single connection only and is not forwarded. Thread safety: any thread.
bool isHopByHop(std::string_view name);

/// Encodes one chunk of a chunked body; empty data ends the body. Thread safety: any thread.
std::string encodeChunk(std::string_view data);

} // namespace pistachiolatch
