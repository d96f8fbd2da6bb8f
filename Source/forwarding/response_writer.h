#pragma once
#include "forwarding/call_types.h"

namespace pistachiolatch {

/// How an answer's body is framed towards the caller.
struct answer_framing {
    /// The length where it is known; otherwise the body goes in chunks.
    std::optional<std::size_t> length;
    bool closeAfter = false;
};

/// The head of an endpoint's answer as the caller gets it: the endpoint's status and fields, but for those that concern
/// a single connection. Thread safety: any thread.
std::string encodeAnswerHead(unsigned status, std::string_view reasonPhrase, const header_fields& fields, const answer_framing& framing);

/// Whether a field concerns a single connection and is not passed on. Thread safety: any thread.
bool isHopByHop(std::string_view name);

/// One chunk of a body in chunks; the empty piece ends the body. Thread safety: any thread.
std::string encodeChunk(std::string_view piece);

} // namespace pistachiolatch
