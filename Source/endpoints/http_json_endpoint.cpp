#include "endpoints/http_json_endpoint.h"

#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

namespace pistachiolatch {

namespace json = boost::json;

namespace {
    constexpr unsigned statusConflict = 409;
    constexpr unsigned statusGone = 410;

    http_request makeCall(const char* target, const json::object& body)
    {
        http_request call;
        call.target = target;
        call.headers = { { "Content-Type", "application/json" } };
        call.body = json::serialize(body);
        return call;
    }

    endpoint_status toStatus(const http_response& response)
    {
        switch (response.failed) {
        case call_failure::NotSent:
            return endpoint_status::NotSent;
        case call_failure::Broken:
            return endpoint_status::Broken;
        case call_failure::Stalled:
            return endpoint_status::Stalled;
        case call_failure::None:
            break;
        }
        if (response.succeeded())
            return endpoint_status::Done;
        return response.status == statusGone ? endpoint_status::Expired : endpoint_status::Refused;
    }

    json::object parseObject(const std::string& text)
    {
        json::error_code error;
        auto value = json::parse(text, error);
        return !error && value.is_object() ? value.get_object() : json::object();
    }

    std::string getString(const json::object& object, const char* name)
    {
        const auto* value = object.if_contains(name);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    std::uint32_t getNumber(const json::object& object, const char* name)
    {
        const auto* value = object.if_contains(name);
        json::error_code error;
        auto number = value ? value->to_number<std::uint32_t>(error) : 0;
        return error ? 0 : number;
    }

    bool getFlag(const json::object& object, const char* name)
    {
        const auto* value = object.if_contains(name);
        return value && value->is_bool() && value->get_bool();
    }

    json::object prefillBody(const prefill_request& request)
    {
        json::object body;
        body["tag"] = request.tag;
        body["model"] = request.model;
        body["prompt"] = request.prompt;
        body["output"] = request.output;
        body["from_index"] = request.fromIndex;
        body["parameters"] = parseObject(request.parameters);
        return body;
    }

    json::object importBody(const kv_import_request& request)
    {
        json::object body;
        body["tag"] = request.tag;
        body["kv"] = request.kv;
        body["source"] = request.sourceAddress;
        body["max_tokens"] = request.maxTokens;
        return body;
    }

    json::object decodeBody(const decode_request& request)
    {
        json::object body;
        body["tag"] = request.tag;
        body["kv"] = request.kv;
        body["from_index"] = request.fromIndex;
        body["max_tokens"] = request.maxTokens;
        return body;
    }

    json::object orderBody(const role_order& order)
    {
        json::object body;
        body["fence"] = order.fence;
        body["role"] = order.role;
        body["model"] = order.model;
        body["version"] = order.version;
        return body;
    }

    json::object tagBody(const std::string& tag)
    {
        json::object body;
        body["tag"] = tag;
        return body;
    }
}

task_of<prefill_response> http_json_endpoint::prefill(const prefill_request& request)
{
    auto call = makeCall("/prefill", prefillBody(request));
    auto response = co_await http_client::fetch(m_address, call, m_timeouts.connect, m_timeouts.prefill);
    prefill_response result;
    result.status = toStatus(response);
    if (result.status != endpoint_status::Done)
        co_return result;
    auto body = parseObject(response.body);
    if (getString(body, "tag") != request.tag)
        result.status = endpoint_status::TagMismatch;
    result.kv = getString(body, "kv");
    result.promptTokens = getNumber(body, "prompt_tokens");
    result.expires = milliseconds(getNumber(body, "expires_ms"));
    co_return result;
}

task_of<endpoint_status> http_json_endpoint::importKv(const kv_import_request& request)
{
    auto call = makeCall("/kv/import", importBody(request));
    http_client client(co_await boost::asio::this_coro::executor);
    http_response response;
    response.failed = co_await client.send(m_address, call, m_timeouts.connect, m_timeouts.transferProgress);
    if (response.failed == call_failure::None)
        response.failed = co_await client.readHead(m_timeouts.transferProgress);
    if (response.failed == call_failure::None)
        response.status = client.status();
    auto status = toStatus(response);
    if (status != endpoint_status::Done)
        co_return status;
    sse_parser events;
    std::string chunk;
    while (true) {
        auto failed = co_await client.readPiece(chunk, m_timeouts.transferProgress);
        if (failed != call_failure::None || chunk.empty())
            co_return failed == call_failure::Stalled ? endpoint_status::Stalled : endpoint_status::Broken;
        events.feed(chunk);
        while (auto event = events.next()) {
            auto body = parseObject(*event);
            if (getString(body, "tag") != request.tag)
                co_return endpoint_status::TagMismatch;
            if (getFlag(body, "expired"))
                co_return endpoint_status::Expired;
            if (getFlag(body, "stalled"))
                co_return endpoint_status::Stalled;
            if (getFlag(body, "done"))
                co_return endpoint_status::Done;
        }
    }
}

task_of<endpoint_status> http_json_endpoint::decode(const decode_request& request)
{
    auto call = makeCall("/decode", decodeBody(request));
    m_tag = request.tag;
    m_events = {};
    m_stream.emplace(co_await boost::asio::this_coro::executor);
    http_response response;
    response.failed = co_await m_stream->send(m_address, call, m_timeouts.connect, m_timeouts.tokenProgress);
    if (response.failed == call_failure::None)
        response.failed = co_await m_stream->readHead(m_timeouts.tokenProgress);
    if (response.failed == call_failure::None)
        response.status = m_stream->status();
    co_return toStatus(response);
}

task_of<bool> http_json_endpoint::cancel(const std::string& tag)
{
    auto call = makeCall("/cancel", tagBody(tag));
    auto response = co_await http_client::fetch(m_address, call, m_timeouts.connect, m_timeouts.cancel);
    co_return response.succeeded();
}

task_of<endpoint_request_list> http_json_endpoint::listRequests()
{
    http_request call;
    call.method = "GET";
    call.target = "/requests";
    auto response = co_await http_client::fetch(m_address, call, m_timeouts.connect, m_timeouts.cancel);
    endpoint_request_list list;
    auto body = parseObject(response.body);
    const auto* requests = body.if_contains("requests");
    list.known = response.succeeded() && requests && requests->is_array();
    if (!list.known)
        co_return list;
    for (const auto& item : requests->get_array()) {
        if (item.is_object())
            list.items.push_back({ getString(item.get_object(), "tag"), getFlag(item.get_object(), "attached") });
    }
    co_return list;
}

task_of<endpoint_status> http_json_endpoint::sendOrder(const role_order& order)
{
    auto call = makeCall("/orders", orderBody(order));
    auto response = co_await http_client::fetch(m_address, call, m_timeouts.connect, m_timeouts.order);
    if (response.failed == call_failure::None && response.status == statusConflict)
        co_return endpoint_status::Refused;
    co_return toStatus(response);
}

} // namespace pistachiolatch
