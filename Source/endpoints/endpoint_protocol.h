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
    /// Nothing was sent, so the endpoint did nothing.
    NotSent,
    /// The endpoint refused the call and did nothing.
    Refused,
    /// A resource that the call needs (a prefill's KV cache) no longer exists.
    Expired,
    /// The connection broke; the endpoint may have crashed.
    Broken,
    /// No progress within the timeout.
    Stalled,
    /// The response carries the tag of another request.
    TagMismatch,
};

struct prefill_request {
    std::string tag;
    std::string model;
    std::string prompt;
    /// Output that another engine has generated; generation resumes after it.
    std::string output;
    std::uint32_t fromIndex = 0;
    /// The caller's other parameters, as a JSON object.
    std::string parameters;
};

struct prefill_response {
    endpoint_status status = endpoint_status::NotSent;
    std::string kv;
    std::uint32_t promptTokens = 0;
    milliseconds expires { 0 };
};

struct kv_import_request {
    std::string tag;
    std::string kv;
    std::string sourceAddress;
    std::uint32_t maxTokens = 0;
};

struct decode_request {
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

/// A request for which an endpoint holds resources.
struct endpoint_request {
    std::string tag;
    bool attached = false;
};

struct endpoint_request_list {
    /// Whether the endpoint returned the list.
    bool known = false;
    std::vector<endpoint_request> items;
};

struct role_order {
    std::uint64_t fence = 0;
    std::string role;
    std::string model;
    std::string version;
};

/// The operations of a model engine. An engine with another API is supported by another type that satisfies this.
template <typename T>
concept endpoint_protocol = requires(T endpoint, const prefill_request& prefill, const kv_import_request& import, const decode_request& decode, const role_order& order, const std::string& tag)
{
    {
        endpoint.prefill(prefill)
        } -> std::same_as<task_of<prefill_response>>;
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
        } -> std::same_as<task_of<endpoint_request_list>>;
    {
        endpoint.sendOrder(order)
        } -> std::same_as<task_of<endpoint_status>>;
};

} // namespace pistachiolatch
