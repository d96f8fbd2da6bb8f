// Guards against entries that hold what endpoints in trouble send without end, until they have no memory left for other callers.
#include "Platform/process_monitor.h"
#include "Platform/scripted_fleet.h"
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr int memoryMb = 64;
constexpr std::size_t memoryBytes = memoryMb * 1024UL * 1024;
constexpr int callers = 40;
constexpr milliseconds deadline { 2500 };
/// For all callers together more than twice the memory, and little enough to be sent well before the deadline.
const std::string strayBody(4UL * 1024 * 1024, 's');
constexpr milliseconds strayDeadline { 5500 };

/// An entry with little memory in front of endpoints that send too much.
class small_fleet {
public:
    scripted_fleet fleet { { exampleConfiguration(7, 100'000'000), 1, memoryMb, false } };

    /// Sends calls by all callers at once. Returns the answers.
    std::vector<simple_response> sendAll(const std::string& path, const std::string& prefix, milliseconds callDeadline = deadline)
    {
        std::vector<simple_response> answers(callers);
        std::vector<std::thread> threads;
        for (int i = 0; i < callers; ++i)
            threads.emplace_back([&, i] { answers[static_cast<std::size_t>(i)] = fleet.send(path, fmt::format("{}-{}", prefix, i), "the prompt", callDeadline); });
        for (auto& thread : threads)
            thread.join();
        return answers;
    }

    void checkEntry(const process_monitor& monitor)
    {
        INFO(monitor.peakMemory() << " bytes at the peak");
        CHECK(fleet.platform.entry(1).isRunning());
        CHECK(monitor.peakMemory() < memoryBytes);
    }

    process_monitor monitor() { return { fleet.platform.entry(1).pid(), fleet.platform.entryIp(1) }; }
};

scripted_response makeAnswer(std::string body)
{
    scripted_response response;
    response.framing = body_framing::Length;
    response.end = connection_end::KeepOpen;
    response.body = std::move(body);
    return response;
}

scripted_response makeEndless(body_framing framing)
{
    scripted_response response;
    response.framing = framing;
    response.endless = true;
    response.body = "x";
    response.truncated = true;
    return response;
}
}

TEST_CASE("Long late copies of other responses at many connections are dropped as they arrive", "[promise]")
{
    small_fleet small;
    small.fleet.addEndpoint("app", "", [](const http_exchange::request& request) {
        auto response = makeAnswer("the answer");
        std::string id(request[platform_names::requestId]);
        if (id.starts_with("second")) {
            response.raw = fmt::format("HTTP/1.1 200 Late\r\n{0}: other\r\n{1}: seal\r\nContent-Length: {2}\r\n\r\n{3}HTTP/1.1 200 OK\r\n{0}: {4}\r\n{1}: seal\r\nContent-Length: 10\r\n\r\nthe answer",
                platform_names::requestId, platform_names::responseSeal, strayBody.size(), strayBody, id);
        }
        return response;
    });
    auto monitor = small.monitor();
    for (const auto& answer : small.sendAll("/read/x", "second", strayDeadline)) {
        CHECK(answer.status == 200);
        CHECK(answer.body == "the answer");
    }
    small.checkEntry(monitor);
}

TEST_CASE("Responses without end hold neither the memory of an entry nor other calls", "[promise]")
{
    auto framing = GENERATE(body_framing::None, body_framing::Length, body_framing::Chunked);
    auto endless = makeEndless(framing);
    endless.endlessHead = GENERATE(false, true);
    small_fleet small;
    small.fleet.addEndpoint("llm", "decode", [&](const auto&) { return endless; });
    small.fleet.addEndpoint("app", "", [](const auto&) { return makeAnswer("the answer"); });
    auto monitor = small.monitor();
    std::thread others([&] {
        for (int i = 0; i < 20; ++i) {
            // Connections may be turned away unread while memory is short; callers come back then.
            simple_response answer;
            for (int attempt = 0; attempt < 5 && answer.status == 0; ++attempt) {
                std::this_thread::sleep_for(milliseconds(attempt * 100));
                answer = small.fleet.send("/book/x", fmt::format("sound-{}-{}", i, attempt));
            }
            INFO("framing " << static_cast<int>(framing) << ", endless head " << endless.endlessHead << ", call " << i);
            CHECK(answer.status == 200);
            std::this_thread::sleep_for(milliseconds(100));
        }
    });
    for (const auto& answer : small.sendAll("/once/x", "endless"))
        CHECK((answer.status != 200 || answer.broken));
    others.join();
    small.checkEntry(monitor);
}

TEST_CASE("Status responses, prompt results and releases without end hold no memory of an entry", "[promise]")
{
    auto endless = makeEndless(GENERATE(body_framing::None, body_framing::Chunked));
    endless.endlessHead = GENERATE(false, true);
    small_fleet small;
    auto& reading = small.fleet.addEndpoint("llm", "prefill", [&](const http_exchange::request& request) {
        return request.method_string() == "DELETE" || request[platform_names::requestId].ends_with("1") ? endless : makeAnswer(R"({"kvHandle":"handle-1","tokens":10,"version":1})");
    });
    auto& writing = small.fleet.addEndpoint("llm", "decode", [&](const auto&) { return makeAnswer("id: 0\ndata: piece 0\n\n"); });
    reading.setStatusScript([&](const auto&) { return endless; });
    writing.setStatusScript([&](const auto&) { return endless; });
    auto monitor = small.monitor();
    for (const std::string path : { "/once/x", "/report/x" })
        small.sendAll(path, path.substr(1, 4));
    small.checkEntry(monitor);
}
