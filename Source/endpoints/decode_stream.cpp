// How the tokens of a running decode are read and checked.
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
        const auto* owner = body.if_contains("tag");
        // Each event names its request: an engine or a proxy that mixes up two streams is found at the first token.
        if (!owner || !owner->is_string() || owner->get_string() != tag) {
            token.status = endpoint_status::Crossed;
            return token;
        }
        const auto* end = body.if_contains("done");
        const auto* index = body.if_contains("index");
        const auto* text = body.if_contains("text");
        const auto* why = body.if_contains("reason");
        token.end = end && end->is_bool() && end->get_bool();
        token.finishReason = why && why->is_string() ? std::string(why->get_string()) : std::string("stop");
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
    std::string piece;
    while (true) {
        if (auto event = m_events.next())
            co_return parseToken(*event, m_tag);
        auto failed = co_await m_stream->readPiece(piece, m_timeouts.tokenProgress);
        if (failed == call_failure::None && !piece.empty()) {
            m_events.feed(piece);
            continue;
        }
        // The stream ended without its end mark: what came is not the whole answer.
        decoded_token broken;
        broken.status = failed == call_failure::Stalled ? endpoint_status::Stalled : endpoint_status::Broken;
        co_return broken;
    }
}

} // namespace pistachiolatch
