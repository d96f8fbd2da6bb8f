// Guards against streams that an entry continues at another software version because it missed, while it stood still or was cut
// off, that engines of a new version joined.
#include "Platform/versioned_fleet.h"
#include <boost/json.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;
namespace json = boost::json;

namespace {
/// The entry that is out of step, and those through which streams begin meanwhile.
constexpr int lateEntry = 3;
const std::set<int> otherEntries { 1, 2 };
const http_headers withoutOrigin { { "X-Client", "older" } };
/// Longer than a stream may last: only then control infers the version of a stream whose caller doesn't name it.
constexpr std::chrono::seconds historyTime { 7 };

/// Begins streams through the other entries until some began at the given version.
std::vector<caller_stream> beginStreamsAt(versioned_fleet& fleet, const std::string& version, std::size_t count, milliseconds limit = std::chrono::seconds(15), const std::set<int>& entries = otherEntries)
{
    std::vector<caller_stream> streams;
    auto until = std::chrono::steady_clock::now() + limit;
    while (streams.size() < count && std::chrono::steady_clock::now() < until) {
        for (int entry : entries) {
            auto stream = fleet.beginStream(entry, 2);
            if (streams.size() < count && stream.versions() == std::set<std::string> { version })
                streams.push_back(stream);
        }
    }
    return streams;
}

/// Takes streams up at the late entry, all at once, every other one without its first attempt. Calls a function once all are sent.
template <typename Function>
void takeUpAtLateEntry(versioned_fleet& fleet, std::vector<caller_stream>& streams, Function onSent)
{
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < streams.size(); ++i)
        callers.emplace_back([&, i] { fleet.takeUp(streams[i], lateEntry, i % 2 == 0 ? withoutOrigin : http_headers {}); });
    std::this_thread::sleep_for(milliseconds(100));
    onSent();
    for (auto& caller : callers)
        caller.join();
}

void takeUpAtLateEntry(versioned_fleet& fleet, std::vector<caller_stream>& streams)
{
    takeUpAtLateEntry(fleet, streams, [] {});
}

/// Like exampleConfiguration(), with a second service of engines that gets nearly all streams of the resumable route.
std::string configurationWithNewService(std::uint64_t version)
{
    auto document = json::parse(exampleConfiguration(version, 100'000'000)).as_object();
    auto& services = document["services"].as_array();
    auto added = services[1].as_object();
    added["name"] = "llm-next";
    services.push_back(added);
    for (auto& route : document["routes"].as_array()) {
        if (route.as_object()["name"] != "report")
            continue;
        route.as_object().erase("service");
        route.as_object()["trafficSplit"] = json::array { json::object { { "service", "llm" }, { "weight", 10 } }, json::object { { "service", "llm-next" }, { "weight", 90 } } };
    }
    return json::serialize(document);
}

void startOldEngines(versioned_fleet& fleet)
{
    for (int n = 2; n <= 3; ++n)
        fleet.startEngine(n, "v1");
    fleet.awaitEngines();
    // The late entry has open connections to the engines and to control.
    for (int i = 0; i < 4; ++i)
        fleet.readStream(lateEntry);
}
}

TEST_CASE("An entry that stood still while engines of a new version joined continues their streams nowhere else", "[promise]")
{
    auto standstill = GENERATE(milliseconds(1000), milliseconds(2500));
    versioned_fleet fleet({ .partitionable = true });
    startOldEngines(fleet);
    std::this_thread::sleep_for(historyTime);
    fleet.platform.entry(lateEntry).signal(SIGSTOP);
    auto stoppedAt = std::chrono::steady_clock::now();
    for (int n = 4; n <= 7; ++n)
        fleet.startEngine(n, "v2");
    fleet.awaitEngines(otherEntries);
    auto streams = beginStreamsAt(fleet, "v2", 16);
    REQUIRE(streams.size() == 16);
    std::this_thread::sleep_until(stoppedAt + standstill);
    takeUpAtLateEntry(fleet, streams, [&] { fleet.platform.entry(lateEntry).signal(SIGCONT); });
    checkNotMixed(fleet, streams);
    // Once the entry is in step again, it continues them.
    fleet.awaitEngines();
    for (auto& stream : streams) {
        if (!stream.isWhole())
            fleet.takeUp(stream, lateEntry);
        CHECK(stream.isWhole());
    }
    checkNotMixed(fleet, streams);
}

TEST_CASE("An entry that was cut from control while engines of a new version joined continues their streams nowhere else", "[promise]")
{
    auto mode = GENERATE(std::string("hang"), std::string("reset"), std::string("refuse"));
    bool fromAll = GENERATE(true, false);
    INFO(mode << " from " << (fromAll ? "all" : "the leader and another one"));
    versioned_fleet fleet({ .partitionable = true });
    startOldEngines(fleet);
    std::this_thread::sleep_for(historyTime);
    int leader = fleet.platform.findLeader();
    REQUIRE(leader != 0);
    std::vector<std::string> cutFrom;
    for (int n = 1; n <= fleet.platform.controls(); ++n) {
        if (fromAll || n == leader || n == leader % 3 + 1)
            cutFrom.push_back(fleet.platform.controlIp(n));
    }
    fleet.platform.partitionEntry(lateEntry, mode, cutFrom);
    for (int n = 4; n <= 7; ++n)
        fleet.startEngine(n, "v2");
    fleet.awaitEngines(otherEntries);
    auto streams = beginStreamsAt(fleet, "v2", 12);
    REQUIRE(streams.size() == 12);
    takeUpAtLateEntry(fleet, streams);
    checkNotMixed(fleet, streams);
    fleet.platform.partitionEntry(lateEntry, "");
    takeUpAtLateEntry(fleet, streams);
    checkNotMixed(fleet, streams);
}

TEST_CASE("An entry that missed that engines restarted under their ids with a new version continues no stream there", "[promise]")
{
    bool stands = GENERATE(true, false);
    INFO("stands still " << stands);
    versioned_fleet fleet({ .partitionable = true });
    startOldEngines(fleet);
    auto streams = beginStreamsAt(fleet, "v1", 12);
    REQUIRE(streams.size() == 12);
    std::vector<std::string> cutFrom;
    for (int n = 1; n <= fleet.platform.controls(); ++n)
        cutFrom.push_back(fleet.platform.controlIp(n));
    if (stands)
        fleet.platform.entry(lateEntry).signal(SIGSTOP);
    else
        fleet.platform.partitionEntry(lateEntry, "hang", cutFrom);
    fleet.startEngine(2, "v2");
    fleet.startEngine(4, "v2");
    fleet.awaitEngines(otherEntries);
    auto later = beginStreamsAt(fleet, "v2", 12);
    REQUIRE(later.size() == 12);
    streams.insert(streams.end(), later.begin(), later.end());
    takeUpAtLateEntry(fleet, streams, [&] {
        if (stands)
            fleet.platform.entry(lateEntry).signal(SIGCONT);
        else
            fleet.platform.partitionEntry(lateEntry, "");
    });
    checkNotMixed(fleet, streams);
    takeUpAtLateEntry(fleet, streams);
    checkNotMixed(fleet, streams);
}

// The entry takes the services of its own, outdated configuration for all that can have begun the stream.
TEST_CASE("An entry that stood still while a service of a new version was added to a route continues no stream at another service", "[promise]")
{
    versioned_fleet fleet({ .partitionable = true });
    startOldEngines(fleet);
    std::this_thread::sleep_for(historyTime);
    fleet.platform.entry(lateEntry).signal(SIGSTOP);
    REQUIRE(fleet.platform.submitConfiguration(configurationWithNewService(8)) == 200);
    fleet.startEngine(8, "v2", "prefill", "llm-next");
    for (int n = 4; n <= 7; ++n)
        fleet.startEngine(n, "v2", "decode", "llm-next");
    fleet.awaitEngines(otherEntries);
    auto streams = beginStreamsAt(fleet, "v2", 16);
    REQUIRE(streams.size() == 16);
    takeUpAtLateEntry(fleet, streams, [&] { fleet.platform.entry(lateEntry).signal(SIGCONT); });
    checkNotMixed(fleet, streams);
}

// Only the smaller side of the split has heard of the new version.
TEST_CASE("An entry on one side of a split continues no stream of a version that only the other side knows at another one", "[promise]")
{
    versioned_fleet fleet({ .partitionable = true });
    startOldEngines(fleet);
    std::this_thread::sleep_for(historyTime);
    int leader = fleet.platform.findLeader();
    REQUIRE(leader != 0);
    std::vector<std::string> followers;
    for (int n = 1; n <= fleet.platform.controls(); ++n) {
        if (n != leader)
            followers.push_back(fleet.platform.controlIp(n));
    }
    fleet.platform.partitionEntry(lateEntry, "hang", { fleet.platform.controlIp(leader) });
    fleet.platform.partitionControl(leader, "hang", followers);
    for (int n = 4; n <= 7; ++n) {
        fleet.reportOnlyTo(n, leader);
        fleet.startEngine(n, "v2");
    }
    // None may begin there, which is as good.
    auto streams = beginStreamsAt(fleet, "v2", 16, std::chrono::seconds(3));
    REQUIRE(eventually([&] { return fleet.platform.findLeader() != leader; }, std::chrono::seconds(10)));
    takeUpAtLateEntry(fleet, streams);
    checkNotMixed(fleet, streams);
    // Healed, the new engines are known to all, and their streams go on.
    fleet.platform.partitionControl(leader, "");
    fleet.platform.partitionEntry(lateEntry, "", {});
    for (int n = 4; n <= 7; ++n)
        fleet.reportOnlyTo(n, 0);
    fleet.awaitEngines();
    auto later = beginStreamsAt(fleet, "v2", 4);
    CHECK(later.size() == 4);
    for (auto& stream : later) {
        fleet.takeUp(stream, lateEntry);
        CHECK(stream.isWhole());
    }
    checkNotMixed(fleet, later);
}
