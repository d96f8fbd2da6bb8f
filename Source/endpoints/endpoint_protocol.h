#pragma once
#include "http/http.h"
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace pistachiolatch {

/// How a call to an endpoint ended.
enum class endpoint_status {
    Done,
    /// Nothing was sent: the endpoint has done nothing.
    NotSent,
    /// The endpoint said no and did nothing.
    Refused,
    /// What the call needs (a prefill's KV cache) is no longer there.
    Expired,
    /// The connection broke; the endpoint may have crashed.
    Broken,
    /// No progress within the time allowed.
    Stalled,
    /// The answer belongs to another request.
    Crossed,
};

struct prefill_order {
    std::string tag;
    std::string model;
    std::string prompt;
    /// Output that another engine already made, to be resumed behind.
    std::string output;
    std::uint32_t fromIndex = 0;
    /// The caller's other parameters, as a JSON object.
    std::string parameters;
};

struct prefill_outcome {
    endpoint_status status = endpoint_status::NotSent;
    std::string kv;
    std::uint32_t promptTokens = 0;
    milliseconds expires { 0 };
};

struct import_order {
    std::string tag;
    std::string kv;
    std::string sourceAddress;
    std::uint32_t maxTokens = 0;
};

struct decode_order {
    std::string tag;
    std::string kv;
    std::uint32_t fromIndex = 0;
    std::uint32_t maxTokens = 0;
};

/// One token of a decode stream, or its end.
struct decoded_token {
    endpoint_status status = endpoint_status::Broken;
    bool end = false;
    std::uint32_t index = 0;
    std::string text;
    /// Why the engine stopped; set at the end.
    std::string finishReason;
};

struct endpoint_request {
    std::string tag;
    bool attached = false;
};

struct held_items {
    bool known = false;
    std::vector<endpoint_request> items;
};

struct role_order {
    std::uint64_t fence = 0;
    std::string role;
    std::string model;
    std::string version;
};

/// What the system asks of a model engine. Another shape of engine is another type that satisfies this.
template <typename T>
concept endpoint_protocol = requires(T endpoint, const prefill_order& prefill, const import_order& import, const decode_order& decode, const role_order& order, const std::string& tag)
{
    {
        endpoint.prefill(prefill)
        } -> std::same_as<task_of<prefill_outcome>>;
    {
        endpoint.importKv(import)
        } -> std::same_as<task_of<endpoint_status>>;
    {
        endpoint.decode(decode)
        } -> std::same_as<task_of<endpoint_status>>;
    {
        endpoint.nextToken()
        } -> std::same_as<task_of<decoded_token>>;
    {
        endpoint.cancel(tag)
        } -> std::same_as<task_of<bool>>;
    {
        endpoint.listRequests()
        } -> std::same_as<task_of<held_items>>;
    {
        endpoint.sendOrder(order)
        } -> std::same_as<task_of<endpoint_status>>;
};

} // namespace pistachiolatch
