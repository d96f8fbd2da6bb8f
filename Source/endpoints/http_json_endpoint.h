#pragma once
#include "endpoints/endpoint_protocol.h"
#include <deque>

namespace pistachiolatch {

/// Timeouts of the calls to an endpoint. The progress timeouts start again with each chunk received.
struct endpoint_timeouts {
    milliseconds connect { 300 };
    milliseconds prefill { 60000 };
    milliseconds transferProgress { 400 };
    milliseconds tokenProgress { 2000 };
    milliseconds cancel { 1000 };
    milliseconds order { 1000 };
};

/// A client of a model engine over HTTP/JSON (docs/ENDPOINTS.md). Sends no headers of callers, so no caller's key
/// reaches an engine.
/// Used on one thread.
class http_json_endpoint {
public:
    http_json_endpoint(std::string address, endpoint_timeouts timeouts)
        : m_address(std::move(address))
        , m_timeouts(timeouts)
    {
    }

    /// Computes a prompt's KV cache.
    task_of<prefill_response> prefill(const prefill_request& request);
    /// Has the engine fetch a KV cache from another engine; returns Stalled if no progress arrives within the timeout.
    task_of<endpoint_status> importKv(const kv_import_request& request);
    /// Starts decoding from an imported KV cache.
    task_of<endpoint_status> decode(const decode_request& request);
    /// Reads the next token of the running decode. Precondition: decode() returned Done.
    task_of<decoded_token> nextToken();
    /// Frees everything held under a tag. Returns true if the engine confirmed that it holds nothing under it.
    task_of<bool> cancel(const std::string& tag);
    /// Lists the requests that the engine holds resources for.
    task_of<endpoint_request_list> listRequests();
    /// Sets the engine's role, model and version.
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
