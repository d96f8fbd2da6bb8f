#include "load/load_runner.h"

#include "load/expected_output.h"
#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace pistachiolatch {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {
    constexpr milliseconds connectTimeout { 1000 };
    constexpr milliseconds responseTimeout { 30000 };
    constexpr unsigned statusOk = 200;
    /// Callers that abandon a response disconnect after this many tokens.
    constexpr std::uint32_t abandonAfterTokens = 3;

    std::string extractErrorCode(const std::string& body)
    {
        json::error_code error;
        auto value = json::parse(body, error);
        if (error || !value.is_object() || !value.get_object().contains("error"))
            return "unreadable_error";
        const auto& details = value.at("error");
        const auto* code = details.is_object() ? details.get_object().if_contains("code") : nullptr;
        return code && code->is_string() ? std::string(code->get_string()) : "unreadable_error";
    }

    /// The fields of one event of a completion stream.
    struct completion_event {
        std::string text;
        bool hasFinishReason = false;
        bool isError = false;
    };

    completion_event parseEvent(const std::string& data)
    {
        completion_event event;
        json::error_code error;
        auto value = json::parse(data, error);
        if (error || !value.is_object() || value.get_object().contains("error")) {
            event.isError = true;
            return event;
        }
        const auto& choice = value.at("choices").at(0);
        event.hasFinishReason = !choice.at("finish_reason").is_null();
        event.text = choice.at("text").as_string().c_str();
        return event;
    }
}

load_runner::load_runner(traffic_plan plan, load_target target)
    : m_plan(std::move(plan))
    , m_target(std::move(target))
{
}

std::vector<request_outcome> load_runner::run()
{
    auto requests = planRequests(m_plan);
    m_outcomes.reserve(requests.size());
    m_start = std::chrono::steady_clock::now();
    asio::co_spawn(m_context, sendAll(std::move(requests)), asio::detached);
    // Ends when no work is left, or within 100 ms after stop().
    while (!m_stopped && !m_context.stopped())
        m_context.run_for(milliseconds(100));
    return std::move(m_outcomes);
}

std::chrono::microseconds load_runner::sinceStart() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - m_start);
}

const std::string& load_runner::nextEntry()
{
    return m_target.entries[m_nextEntryIndex++ % m_target.entries.size()];
}

void load_runner::recordOutcome(request_outcome outcome)
{
    m_outcomes.push_back(std::move(outcome));
}

task_of<void> load_runner::sendAll(std::vector<planned_request> requests)
{
    asio::steady_timer timer(m_context);
    for (auto& request : requests) {
        timer.expires_at(m_start + request.sendAt);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        bool model = m_plan.streams[request.stream].kind == "model";
        asio::co_spawn(m_context, model ? sendModel(std::move(request)) : sendService(std::move(request)), asio::detached);
    }
}

http_request load_runner::makeModelRequest(const traffic_stream& stream, const std::string& prompt) const
{
    json::object body;
    body["model"] = stream.target;
    body["prompt"] = prompt;
    body["max_tokens"] = stream.maxTokens;
    body["stream"] = true;
    http_request call;
    call.target = "/v1/completions";
    call.headers = { { "Authorization", "Bearer " + m_target.keys.at(stream.organisation) }, { "Content-Type", "application/json" } };
    call.body = json::serialize(body);
    return call;
}

task_of<void> load_runner::sendModel(planned_request request)
{
    const auto& stream = m_plan.streams[request.stream];
    request_outcome outcome;
    outcome.stream = request.stream;
    outcome.scheduledAt = request.sendAt;
    auto call = makeModelRequest(stream, request.prompt);
    http_client client(m_context.get_executor());
    auto failed = co_await client.send(nextEntry(), call, connectTimeout, responseTimeout);
    if (failed == call_failure::None)
        failed = co_await client.readHead(responseTimeout);
    if (failed != call_failure::None) {
        outcome.reason = "no_answer";
        recordOutcome(std::move(outcome));
        co_return;
    }
    outcome.status = client.status();
    streamed_response response;
    while (co_await readChunk(client, response, outcome)) {
        if (request.abandons && outcome.tokens >= abandonAfterTokens) {
            outcome.abandoned = true;
            recordOutcome(std::move(outcome));
            co_return;
        }
    }
    outcome.finishedAt = sinceStart();
    validateResponse(response, isCompleteBody(client.bodyEnd()), request, outcome);
    recordOutcome(std::move(outcome));
}

task_of<bool> load_runner::readChunk(http_client& client, streamed_response& response, request_outcome& outcome)
{
    std::string chunk;
    auto failed = co_await client.readPiece(chunk, responseTimeout);
    if (failed != call_failure::None || chunk.empty())
        co_return false;
    if (outcome.status != statusOk) {
        response.errorBody += chunk;
        co_return true;
    }
    response.events.feed(chunk);
    while (auto data = response.events.next()) {
        if (*data == "[DONE]") {
            response.hasEndMarker = true;
            continue;
        }
        auto event = parseEvent(*data);
        if (event.isError)
            outcome.reason = extractErrorCode(*data);
        response.hasFinishReason = response.hasFinishReason || event.hasFinishReason;
        if (event.text.empty())
            continue;
        if (outcome.tokens++ == 0)
            outcome.firstTokenAt = sinceStart();
        response.text += event.text;
    }
    co_return true;
}

void load_runner::validateResponse(const streamed_response& response, bool connectionComplete, const planned_request& request, request_outcome& outcome) const
{
    const auto& stream = m_plan.streams[request.stream];
    if (outcome.status != statusOk)
        outcome.reason = extractErrorCode(response.errorBody);
    outcome.complete = outcome.status == statusOk && response.hasEndMarker && response.hasFinishReason && connectionComplete;
    if (!outcome.complete && outcome.reason.empty())
        outcome.reason = "cut";
    auto expected = expectedText(request.prompt, stream.maxTokens);
    outcome.incorrect = outcome.complete ? response.text != expected : expected.compare(0, response.text.size(), response.text) != 0;
    outcome.duplicate = outcome.tokens > expectedTokenCount(request.prompt, stream.maxTokens);
}

task_of<void> load_runner::sendService(planned_request request)
{
    const auto& stream = m_plan.streams[request.stream];
    request_outcome outcome;
    outcome.stream = request.stream;
    outcome.scheduledAt = request.sendAt;
    auto marker = fmt::format("call {}", request.number);
    http_request call;
    call.method = stream.method;
    call.target = fmt::format("/services/{}/{}", stream.target, request.number);
    call.headers = { { "Authorization", "Bearer " + m_target.keys.at(stream.organisation) } };
    if (stream.method == "POST") {
        call.headers.emplace_back("Idempotency-Key", marker);
        call.headers.emplace_back("Content-Type", "text/plain");
        call.body = marker;
    }
    auto answer = co_await http_client::fetch(nextEntry(), call, connectTimeout, responseTimeout);
    outcome.firstTokenAt = sinceStart();
    outcome.finishedAt = outcome.firstTokenAt;
    outcome.status = answer.status;
    outcome.complete = answer.succeeded();
    if (answer.failed != call_failure::None)
        outcome.reason = "no_answer";
    else if (!outcome.complete)
        outcome.reason = extractErrorCode(answer.body);
    if (outcome.complete) {
        // The fake service echoes the path and body and counts how often it ran the call.
        auto path = fmt::format("\"path\":\"/{}\"", request.number);
        outcome.incorrect = answer.body.find(path) == std::string::npos || (stream.method == "POST" && answer.body.find(marker) == std::string::npos);
        outcome.duplicate = answer.body.find("\"executions\":1}") == std::string::npos;
    }
    recordOutcome(std::move(outcome));
}

} // namespace pistachiolatch
