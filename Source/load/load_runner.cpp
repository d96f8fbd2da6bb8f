#include "load/load_runner.h"

#include "load/expected_output.h"
#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace pistachiolatch {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {
    constexpr milliseconds connectTimeout { 1000 };
    constexpr milliseconds answerTimeout { 30000 };
    constexpr unsigned statusOk = 200;
    /// A caller that leaves does so after this many tokens.
    constexpr std::uint32_t leaveAfterTokens = 3;

    std::string reasonOf(const std::string& body)
    {
        json::error_code error;
        auto value = json::parse(body, error);
        if (error || !value.is_object() || !value.get_object().contains("error"))
            return "unreadable_error";
        const auto& inner = value.at("error");
        const auto* code = inner.is_object() ? inner.get_object().if_contains("code") : nullptr;
        return code && code->is_string() ? std::string(code->get_string()) : "unreadable_error";
    }

    /// What one event of a stream says.
    struct stream_event {
        std::string text;
        bool last = false;
        bool error = false;
    };

    stream_event readEvent(const std::string& data)
    {
        stream_event event;
        json::error_code error;
        auto value = json::parse(data, error);
        if (error || !value.is_object() || value.get_object().contains("error")) {
            event.error = true;
            return event;
        }
        const auto& choice = value.at("choices").at(0);
        event.last = !choice.at("finish_reason").is_null();
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
    // Ends when no work is left, or at the next look after stop().
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
    return m_target.entries[m_turn++ % m_target.entries.size()];
}

void load_runner::keep(request_outcome outcome)
{
    m_outcomes.push_back(std::move(outcome));
}

task_of<void> load_runner::sendAll(std::vector<planned_request> requests)
{
    asio::steady_timer timer(m_context);
    for (auto& request : requests) {
        timer.expires_at(m_start + request.at);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        bool model = m_plan.streams[request.stream].kind == "model";
        asio::co_spawn(m_context, model ? sendModel(std::move(request)) : sendService(std::move(request)), asio::detached);
    }
}

http_request load_runner::modelCall(const traffic_stream& stream, const std::string& prompt) const
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
    outcome.intended = request.at;
    auto call = modelCall(stream, request.prompt);
    http_client client(m_context.get_executor());
    auto failed = co_await client.send(nextEntry(), call, connectTimeout, answerTimeout);
    if (failed == call_failure::None)
        failed = co_await client.readHead(answerTimeout);
    if (failed != call_failure::None) {
        outcome.reason = "no_answer";
        keep(std::move(outcome));
        co_return;
    }
    outcome.status = client.status();
    received_answer answer;
    while (co_await readSome(client, answer, outcome)) {
        if (request.leaves && outcome.tokens >= leaveAfterTokens) {
            outcome.left = true;
            keep(std::move(outcome));
            co_return;
        }
    }
    outcome.finished = sinceStart();
    judge(answer, client.isComplete(), request, outcome);
    keep(std::move(outcome));
}

task_of<bool> load_runner::readSome(http_client& client, received_answer& answer, request_outcome& outcome)
{
    std::string piece;
    auto failed = co_await client.readPiece(piece, answerTimeout);
    if (failed != call_failure::None || piece.empty())
        co_return false;
    if (outcome.status != statusOk) {
        answer.error += piece;
        co_return true;
    }
    answer.events.feed(piece);
    while (auto data = answer.events.next()) {
        if (*data == "[DONE]") {
            answer.ended = true;
            continue;
        }
        auto event = readEvent(*data);
        if (event.error)
            outcome.reason = reasonOf(*data);
        answer.last = answer.last || event.last;
        if (event.text.empty())
            continue;
        if (outcome.tokens++ == 0)
            outcome.firstToken = sinceStart();
        answer.text += event.text;
    }
    co_return true;
}

void load_runner::judge(const received_answer& answer, bool connectionWhole, const planned_request& request, request_outcome& outcome) const
{
    const auto& stream = m_plan.streams[request.stream];
    if (outcome.status != statusOk)
        outcome.reason = reasonOf(answer.error);
    outcome.whole = outcome.status == statusOk && answer.ended && answer.last && connectionWhole;
    if (!outcome.whole && outcome.reason.empty())
        outcome.reason = "cut";
    auto expected = expectedText(request.prompt, stream.maxTokens);
    outcome.wrong = outcome.whole ? answer.text != expected : expected.compare(0, answer.text.size(), answer.text) != 0;
    outcome.duplicate = outcome.tokens > expectedTokens(request.prompt, stream.maxTokens);
}

task_of<void> load_runner::sendService(planned_request request)
{
    const auto& stream = m_plan.streams[request.stream];
    request_outcome outcome;
    outcome.stream = request.stream;
    outcome.intended = request.at;
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
    auto answer = co_await http_client::fetch(nextEntry(), call, connectTimeout, answerTimeout);
    outcome.firstToken = sinceStart();
    outcome.finished = outcome.firstToken;
    outcome.status = answer.status;
    outcome.whole = answer.succeeded();
    if (answer.failed != call_failure::None)
        outcome.reason = "no_answer";
    else if (!outcome.whole)
        outcome.reason = reasonOf(answer.body);
    if (outcome.whole) {
        // The stand-in service echoes path and body and counts how often it ran the call.
        auto path = fmt::format("\"path\":\"/{}\"", request.number);
        outcome.wrong = answer.body.find(path) == std::string::npos || (stream.method == "POST" && answer.body.find(marker) == std::string::npos);
        outcome.duplicate = answer.body.find("\"executions\":1}") == std::string::npos;
    }
    keep(std::move(outcome));
}

} // namespace pistachiolatch
