#include "entry/caller_api.h"

#include "entry/model_call.h"
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/json.hpp>

namespace pistachiolatch {

namespace {
    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr std::string_view servicesPrefix = "/services/";
    constexpr const char* jsonContentType = "application/json";
    constexpr milliseconds noConfigRetryDelay { 2000 };
    constexpr milliseconds shutdownRetryDelay { 1000 };

    bool isJson(const http_exchange& exchange)
    {
        return exchange.header("Content-Type").starts_with(jsonContentType);
    }

    std::string serializeModels(const std::vector<std::string>& names)
    {
        boost::json::array data;
        for (const auto& name : names) {
            boost::json::object model;
            model["id"] = name;
            model["object"] = "model";
            data.push_back(std::move(model));
        }
        boost::json::object body;
        body["object"] = "list";
        body["data"] = std::move(data);
        return boost::json::serialize(body);
    }
}

caller_api::caller_api(entry_context& context)
    : m_context(context)
    , m_services(context)
{
}

std::string caller_api::makeRequestId() const
{
    constexpr std::size_t idBytes = 12;
    return fmt::format("{}.{}", m_context.node.self().name, randomHex(idBytes));
}

http_error_response caller_api::makeRefusal(reason cause) const
{
    m_context.counters.countRefusal(cause);
    caller_error error { cause, run_state::NotRun, cause == reason::TooManyConnections ? noConfigRetryDelay : milliseconds(0), "" };
    http_error_response refusal { httpStatus(cause), jsonContentType, errorBody(error, makeRequestId()), {} };
    if (error.retryAfter.count() > 0)
        refusal.headers.emplace_back("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(error.retryAfter).count()));
    return refusal;
}

task_of<void> caller_api::handleCallerRequest(http_exchange& exchange)
{
    using namespace boost::asio::experimental::awaitable_operators;
    auto requestId = makeRequestId();
    auto finished = co_await (routeSafely(exchange, requestId) || exchange.waitForDisconnect());
    constexpr std::size_t callerGoneIndex = 1;
    if (finished.index() != callerGoneIndex)
        co_return;
    // The request's coroutine was cancelled; its guards free what it held at endpoints.
    m_context.counters.countRefusal(reason::CallerGone);
    m_context.node.journal().record(requestId, "caller_gone", {});
    exchange.abortStream();
}

task_of<void> caller_api::routeSafely(http_exchange& exchange, const std::string& requestId)
{
    std::string exceptionText;
    try {
        co_await route(exchange, requestId);
    } catch (const boost::system::system_error& error) {
        if (error.code() == boost::asio::error::operation_aborted)
            throw; // The caller disconnected; unwinding frees what the request held.
        exceptionText = error.what();
    } catch (const std::exception& error) {
        exceptionText = error.what();
    }
    if (exceptionText.empty())
        co_return;
    // Without a response the caller would wait forever on an open connection. Other requests are unaffected.
    logEvent("request_fault", { { "request", requestId }, { "error", exceptionText } });
    caller_error internal { reason::Internal, run_state::MayHaveRun, milliseconds(0), "" };
    co_await sendError(exchange, internal, requestId, m_context.counters);
    exchange.abortStream();
}

task_of<void> caller_api::route(http_exchange& exchange, const std::string& requestId)
{
    caller_identity caller;
    caller.requestId = requestId;
    auto error = authenticate(exchange, caller);
    if (error) {
        co_await sendError(exchange, *error, requestId, m_context.counters);
        co_return;
    }
    auto path = exchange.path();
    auto method = exchange.method();
    bool chat = path == "/v1/chat/completions";
    if (path.starts_with(servicesPrefix)) {
        co_await m_services.handle(exchange, caller);
    } else if (path == "/v1/models" && method == "GET") {
        co_await listModels(exchange, caller);
    } else if ((chat || path == "/v1/completions") && method == "POST") {
        if (!isJson(exchange)) {
            caller_error wrongType { reason::UnsupportedMediaType, run_state::NotRun, milliseconds(0), "" };
            co_await sendError(exchange, wrongType, requestId, m_context.counters);
            co_return;
        }
        model_call call(m_context, exchange, caller, chat);
        co_await call.run();
    } else {
        caller_error notFound { reason::NotFound, run_state::NotRun, milliseconds(0), "" };
        co_await sendError(exchange, notFound, requestId, m_context.counters);
    }
}

std::optional<caller_error> caller_api::authenticate(const http_exchange& exchange, caller_identity& caller) const
{
    if (m_context.draining)
        return caller_error { reason::ShuttingDown, run_state::NotRun, shutdownRetryDelay, "" };
    // Without a lease this VM may have missed a withdrawn key or a changed limit.
    if (!m_context.node.ready())
        return caller_error { reason::NoConfig, run_state::NotRun, noConfigRetryDelay, "" };
    auto header = exchange.header("Authorization");
    if (!header.starts_with(bearerPrefix) || header.size() == bearerPrefix.size())
        return caller_error { reason::MissingKey, run_state::NotRun, milliseconds(0), "" };
    caller.config = m_context.node.config();
    const auto* key = caller.config->findKeyByDigest(sha256Hex(std::string_view(header).substr(bearerPrefix.size())));
    if (!key)
        return caller_error { reason::UnknownKey, run_state::NotRun, milliseconds(0), "" };
    if (key->record.withdrawn)
        return caller_error { reason::KeyWithdrawn, run_state::NotRun, milliseconds(0), "" };
    caller.organisation = key->record.organisation;
    return std::nullopt;
}

task_of<void> caller_api::listModels(http_exchange& exchange, const caller_identity& caller)
{
    std::vector<std::string> names;
    const auto* organisation = caller.config->organisation(caller.organisation);
    for (const auto& [name, model] : caller.config->models()) {
        if (organisation && organisation->models.count(name))
            names.push_back(name);
    }
    co_await exchange.respond(200, jsonContentType, serializeModels(names));
}

task_of<void> caller_api::handleEndpointRequest(http_exchange& exchange)
{
    if (exchange.path() != "/announce" || exchange.method() != "POST") {
        co_await exchange.respond(404, jsonContentType, R"({"error":"use POST /announce"})");
        co_return;
    }
    if (!m_context.node.ready()) {
        // The refusal makes the endpoint announce itself through a VM that is connected to control.
        co_await exchange.respond(503, jsonContentType, R"({"error":"this VM has no lease; announce to another"})");
        co_return;
    }
    auto announcement = parseAnnouncement(exchange.message().body());
    if (!announcement) {
        m_context.counters.count("announcement_malformed");
        boost::json::object problem;
        problem["error"] = announcement.error().message;
        auto body = boost::json::serialize(problem);
        co_await exchange.respond(400, jsonContentType, body);
        co_return;
    }
    m_context.loop.post([this, value = announcement.value()] { m_context.node.announcements().handleAnnouncement(value); });
    co_await exchange.respond(200, jsonContentType, R"({"accepted":true})");
}

} // namespace pistachiolatch
