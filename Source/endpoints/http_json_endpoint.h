#pragma once
#include "endpoints/endpoint_protocol.h"
#include <deque>

namespace pistachiolatch {

/// How long each step of an endpoint may take without progress.
struct endpoint_timeouts {
    milliseconds connect { 300 };
    milliseconds prefill { 60000 };
    milliseconds transferProgress { 400 };
    milliseconds tokenProgress { 2000 };
    milliseconds cancel { 1000 };
    milliseconds order { 1000 };
};

/// A model engine behind HTTP/JSON (docs/ENDPOINTS.md). Headers are built here from nothing: no caller's key can pass.
/// Used on one thread.
class http_json_endpoint {
public:
    http_json_endpoint(std::string address, endpoint_timeouts timeouts)
        : m_address(std::move(address))
        , m_timeouts(timeouts)
    {
    }

    /// Computes a prompt's KV cache.
    task_of<prefill_outcome> prefill(const prefill_order& order);
    /// Has the engine fetch a KV cache from another; fails as Stalled when no byte moves for a while.
    task_of<endpoint_status> importKv(const import_order& order);
    /// Starts to decode from an imported KV cache.
    task_of<endpoint_status> decode(const decode_order& order);
    /// The next token of the running decode. Precondition: decode() returned Done.
    task_of<decoded_token> nextToken();
    /// Frees everything under a tag. True when the engine confirmed that it holds nothing under it.
    task_of<bool> cancel(const std::string& tag);
    /// What the engine holds.
    task_of<held_items> listRequests();
    /// Tells the engine its role, model and version.
    task_of<endpoint_status> sendOrder(const role_order& order);

private:
    std::string m_address;
    endpoint_timeouts m_timeouts;
    std::optional<http_client> m_stream;
    sse_parser m_events;
    std::string m_tag;
};

static_assert(endpoint_protocol<http_json_endpoint>);

} // namespace pistachiolatch
