#include "Coordination/coordination_fleet.h"
#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr std::chrono::milliseconds startBound { 12000 };
constexpr std::chrono::milliseconds changeBound { 2000 };
constexpr const char* unreadableId = "i-\xff\xfe\x80";

/// A leader, an entry, and a control process of an earlier version, which passes on whatever it gets.
class mixed_fleet {
public:
    explicit mixed_fleet(int network)
        : leaderAddress(fmt::format("127.9.{}.1:23810", network))
        , leader(context, clock, leaderAddress)
        , entry(context, clock, leaderAddress)
        , earlier(context, clock, counters)
    {
        earlier.start();
        REQUIRE(runUntil(
            context, [&] { return leader.isLeader(); }, startBound));
        leader.submit(1, "first");
        REQUIRE(runUntil(
            context, [&] { return entry.serves(1); }, startBound));
    }
    ~mixed_fleet()
    {
        earlier.stop();
        // Posted handlers still refer to the network and must run before it is destroyed.
        context.restart();
        context.poll();
    }
    mixed_fleet(const mixed_fleet&) = delete;
    mixed_fleet& operator=(const mixed_fleet&) = delete;

    void sendReport(const std::string& id)
    {
        wire::envelope message;
        auto& report = *message.mutable_report_endpoint()->mutable_report();
        report.set_id(id);
        report.set_service("app");
        report.set_address("127.0.0.1:9");
        earlier.send(leaderAddress, message);
    }

    boost::asio::io_context context;
    steady_clock_source clock;
    metrics counters;
    std::string leaderAddress;
    test_leader leader;
    test_entry entry;
    peer_network earlier;
};
}

// Guards against entries that lose their leader for as long as it knows an endpoint whose id isn't UTF-8.
TEST_CASE("An endpoint id that isn't UTF-8, passed on by a control process, doesn't keep changes from entries")
{
    mixed_fleet fleet(1);
    fleet.sendReport(unreadableId);
    fleet.sendReport("i-1");
    REQUIRE(runUntil(
        fleet.context, [&] { return fleet.entry.endpointCount() > 0; }, changeBound));
    fleet.leader.submit(2, "second");
    CHECK(runUntil(
        fleet.context, [&] { return fleet.entry.serves(2); }, changeBound));
    CHECK(fleet.entry.endpointCount() == 1);
}

// Guards against a crash report that cuts its entry off from the leader: its request's id is whatever the caller sent.
TEST_CASE("A crash report of a request whose id isn't UTF-8 reaches the leader")
{
    mixed_fleet fleet(2);
    std::optional<std::uint32_t> crashes;
    for (const auto* id : { "req-\xff", "req-\xfe" }) {
        wire::crash_report report;
        report.set_fingerprint(7);
        report.set_endpoint(std::string("i-") + (id[4] == '\xff' ? "1" : "2"));
        report.set_request_id(id);
        crashes.reset();
        fleet.entry.link().reportCrash(report, [&](std::uint32_t count) { crashes = count; });
        REQUIRE(runUntil(
            fleet.context, [&] { return crashes.has_value(); }, changeBound));
    }
    CHECK(crashes == 2U);
    CHECK_FALSE(fleet.entry.link().leader().empty());
    CHECK(fleet.entry.serves(1));
}

// Guards against a connection between processes that is lost by one message that can't be read.
TEST_CASE("A frame that is no message doesn't cost the connection")
{
    mixed_fleet fleet(3);
    boost::asio::ip::tcp::socket socket(fleet.context);
    socket.connect(parseAddress(fleet.leaderAddress));
    auto send = [&](const std::string& bytes) {
        auto size = static_cast<std::uint32_t>(bytes.size());
        std::string frame(reinterpret_cast<const char*>(&size), sizeof size);
        boost::asio::write(socket, boost::asio::buffer(frame + bytes));
    };
    send("\xff\xff\xff");
    wire::envelope ping;
    ping.set_call(5);
    ping.mutable_ping();
    send(ping.SerializeAsString());
    CHECK(runUntil(
        fleet.context, [&] { return socket.available() > 0; }, changeBound));
}

// Guards against processes that end as they follow an address that another one named: of a leader, a sender or a relay.
TEST_CASE("A process that is to connect to what is no address goes on")
{
    mixed_fleet fleet(3);
    auto address = GENERATE(std::string("nowhere"), std::string(), std::string("127.0.0.1:65536"), std::string("127.0.0.1:99999999999999999999"), std::string("127.0.0.1:-1"), std::string("127.0.0.1\0:9", 12));
    bool answered = false;
    REQUIRE_NOTHROW(fleet.entry.network().call(address, wire::envelope(), changeBound, [&](const wire::envelope* reply) { answered = reply == nullptr; }));
    CHECK(runUntil(
        fleet.context, [&] { return answered; }, 2 * changeBound));
    fleet.leader.submit(2, "second");
    CHECK(runUntil(
        fleet.context, [&] { return fleet.entry.serves(2); }, changeBound));
}
