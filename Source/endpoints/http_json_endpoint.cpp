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

    endpoint_status statusOf(const http_response& answer)
    {
        switch (answer.failed) {
        case call_failure::NotSent:
            return endpoint_status::NotSent;
        case call_failure::Broken:
            return endpoint_status::Broken;
        case call_failure::Stalled:
            return endpoint_status::Stalled;
        case call_failure::None:
            break;
        }
        if (answer.succeeded())
            return endpoint_status::Done;
        return answer.status == statusGone ? endpoint_status::Expired : endpoint_status::Refused;
    }

    json::object parseObject(const std::string& text)
    {
        json::error_code error;
        auto value = json::parse(text, error);
        return !error && value.is_object() ? value.get_object() : json::object();
    }

    std::string textOf(const json::object& object, const char* name)
    {
        const auto* value = object.if_contains(name);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    std::uint32_t numberOf(const json::object& object, const char* name)
    {
        const auto* value = object.if_contains(name);
        json::error_code error;
        auto number = value ? value->to_number<std::uint32_t>(error) : 0;
        return error ? 0 : number;
    }

    bool flagOf(const json::object& object, const char* name)
    {
        const auto* value = object.if_contains(name);
        return value && value->is_bool() && value->get_bool();
    }

    json::object prefillBody(const prefill_order& order)
    {
        json::object body;
        body["tag"] = order.tag;
        body["model"] = order.model;
        body["prompt"] = order.prompt;
        body["output"] = order.output;
        body["from_index"] = order.fromIndex;
        body["parameters"] = parseObject(order.parameters);
        return body;
    }

    json::object importBody(const import_order& order)
    {
        json::object body;
        body["tag"] = order.tag;
        body["kv"] = order.kv;
        body["source"] = order.sourceAddress;
        body["max_tokens"] = order.maxTokens;
        return body;
    }

    json::object decodeBody(const decode_order& order)
    {
        json::object body;
        body["tag"] = order.tag;
        body["kv"] = order.kv;
        body["from_index"] = order.fromIndex;
        body["max_tokens"] = order.maxTokens;
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

task_of<prefill_outcome> http_json_endpoint::prefill(const prefill_order& order)
{
    auto call = makeCall("/prefill", prefillBody(order));
    auto answer = co_await http_client::fetch(m_address, call, m_timeouts.connect, m_timeouts.prefill);
    prefill_outcome outcome;
    outcome.status = statusOf(answer);
    if (outcome.status != endpoint_status::Done)
        co_return outcome;
    auto body = parseObject(answer.body);
    if (textOf(body, "tag") != order.tag)
        outcome.status = endpoint_status::Crossed;
    outcome.kv = textOf(body, "kv");
    outcome.promptTokens = numberOf(body, "prompt_tokens");
    outcome.expires = milliseconds(numberOf(body, "expires_ms"));
    co_return outcome;
}

task_of<endpoint_status> http_json_endpoint::importKv(const import_order& order)
{
    auto call = makeCall("/kv/import", importBody(order));
    http_client client(co_await boost::asio::this_coro::executor);
    http_response head;
    head.failed = co_await client.send(m_address, call, m_timeouts.connect, m_timeouts.transferProgress);
    if (head.failed == call_failure::None)
        head.failed = co_await client.readHead(m_timeouts.transferProgress);
    if (head.failed == call_failure::None)
        head.status = client.status();
    auto status = statusOf(head);
    if (status != endpoint_status::Done)
        co_return status;
    sse_parser events;
    std::string piece;
    while (true) {
        auto failed = co_await client.readPiece(piece, m_timeouts.transferProgress);
        if (failed != call_failure::None || piece.empty())
            co_return failed == call_failure::Stalled ? endpoint_status::Stalled : endpoint_status::Broken;
        events.feed(piece);
        while (auto event = events.next()) {
            auto body = parseObject(*event);
            if (textOf(body, "tag") != order.tag)
                co_return endpoint_status::Crossed;
            if (flagOf(body, "expired"))
                co_return endpoint_status::Expired;
            if (flagOf(body, "stalled"))
                co_return endpoint_status::Stalled;
            if (flagOf(body, "done"))
                co_return endpoint_status::Done;
        }
    }
}

task_of<endpoint_status> http_json_endpoint::decode(const decode_order& order)
{
    auto call = makeCall("/decode", decodeBody(order));
    m_tag = order.tag;
    m_events = {};
    m_stream.emplace(co_await boost::asio::this_coro::executor);
    http_response head;
    head.failed = co_await m_stream->send(m_address, call, m_timeouts.connect, m_timeouts.tokenProgress);
    if (head.failed == call_failure::None)
        head.failed = co_await m_stream->readHead(m_timeouts.tokenProgress);
    if (head.failed == call_failure::None)
        head.status = m_stream->status();
    co_return statusOf(head);
}

task_of<bool> http_json_endpoint::cancel(const std::string& tag)
{
    auto call = makeCall("/cancel", tagBody(tag));
    auto answer = co_await http_client::fetch(m_address, call, m_timeouts.connect, m_timeouts.cancel);
    co_return answer.succeeded();
}

task_of<held_items> http_json_endpoint::held()
{
    http_request call;
    call.method = "GET";
    call.target = "/requests";
    auto answer = co_await http_client::fetch(m_address, call, m_timeouts.connect, m_timeouts.cancel);
    held_items held;
    auto body = parseObject(answer.body);
    const auto* list = body.if_contains("requests");
    held.known = answer.succeeded() && list && list->is_array();
    if (!held.known)
        co_return held;
    for (const auto& item : list->get_array()) {
        if (item.is_object())
            held.items.push_back({ textOf(item.get_object(), "tag"), flagOf(item.get_object(), "attached") });
    }
    co_return held;
}

task_of<endpoint_status> http_json_endpoint::order(const role_order& order)
{
    auto call = makeCall("/orders", orderBody(order));
    auto answer = co_await http_client::fetch(m_address, call, m_timeouts.connect, m_timeouts.order);
    if (answer.failed == call_failure::None && answer.status == statusConflict)
        co_return endpoint_status::Refused;
    co_return statusOf(answer);
}

} // namespace pistachiolatch
