#pragma once
#include "kernel/kernel.h"
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <concepts>
#include <optional>
#include <string>

namespace pistachiolatch {

using caller_request = boost::beast::http::request<boost::beast::http::string_body>;
using header_fields = boost::beast::http::fields;

/// What a caller says of its prompt and of the answer that it allows, in tokens.
struct token_usage {
    std::uint64_t prompt = 0;
    std::uint64_t output = 0;
};

/// What the router reads of a caller's request; everything else goes through untouched.
struct request_metadata {
    /// The caller's name for this attempt; unique.
    std::string id;
    /// How long the caller will wait, counted from when the request arrived.
    std::optional<milliseconds> deadline;
    /// The caller's key; empty when it sent none.
    std::string key;
    std::optional<token_usage> tokens;
    /// The caller's guess at the tokens of the answer; right in the middle, often far off.
    std::optional<std::uint64_t> outputTokensHint;
    /// The id of the last event that the caller already has of a stream.
    std::string resumeAfterEventId;
};

/// Which part of a model call an endpoint is asked for.
enum class attempt_stage {
    Whole,
    /// Only read the prompt and keep the result for another endpoint to fetch.
    Prefill,
};

/// What the router tells an endpoint along with the caller's request.
struct attempt_options {
    std::string endpointId;
    milliseconds timeLeft { 0 };
    /// Empty when the call counts for no organisation.
    std::string organisation;
    attempt_stage stage = attempt_stage::Whole;
    /// Where a prefill's result waits; empty when there is none.
    std::string prefillAddress;
    std::string prefillHandle;
    std::string resumeAfterEventId;
};

/// What an endpoint says of its load along with an answer.
struct reported_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

/// What the router reads of an endpoint's answer.
struct response_metadata {
    /// Whether the endpoint vouches that the answer is its own.
    bool sealed = false;
    /// Whether the endpoint vouches that it has not run the request and never will.
    bool guaranteedNotRun = false;
    /// The id of the request that this answers; empty when it names none.
    std::string requestId;
    std::optional<reported_load> load;
    /// How long the endpoint keeps an idle connection, where it says so.
    std::optional<std::chrono::seconds> keepAlive;
    /// Whether the body was encoded on the way and so isn't the endpoint's own.
    bool contentEncoded = false;
};

/// A final answer of the router's own.
struct error_response {
    reason cause = reason::Internal;
    unsigned status = 500;
    std::optional<milliseconds> retryAfter;
};

/// How calls and answers are written on the wire. A model reads and writes; it decides nothing.
template <typename T>
concept call_codec = requires(const caller_request& request, const request_metadata& head, const attempt_options& orders, const header_fields& fields,
    const error_response& refusal, const std::string& text, bool flag)
{
    {
        T::parseRequest(request)
        } -> std::same_as<request_metadata>;
    {
        T::encodeRequest(request, orders)
        } -> std::same_as<std::string>;
    {
        T::parseResponse(fields)
        } -> std::same_as<response_metadata>;
    {
        T::parsePrefillHandle(text)
        } -> std::same_as<std::optional<std::string>>;
    {
        T::encodeErrorResponse(head, refusal, flag)
        } -> std::same_as<std::string>;
    {
        T::encodePrefillRelease(text, text)
        } -> std::same_as<std::string>;
};

} // namespace pistachiolatch
