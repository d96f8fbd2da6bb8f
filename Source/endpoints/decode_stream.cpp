// Reads and validates the token stream of a running decode.
#include "endpoints/http_json_endpoint.h"

#include <boost/json.hpp>

namespace pistachiolatch {

namespace json = boost::json;

namespace {
    decoded_token parseToken(const std::string& event, const std::string& tag)
    {
        decoded_token token;
        json::error_code error;
        auto value = json::parse(event, error);
        if (error || !value.is_object())
            return token;
        const auto& body = value.get_object();
        const auto* eventTag = body.if_contains("tag");
        // Each event carries the request's tag, so that an engine or a proxy that mixes up two streams is detected at
        // the first token.
        if (!eventTag || !eventTag->is_string() || eventTag->get_string() != tag) {
            token.status = endpoint_status::TagMismatch;
            return token;
        }
        const auto* end = body.if_contains("done");
        const auto* index = body.if_contains("index");
        const auto* text = body.if_contains("text");
        const auto* stopReason = body.if_contains("reason");
        token.end = end && end->is_bool() && end->get_bool();
        token.finishReason = stopReason && stopReason->is_string() ? std::string(stopReason->get_string()) : std::string("stop");
        if (!token.end && (!index || !index->is_int64() || !text || !text->is_string()))
            return token;
        token.status = endpoint_status::Done;
        if (token.end)
            return token;
        token.index = static_cast<std::uint32_t>(index->get_int64());
        token.text = std::string(text->get_string());
        return token;
    }
}

task_of<decoded_token> http_json_endpoint::nextToken()
{
    std::string chunk;
    while (true) {
        if (auto event = m_events.next())
            co_return parseToken(*event, m_tag);
        auto failed = co_await m_stream->readPiece(chunk, m_timeouts.tokenProgress);
        if (failed == call_failure::None && !chunk.empty()) {
            m_events.feed(chunk);
            continue;
        }
        // The stream ended without its end mark, so the response is incomplete.
        decoded_token broken;
        broken.status = failed == call_failure::Stalled ? endpoint_status::Stalled : endpoint_status::Broken;
        co_return broken;
    }
}

} // namespace pistachiolatch
