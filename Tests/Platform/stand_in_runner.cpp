#include "Platform/stand_in_runner.h"

#include "platform_names.h"
#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace pistachiolatch::test {

namespace names = platform_names;

namespace {
    std::uint64_t resumeFrom(const http_exchange& exchange)
    {
        auto last = exchange.header(names::lastEventId);
        return last.empty() ? 0 : std::stoull(last) + 1;
    }
}

stand_in_runner::stand_in_runner(std::string id, const std::string& address, std::string service, std::string stage)
    : m_id(std::move(id))
    , m_address(address)
    , m_announced(address)
    , m_service(std::move(service))
    , m_stage(std::move(stage))
    , m_server(
          m_threads, {}, [this](http_exchange& exchange) { return handle(exchange); }, [](reason why) { return http_error_response { httpStatus(why), "", "", {} }; })
{
    auto listening = m_server.listen(address);
    if (!listening)
        throw std::runtime_error(listening.error().message);
    m_threads.start();
}

stand_in_runner::~stand_in_runner()
{
    m_threads.stop();
}

std::string stand_in_runner::report(const std::string& state)
{
    boost::json::object body { { "service", m_service }, { "address", m_announced }, { "zone", "a" }, { "version", "v1" }, { "slots", 4 }, { "state", state },
        { "coldRemainingMs", 0 }, { "born", m_born.load() }, { "sequence", ++m_sequence } };
    if (!m_stage.empty())
        body["stage"] = m_stage;
    return boost::json::serialize(body);
}

std::vector<std::string> stand_in_runner::takeSeen()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_seen, {});
}

std::map<std::string, int> stand_in_runner::runs() const
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

void stand_in_runner::note(const http_exchange& exchange)
{
    auto line = fmt::format("{} {} {}", m_id, exchange.method(), std::string(exchange.message().target()));
    for (const auto* name : { names::requestId, names::organisation, names::expectEndpoint, names::part, names::kvSource, names::lastEventId, names::authorization }) {
        auto value = exchange.header(name);
        if (!value.empty())
            line += fmt::format(" | {}: {}", name, value);
    }
    line += fmt::format(" | {} bytes", exchange.message().body().size());
    std::lock_guard lock(m_mutex);
    m_seen.push_back(line);
    if (exchange.header(names::part).empty())
        ++m_runs[exchange.header(names::requestId)];
}

task_of<void> stand_in_runner::handle(http_exchange& exchange)
{
    if (exchange.message().body().find(crashMark) != std::string::npos && !m_crashed.exchange(true))
        m_server.stopAccepting();
    if (m_crashed) {
        exchange.abortStream();
        co_return;
    }
    auto id = exchange.header(names::requestId);
    auto mode = m_mode.load();
    http_headers headers { { names::requestId, id } };
    if (exchange.header(names::expectEndpoint) != m_id) {
        co_await exchange.respond(421, "", "", headers);
        co_return;
    }
    if (mode == runner_mode::RefuseUnrun) {
        headers.emplace_back(names::notExecuted, "1");
        co_await exchange.respond(503, "", "", headers);
        co_return;
    }
    note(exchange);
    if (mode == runner_mode::BreakUnanswered) {
        exchange.abortStream();
        co_return;
    }
    boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor, m_pace.load());
    co_await pause.async_wait(boost::asio::use_awaitable);
    if (exchange.header(names::part) == "prefill") {
        std::string body = R"({"kvHandle":"handle-1","tokens":10,"version":1})";
        co_await exchange.respond(200, "application/json", body, headers);
        co_return;
    }
    if (mode != runner_mode::Unsealed)
        headers.emplace_back(names::seal, "seal-of-" + m_id);
    if (mode == runner_mode::ServerError) {
        co_await exchange.respond(500, "text/plain", "broken", headers);
        co_return;
    }
    if (m_stage == "decode") {
        co_await stream(exchange, headers, mode);
        co_return;
    }
    co_await exchange.respond(200, "text/plain", "answer to " + id, headers);
}

task_of<void> stand_in_runner::stream(http_exchange& exchange, const http_headers& headers, runner_mode mode)
{
    if (!co_await exchange.beginStream(200, "text/event-stream", headers))
        co_return;
    boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor);
    auto first = resumeFrom(exchange);
    for (auto i = first; i < eventsOfStream; ++i) {
        if (mode == runner_mode::BreakMidway && first == 0 && i == 2) {
            std::string half = fmt::format("id: {}\nda", i);
            co_await exchange.writeChunk(half);
            exchange.abortStream();
            co_return;
        }
        while (mode == runner_mode::StandStill && first == 0 && i == 2 && m_mode == runner_mode::StandStill) {
            pause.expires_after(milliseconds(10));
            co_await pause.async_wait(boost::asio::use_awaitable);
        }
        std::string event = fmt::format("id: {}\ndata: piece {}\n\n", i, i);
        bool written = co_await exchange.writeChunk(event);
        if (!written)
            co_return;
        pause.expires_after(m_pace.load());
        co_await pause.async_wait(boost::asio::use_awaitable);
    }
    co_await exchange.endStream();
}

} // namespace pistachiolatch::test
