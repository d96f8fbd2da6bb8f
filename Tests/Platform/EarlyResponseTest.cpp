// Guards against responses that end with their connection, were broken off while the request was still being sent, and reach callers
// as complete.
#include "Platform/scripted_fleet.h"
#include <regex>
#include <thread>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr std::size_t uploadBytes = 4'000'000;

std::string configuration()
{
    return std::regex_replace(exampleConfiguration(7), std::regex("\"maxBodyBytes\":[0-9]*"), "\"maxBodyBytes\":4194304");
}

/// A fleet whose only endpoint answers uploads before it has read them.
class early_fleet {
public:
    explicit early_fleet(const scripted_response& early, int entries = 1)
        : m_fleet({ configuration(), entries, 0, entries > 1 })
    {
        auto& app = m_fleet.addEndpoint("app", "", [](const auto&) { return scripted_response(); });
        app.setEarlyScript([early](const http_exchange::request&) {
            auto response = early;
            response.headers = { { platform_names::responseSeal, "seal" } };
            return std::optional(response);
        });
    }

    /// Has the first entry reach the endpoint through the second one only.
    void cutFirstEntry()
    {
        REQUIRE(eventually([&] { return m_fleet.platform.isEntryReady(2); }));
        // Entries hear of each other with their next syncs.
        std::this_thread::sleep_for(std::chrono::milliseconds(1200));
        m_fleet.platform.partitionEntry(1, "refuse");
    }

    scripted_fleet& fleet() { return m_fleet; }
    simple_response upload(const std::string& path)
    {
        return m_fleet.send(path, fmt::format("upload-{}", ++m_calls), std::string(uploadBytes, 'u'));
    }

private:
    scripted_fleet m_fleet;
    int m_calls = 0;
};

scripted_response makeEarly(std::size_t bodyBytes, connection_end end, milliseconds resetDelay = milliseconds(0))
{
    scripted_response response;
    response.framing = body_framing::None;
    response.end = end;
    response.resetDelay = resetDelay;
    response.body = std::string(bodyBytes, 'b');
    return response;
}
}

TEST_CASE("A response without length isn't complete if its connection ends before the request was sent", "[promise]")
{
    auto bodyBytes = GENERATE(std::size_t { 50 }, std::size_t { 20'000 });
    auto early = GENERATE_COPY(makeEarly(bodyBytes, connection_end::Reset), makeEarly(bodyBytes, connection_end::Reset, milliseconds(1)), makeEarly(bodyBytes, connection_end::Reset, milliseconds(50)), makeEarly(bodyBytes, connection_end::Close));
    early_fleet fleet(early);
    for (int i = 0; i < 5; ++i) {
        for (const std::string path : { "/read/x", "/book/x" }) {
            auto answer = fleet.upload(path);
            INFO(path << " reset " << (early.end == connection_end::Reset) << " after " << early.resetDelay.count() << " ms: " << answer.status << ", " << answer.body.size() << " bytes");
            CHECK(answer.status == 502);
        }
    }
}

TEST_CASE("A response without length that comes through another entry isn't complete if the endpoint broke off the request", "[promise]")
{
    auto early = GENERATE(makeEarly(50, connection_end::Reset), makeEarly(50, connection_end::Reset, milliseconds(20)), makeEarly(50, connection_end::Close));
    early_fleet fleet(early, 2);
    fleet.cutFirstEntry();
    for (int i = 0; i < 5; ++i) {
        for (const std::string path : { "/read/x", "/book/x" }) {
            auto answer = fleet.upload(path);
            INFO(path << " reset " << (early.end == connection_end::Reset) << " after " << early.resetDelay.count() << " ms: " << answer.status << ", " << answer.body.size() << " bytes");
            CHECK(answer.status == 502);
        }
    }
    CHECK(fleet.fleet().entryLog().find("event=endpoint_blocked") != std::string::npos);
}

TEST_CASE("A whole response that comes before the request was sent is passed on", "[promise]")
{
    auto early = makeEarly(50, connection_end::Reset, milliseconds(100));
    early.framing = GENERATE(body_framing::Length, body_framing::Chunked);
    bool isRelayed = GENERATE(false, true);
    early_fleet fleet(early, isRelayed ? 2 : 1);
    if (isRelayed)
        fleet.cutFirstEntry();
    auto answer = fleet.upload("/book/x");
    INFO(answer.status << " " << answer.body << fleet.fleet().entryLog());
    CHECK(answer.status == 200);
    CHECK(answer.body == early.body);
}
