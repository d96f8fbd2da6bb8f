#include "Platform/fake_endpoint.h"

#include "platform_names.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cctype>
#include <thread>

namespace pistachiolatch::test {

namespace names = platform_names;

namespace {
    std::uint64_t firstEventToSend(const http_exchange& exchange)
    {
        auto lastEventId = exchange.header(names::lastEventId);
        return lastEventId.empty() ? 0 : std::stoull(lastEventId) + 1;
    }
}

fake_endpoint::fake_endpoint(std::string id, const std::string& address, std::string service, std::string stage)
    : m_id(std::move(id))
    , m_address(address)
    , m_reportedAddress(address)
    , m_service(std::move(service))
    , m_stage(std::move(stage))
    , m_server(
          m_threads, {}, [this](http_exchange& exchange) { return handle(exchange); }, [](reason why) { return http_error_response { httpStatus(why), "", "", {} }; })
{
    auto listened = m_server.listen(address);
    if (!listened)
        throw std::runtime_error(listened.error().message);
    m_threads.start();
}

fake_endpoint::~fake_endpoint()
{
    m_threads.stop();
}

std::string fake_endpoint::makeReport(const std::string& state)
{
    boost::json::object body { { "service", m_service }, { "address", m_reportedAddress }, { "zone", m_dataCentre }, { "version", m_version }, { "slots", 4 }, { "state", state },
        { "coldRemainingMs", m_coldTime.load().count() }, { "born", m_startTime.load() }, { "sequence", ++m_sequence } };
    if (!m_stage.empty())
        body["stage"] = m_stage;
    return boost::json::serialize(body);
}

void fake_endpoint::setVersion(const std::string& version, stream_witness* witness)
{
    m_version = version;
    m_namesVersion = true;
    m_witness = witness;
}

std::string fake_endpoint::makeEvent(std::uint64_t number) const
{
    return fmt::format("id: {}\n{}data: piece {}\n\n", number, m_namesVersion ? "event: " + m_version + "\n" : "", number);
}

std::vector<std::string> fake_endpoint::takeRequestLog()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_requestLog, {});
}

std::vector<time_point> fake_endpoint::arrivals() const
{
    std::vector<time_point> times;
    for (const auto& arrival : arrivalRecords())
        times.push_back(arrival.at);
    return times;
}

std::vector<endpoint_arrival> fake_endpoint::arrivalRecords() const
{
    std::lock_guard lock(m_mutex);
    return m_arrivals;
}

std::map<std::string, int> fake_endpoint::runCounts() const
{
    std::lock_guard lock(m_mutex);
    return m_runCounts;
}

std::set<std::string> fake_endpoint::completedStreams() const
{
    std::lock_guard lock(m_mutex);
    return m_completedStreams;
}

void fake_endpoint::recordRequest(const http_exchange& exchange)
{
    auto line = fmt::format("{} {} {}", m_id, exchange.method(), std::string(exchange.message().target()));
    for (const auto* name : { names::requestId, names::organisation, names::expectEndpoint, names::servingStage, names::kvSource, names::lastEventId, names::authorization }) {
        auto value = exchange.header(name);
        if (!value.empty())
            line += fmt::format(" | {}: {}", name, value);
    }
    line += fmt::format(" | {} bytes", exchange.message().body().size());
    std::lock_guard lock(m_mutex);
    m_requestLog.push_back(line);
    if (exchange.header(names::servingStage).empty())
        ++m_runCounts[exchange.header(names::requestId)];
}

void fake_endpoint::crash()
{
    m_crashedAt = std::chrono::steady_clock::now();
    if (!m_crashed.exchange(true))
        m_server.stopAccepting();
}

void fake_endpoint::pause(milliseconds time)
{
    boost::asio::post(m_threads.first(), [time] { std::this_thread::sleep_for(time); });
}

std::string fake_endpoint::crashCause() const
{
    std::lock_guard lock(m_mutex);
    return m_crashCause;
}

std::string fake_endpoint::findCrashingPart(const http_exchange& exchange) const
{
    auto list = exchange.header(names::promptParts);
    auto parts = list.substr(0, list.rfind(','));
    for (std::size_t begin = 0; begin < parts.size();) {
        auto end = std::min(parts.find(',', begin), parts.size());
        auto id = parts.substr(begin, parts.find(':', begin) - begin);
        std::transform(id.begin(), id.end(), id.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        auto number = id.substr(std::min(id.find_first_not_of('0'), id.size()));
        if (m_crashingParts.count(number))
            return number;
        begin = end + 1;
    }
    return {};
}

task_of<void> fake_endpoint::handle(http_exchange& exchange)
{
    if (exchange.message().body().find(crashMarker) != std::string::npos)
        crash();
    if (m_crashed) {
        exchange.abortStream();
        co_return;
    }
    if (exchange.path() == names::reportPath) {
        auto status = boost::json::serialize(boost::json::object { { names::startTime, m_startTime.load() } });
        co_await exchange.respond(200, "application/json", status);
        co_return;
    }
    auto id = exchange.header(names::requestId);
    auto mode = m_mode.load();
    http_headers headers { { names::requestId, id } };
    if (auto limit = m_requestLimit.load(); limit > 0)
        headers.emplace_back(names::requestLimit, fmt::format("{}", limit));
    std::size_t arrival = 0;
    {
        std::lock_guard lock(m_mutex);
        arrival = m_arrivals.size();
        m_arrivals.push_back({ std::chrono::steady_clock::now(), id });
    }
    if (exchange.header(names::expectEndpoint) != m_id) {
        co_await exchange.respond(421, "", "", headers);
        co_return;
    }
    if (mode == fake_endpoint_mode::RejectNotExecuted) {
        headers.emplace_back(names::notExecuted, "1");
        if (auto rest = std::chrono::duration_cast<std::chrono::seconds>(m_rest.load()); rest.count() > 0) {
            headers.emplace_back(names::retryAfter, std::to_string(rest.count()));
            std::lock_guard lock(m_mutex);
            m_arrivals[arrival].rest = rest;
        }
        co_await exchange.respond(503, "", "", headers);
        co_return;
    }
    recordRequest(exchange);
    if (mode == fake_endpoint_mode::AbortBeforeResponse) {
        exchange.abortStream();
        co_return;
    }
    boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor, m_delay.load());
    co_await pause.async_wait(boost::asio::use_awaitable);
    if (exchange.header(names::servingStage) == "prefill") {
        {
            std::lock_guard lock(m_mutex);
            m_arrivals[arrival].isAcceptedPrefill = true;
        }
        std::string body = R"({"kvHandle":"handle-1","tokens":10,"version":1})";
        co_await exchange.respond(200, "application/json", body, headers);
        co_return;
    }
    if (mode != fake_endpoint_mode::OmitSeal)
        headers.emplace_back(names::responseSeal, "seal-of-" + m_id);
    if (mode == fake_endpoint_mode::ServerError) {
        co_await exchange.respond(500, "text/plain", "broken", headers);
        co_return;
    }
    if (m_stage == "decode" || m_streams) {
        co_await sendStream(exchange, headers, mode);
        co_return;
    }
    co_await exchange.respond(200, "text/plain", "answer to " + id, headers);
}

task_of<void> fake_endpoint::sendStream(http_exchange& exchange, const http_headers& headers, fake_endpoint_mode mode)
{
    if (!co_await exchange.beginStream(200, "text/event-stream", headers))
        co_return;
    boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor);
    auto first = firstEventToSend(exchange);
    auto resumed = exchange.header(names::resumes);
    auto stream = resumed.empty() ? exchange.header(names::requestId) : resumed;
    std::uint64_t run = m_witness ? m_witness->beginRun() : 0;
    if (m_witness && first > 0)
        m_witness->recordContinuation(stream, m_version);
    auto crashingPart = findCrashingPart(exchange);
    if (!m_crashed && !crashingPart.empty()) {
        {
            std::lock_guard lock(m_mutex);
            m_crashCause = crashingPart;
        }
        crash();
    }
    while (mode == fake_endpoint_mode::StallBeforeFirstEvent && m_mode == fake_endpoint_mode::StallBeforeFirstEvent) {
        pause.expires_after(milliseconds(10));
        co_await pause.async_wait(boost::asio::use_awaitable);
    }
    for (auto i = first; i < eventsPerStream; ++i) {
        if (m_crashed) {
            exchange.abortStream();
            co_return;
        }
        if (mode == fake_endpoint_mode::AbortMidStream && first == 0 && i == 2) {
            std::string partialEvent = fmt::format("id: {}\nda", i);
            co_await exchange.writeChunk(partialEvent);
            exchange.abortStream();
            co_return;
        }
        while (mode == fake_endpoint_mode::StallMidStream && first == 0 && i == 2 && m_mode == fake_endpoint_mode::StallMidStream) {
            pause.expires_after(milliseconds(10));
            co_await pause.async_wait(boost::asio::use_awaitable);
        }
        if (m_witness && i == 0)
            m_witness->recordFirstEvent(stream, run, m_version);
        auto event = makeEvent(i);
        bool written = co_await exchange.writeChunk(event);
        if (!written)
            co_return;
        pause.expires_after(m_delay.load());
        co_await pause.async_wait(boost::asio::use_awaitable);
    }
    bool ended = co_await exchange.endStream();
    std::lock_guard lock(m_mutex);
    if (ended)
        m_completedStreams.insert(exchange.header(names::requestId));
}

} // namespace pistachiolatch::test
