#include "control/operator_api.h"

#include "control/operator_json.h"
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

namespace pistachiolatch {

namespace {
    constexpr const char* jsonType = "application/json";
    constexpr std::string_view bearer = "Bearer ";
    constexpr std::string_view explainPrefix = "/v1/explain/";
    constexpr milliseconds responseTimeout { 15000 };

    std::string errorJson(const std::string& code, const std::string& message)
    {
        return boost::json::serialize(boost::json::object { { "error", code }, { "message", message } });
    }

    std::string listJson(const char* name, const std::vector<std::string>& lines)
    {
        boost::json::array items(lines.begin(), lines.end());
        boost::json::object body;
        body[name] = std::move(items);
        return boost::json::serialize(body);
    }

    std::string submitJson(const std::string& status, const submit_response& response)
    {
        boost::json::object body;
        body["status"] = status;
        body["revision"] = response.outcome.revision;
        body["in_force"] = response.inForce;
        if (!response.outcome.message.empty())
            body["message"] = response.outcome.message;
        return boost::json::serialize(body);
    }

    http_error_response makeErrorResponse(reason why)
    {
        return { httpStatus(why), jsonType, errorJson(std::string(reasonName(why)), std::string(reasonAdvice(why))), {} };
    }

    std::string statusName(const submit_response& response)
    {
        if (response.outcome.status == submit_status::Conflict)
            return "conflict";
        if (response.outcome.status == submit_status::Invalid)
            return "invalid";
        return response.outcome.status == submit_status::AlreadyAccepted ? "already_accepted" : "accepted";
    }
}

operator_api::operator_api(traffic_threads& threads, control_loop& loop, control_node& node, metrics& counters, std::vector<operator_credential> operators, buffer_budget& buffers)
    : m_loop(loop)
    , m_node(node)
    , m_metrics(counters)
    , m_operators(std::move(operators))
    , m_server(
          threads, {}, [this](http_exchange& exchange) { return handle(exchange); }, makeErrorResponse, &buffers)
{
}

std::string operator_api::authenticate(const http_exchange& exchange) const
{
    auto header = exchange.header("Authorization");
    if (!header.starts_with(bearer))
        return {};
    auto digest = sha256Hex(std::string_view(header).substr(bearer.size()));
    for (const auto& credential : m_operators) {
        if (equalConstantTime(credential.tokenSha256, digest))
            return credential.name;
    }
    return {};
}

task_of<void> operator_api::handle(http_exchange& exchange)
{
    auto submitter = authenticate(exchange);
    if (submitter.empty()) {
        m_metrics.count("operator_refused");
        co_await exchange.respond(401, jsonType, errorJson("unknown_token", "Send an operator's token as Authorization: Bearer TOKEN."));
        co_return;
    }
    auto path = exchange.path();
    if (path == "/v1/records" && exchange.method() == "POST")
        co_await handleSubmit(exchange, submitter);
    else if (path.starts_with(explainPrefix) && exchange.method() == "GET")
        co_await handleExplain(exchange, path.substr(explainPrefix.size()));
    else if ((path == "/v1/records" || path == "/v1/status" || path == "/v1/events" || path == "/v1/pools") && exchange.method() == "GET")
        co_await handleRead(exchange);
    else
        co_await exchange.respond(404, jsonType, errorJson("not_found", "Use /v1/records, /v1/status, /v1/pools, /v1/events or /v1/explain/ID."));
}

task_of<void> operator_api::handleSubmit(http_exchange& exchange, const std::string& submitter)
{
    auto batch = batchFromJson(exchange.message().body(), submitter);
    if (!batch) {
        co_await exchange.respond(400, jsonType, errorJson("invalid", batch.error().message));
        co_return;
    }
    pending_reply<submit_response> pending(co_await boost::asio::this_coro::executor);
    m_loop.post([this, records = batch.value(), complete = pending.completer()] { m_node.submit(records, complete); });
    auto response = co_await pending.wait(responseTimeout);
    if (!response || !response->unavailable.empty()) {
        auto code = response ? response->unavailable : std::string("outcome_unknown");
        auto advice = code == "not_leader" ? "This control VM is not the leader; try another one." : "No quorum replied in time; submit the same records again. Resubmitting is safe: they are applied only once.";
        co_await exchange.respond(503, jsonType, errorJson(code, advice));
        co_return;
    }
    auto name = statusName(*response);
    unsigned status = name == "conflict" ? 409 : name == "invalid" ? 400
                                                                   : 200;
    m_metrics.count("submit_" + name);
    co_await exchange.respond(status, jsonType, submitJson(name, *response));
}

task_of<void> operator_api::handleRead(http_exchange& exchange)
{
    auto path = exchange.path();
    pending_reply<std::string> pending(co_await boost::asio::this_coro::executor);
    m_loop.post([this, path, complete = pending.completer()] {
        m_node.readThroughQuorum([this, path, complete](bool current) {
            if (!current)
                complete("");
            else if (path == "/v1/records")
                complete(recordsToJson(m_node.state().recordsAfter(0)));
            else if (path == "/v1/status")
                complete(m_node.statusJson());
            else if (path == "/v1/events")
                complete(m_node.eventsJson());
            else {
                m_node.requestSchedulerStatus([complete](const std::vector<std::string>& lines) { complete(listJson("pools", lines)); });
            }
        });
    });
    auto body = co_await pending.wait(responseTimeout);
    if (!body || body->empty()) {
        // An isolated control VM reports an error rather than a state that may be outdated.
        co_await exchange.respond(503, jsonType, errorJson("no_quorum", "This control VM is not the leader or cannot reach a quorum; try another one."));
        co_return;
    }
    co_await exchange.respond(200, jsonType, *body);
}

task_of<void> operator_api::handleExplain(http_exchange& exchange, const std::string& requestId)
{
    using explanation = std::optional<std::vector<std::string>>;
    pending_reply<explanation> pending(co_await boost::asio::this_coro::executor);
    m_loop.post([this, requestId, complete = pending.completer()] {
        if (m_node.isLeader())
            m_node.explain(requestId, complete);
        else
            complete(explanation());
    });
    auto lines = co_await pending.wait(responseTimeout);
    if (!lines || !*lines || (*lines)->empty()) {
        co_await exchange.respond(404, jsonType, errorJson("not_found", "No live entry knows this request id; entries remember their latest requests only."));
        co_return;
    }
    co_await exchange.respond(200, jsonType, listJson("lines", **lines));
}

} // namespace pistachiolatch
