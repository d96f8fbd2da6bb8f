// Guards against streams whose events come from endpoints of two software versions, and against streams that can't go on
// although endpoints of their version serve.
#include "Platform/versioned_fleet.h"
#include <atomic>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr int entryCount = versionedEntries;

/// Two engines of one version and four of another.
void startBothVersions(versioned_fleet& fleet)
{
    for (int n = 2; n <= 3; ++n)
        fleet.startEngine(n, "v1");
    for (int n = 4; n <= 7; ++n)
        fleet.startEngine(n, "v2");
    fleet.awaitEngines();
}

/// Begins streams at all entries in turn.
std::vector<caller_stream> beginStreams(versioned_fleet& fleet, int count)
{
    std::vector<caller_stream> streams;
    for (int i = 0; i < count; ++i) {
        streams.push_back(fleet.beginStream(i % entryCount + 1, 2));
        REQUIRE(streams.back().versions().size() == 1);
    }
    return streams;
}
}

TEST_CASE("A stream that its caller takes up at another entry goes on at its version", "[promise]")
{
    versioned_fleet fleet;
    startBothVersions(fleet);
    auto streams = beginStreams(fleet, 24);
    for (auto& stream : streams) {
        // A take-up that breaks off names the first attempt again.
        fleet.takeUp(stream, fleet.otherEntry(stream.entry));
        CHECK(stream.isWhole());
    }
    checkNotMixed(fleet, streams);
    CHECK(fleet.witness.continuations() >= 24);
}

TEST_CASE("A stream that breaks within its answer goes on at its version", "[promise]")
{
    versioned_fleet fleet;
    startBothVersions(fleet);
    for (int n = 2; n <= 7; ++n)
        fleet.engine(n).setMode(fake_endpoint_mode::AbortMidStream);
    std::vector<caller_stream> streams;
    // Each takes two retries, its prompt and its stream; more would use up the entries' retry budgets.
    for (int i = 0; i < 12; ++i) {
        streams.push_back(fleet.readStream(i % entryCount + 1));
        INFO(streams.back().status << " " << streams.back().events << fleet.entryLogLines(streams.back()));
        CHECK(streams.back().isWhole());
        // Engines that fail a stream are avoided for a while; this test isn't about them.
        std::this_thread::sleep_for(milliseconds(600));
    }
    checkNotMixed(fleet, streams);
    CHECK(fleet.witness.continuations() > 0);
}

TEST_CASE("A stream that stays at its engine is taken up at its version", "[promise]")
{
    versioned_fleet fleet;
    fleet.startEngine(2, "v1");
    fleet.engine(2).setMode(fake_endpoint_mode::StallBeforeFirstEvent);
    fleet.awaitEngines();
    caller_stream stream;
    std::thread caller([&] { stream = fleet.beginStream(1, 2); });
    REQUIRE(eventually([&] { return !fleet.engine(2).runCounts().empty(); }));
    fleet.startEngine(3, "v2");
    fleet.engine(3).setDelay(milliseconds(1500));
    // The entry asks the other engine, which has the request and no answer yet, when the stream goes on.
    bool asked = eventually([&] { return !fleet.engine(3).runCounts().empty(); }, std::chrono::seconds(3));
    fleet.engine(2).setMode(fake_endpoint_mode::Normal);
    caller.join();
    INFO(fleet.entryLogLines(stream) << stream.events);
    REQUIRE(asked);
    REQUIRE(stream.versions() == std::set<std::string> { "v1" });
    fleet.takeUp(stream, 2);
    INFO(stream.events);
    CHECK(stream.versions() == std::set<std::string> { "v1" });
    CHECK(stream.isWhole());
}

TEST_CASE("A stalled stream moves only to an engine of its version", "[promise]")
{
    versioned_fleet fleet;
    startBothVersions(fleet);
    for (int n = 2; n <= 7; ++n)
        fleet.engine(n).setMode(fake_endpoint_mode::StallMidStream);
    std::vector<caller_stream> streams(6);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < streams.size(); ++i)
        callers.emplace_back([&, i] { streams[i] = fleet.readStream(static_cast<int>(i) % entryCount + 1); });
    for (auto& caller : callers)
        caller.join();
    checkNotMixed(fleet, streams);
    CHECK(fleet.witness.continuations() > 0);
}

TEST_CASE("A stream goes on at its version although the entry that began it, the leader, or both were just killed", "[promise]")
{
    bool killEntry = GENERATE(true, false);
    bool killLeader = GENERATE(true, false);
    if (!killEntry && !killLeader)
        return;
    INFO("entry killed " << killEntry << ", leader killed " << killLeader);
    versioned_fleet fleet;
    startBothVersions(fleet);
    std::vector<caller_stream> streams;
    for (int i = 0; i < 12; ++i)
        streams.push_back(fleet.beginStream(1, 2));
    int leader = fleet.platform.findLeader();
    REQUIRE(leader != 0);
    if (killLeader)
        fleet.platform.control(leader).kill();
    if (killEntry)
        fleet.platform.entry(1).kill();
    // Callers come back a little later, each to another entry, and wait for as long as they are told.
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        callers.emplace_back([&, i] {
            for (int attempt = 0; attempt < 3 && !streams[i].isWhole(); ++attempt) {
                auto answer = fleet.takeUp(streams[i], 2 + static_cast<int>(i % 2));
                auto retryAfter = answer.header("Retry-After");
                std::this_thread::sleep_for(std::chrono::duration<double>(retryAfter.empty() ? 0.1 : std::stod(retryAfter)));
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    auto whole = std::count_if(streams.begin(), streams.end(), [](const auto& stream) { return stream.isWhole(); });
    CHECK(whole >= 9);
    checkNotMixed(fleet, streams);
}

TEST_CASE("An entry that can't ask where a stream began refuses it and doesn't guess", "[promise]")
{
    versioned_fleet fleet;
    startBothVersions(fleet);
    auto streams = beginStreams(fleet, 12);
    for (int n = 1; n <= 3; ++n)
        fleet.platform.control(n).signal(SIGSTOP);
    for (std::size_t i = 0; i < streams.size(); ++i) {
        auto& stream = streams[i];
        bool atFirstEntry = i % 2 == 0;
        auto sentAt = std::chrono::steady_clock::now();
        auto answer = fleet.takeUp(stream, atFirstEntry ? stream.entry : fleet.otherEntry(stream.entry));
        INFO("at the first entry " << atFirstEntry << ": " << answer.status << " " << answer.body);
        if (stream.isWhole())
            continue;
        // The entry that began the stream knows its version.
        CHECK_FALSE(atFirstEntry);
        CHECK(answer.status == 503);
        CHECK_FALSE(answer.header("Retry-After").empty());
        CHECK(std::chrono::steady_clock::now() - sentAt < std::chrono::milliseconds(1000));
    }
    for (int n = 1; n <= 3; ++n)
        fleet.platform.control(n).signal(SIGCONT);
    checkNotMixed(fleet, streams);
}

TEST_CASE("A stream isn't continued by an engine that restarted under its id with another version", "[promise]")
{
    versioned_fleet fleet;
    fleet.startEngine(2, "v1");
    fleet.startEngine(3, "v1");
    fleet.awaitEngines();
    auto streams = beginStreams(fleet, 8);
    // Nobody hears of the new version before the streams come back.
    fleet.holdReports(true);
    std::this_thread::sleep_for(milliseconds(150));
    fleet.startEngine(2, "v2");
    for (auto& stream : streams) {
        for (int attempt = 0; attempt < 2 && !stream.isWhole(); ++attempt)
            fleet.takeUp(stream, fleet.otherEntry(stream.entry));
        CHECK(stream.isWhole());
    }
    checkNotMixed(fleet, streams);
    // What begins at the restarted engine before its reports arrive doesn't go on at the old version either.
    auto later = beginStreams(fleet, 8);
    for (auto& stream : later)
        fleet.takeUp(stream, fleet.otherEntry(stream.entry));
    fleet.holdReports(false);
    checkNotMixed(fleet, later);
}

TEST_CASE("A stream goes on at engines that are about to leave while no other has its version", "[promise]")
{
    versioned_fleet fleet;
    startBothVersions(fleet);
    std::vector<caller_stream> streams;
    while (streams.size() < 4) {
        auto stream = fleet.beginStream(static_cast<int>(streams.size()) % entryCount + 1, 2);
        if (stream.versions() == std::set<std::string> { "v1" })
            streams.push_back(stream);
    }
    fleet.holdReports(true);
    for (int n = 2; n <= 3; ++n)
        REQUIRE(fleet.platform.sendReport(fleet.engine(n), "draining").status == 200);
    auto leavingSince = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.takeUp(streams[i], fleet.otherEntry(streams[i].entry));
        CHECK(streams[i].isWhole());
    }
    // New streams go elsewhere at once, and nothing reaches a leaving engine beyond the time for which it serves.
    CHECK(fleet.readStream(1).versions() == std::set<std::string> { "v2" });
    std::this_thread::sleep_until(leavingSince + milliseconds(2000));
    CHECK(fleet.takeUp(streams[3], 1).status == 503);
    checkNotMixed(fleet, streams);
}

TEST_CASE("A stream whose version no engine has is refused at once", "[promise]")
{
    versioned_fleet fleet;
    fleet.startEngine(2, "v1");
    fleet.awaitEngines();
    auto streams = beginStreams(fleet, 4);
    fleet.stopEngine(2);
    fleet.startEngine(2, "v2");
    fleet.startEngine(3, "v2");
    fleet.awaitEngines();
    for (auto& stream : streams) {
        auto sentAt = std::chrono::steady_clock::now();
        auto answer = fleet.takeUp(stream, fleet.otherEntry(stream.entry));
        CHECK(answer.status == 503);
        CHECK(std::chrono::steady_clock::now() - sentAt < std::chrono::milliseconds(500));
    }
    checkNotMixed(fleet, streams);
}

TEST_CASE("Streams go on while new ones crowd the engines of their version", "[promise]")
{
    constexpr std::size_t streamCount = 24;
    versioned_fleet fleet;
    fleet.setDelay(milliseconds(40));
    fleet.startEngine(2, "v1");
    fleet.startEngine(3, "v1");
    fleet.startEngine(4, "v2");
    fleet.awaitEngines();
    std::atomic<bool> stopped { false };
    std::atomic<int> begun { 0 };
    std::atomic<int> tried { 0 };
    std::vector<std::thread> crowd;
    for (int i = 0; i < 24; ++i) {
        crowd.emplace_back([&, i] {
            while (!stopped) {
                ++tried;
                begun += fleet.readStream(i % entryCount + 1).isWhole() ? 1 : 0;
                std::this_thread::sleep_for(milliseconds(100));
            }
        });
    }
    std::vector<caller_stream> streams;
    auto until = std::chrono::steady_clock::now() + std::chrono::seconds(40);
    for (int i = 0; streams.size() < streamCount && std::chrono::steady_clock::now() < until; ++i) {
        auto stream = fleet.beginStream(i % entryCount + 1, 2);
        if (stream.versions() == std::set<std::string> { "v1" }) {
            fleet.takeUp(stream, fleet.otherEntry(stream.entry));
            streams.push_back(stream);
        }
    }
    stopped = true;
    for (auto& caller : crowd)
        caller.join();
    auto continued = std::count_if(streams.begin(), streams.end(), [](const auto& stream) { return stream.isWhole(); });
    INFO("new streams " << begun << " of " << tried << ", continued " << continued << " of " << streams.size());
    REQUIRE(streams.size() == streamCount);
    // The crowd must be one: otherwise the check below says little.
    CHECK(begun < tried);
    CHECK(static_cast<double>(continued) / streamCount >= 0.5 * begun / tried);
    checkNotMixed(fleet, streams);
}

TEST_CASE("A take-up that doesn't name its first attempt goes on only where there is one version", "[promise]")
{
    bool twoVersions = GENERATE(false, true);
    versioned_fleet fleet;
    fleet.startEngine(2, "v1");
    fleet.startEngine(3, "v1");
    if (twoVersions)
        fleet.startEngine(4, "v2");
    fleet.awaitEngines();
    // Longer than a stream may last: only then no version can have gone unseen.
    std::this_thread::sleep_for(std::chrono::seconds(7));
    auto streams = beginStreams(fleet, 6);
    const http_headers withoutOrigin { { "X-Client", "older" } };
    for (auto& stream : streams) {
        auto answer = fleet.takeUp(stream, fleet.otherEntry(stream.entry), withoutOrigin);
        CHECK(answer.status == (twoVersions ? 503 : 200));
        CHECK(stream.isWhole() == !twoVersions);
        CHECK(stream.versions().size() == 1);
    }
}

TEST_CASE("Take-ups that name no stream of their caller are refused", "[promise]")
{
    versioned_fleet fleet;
    startBothVersions(fleet);
    auto stream = fleet.beginStream(1, 2);
    auto other = fleet.beginStream(1, 2);
    using names = http_headers;
    auto extra = GENERATE_COPY(names { { platform_names::resumes, "id-unknown" } }, names { { platform_names::resumes, std::string(4000, 'x') } },
        names { { platform_names::resumes, "" } }, names { { platform_names::resumes, stream.id + "," + other.id } });
    INFO("names " << extra.front().second);
    auto before = stream.events;
    CHECK(fleet.takeUp(stream, 2, extra).status == 503);
    CHECK(stream.events == before);
    CHECK(fleet.witness.continuations() == 0);
}

TEST_CASE("Streams that their callers take up after all entries were killed at once go on at their version", "[promise]")
{
    enum class control_loss { None,
        Leader,
        All };
    auto lost = GENERATE(control_loss::None, control_loss::Leader, control_loss::All);
    bool olderLeft = GENERATE(false, true);
    INFO("control lost " << static_cast<int>(lost) << ", older version left " << olderLeft);
    versioned_fleet fleet;
    startBothVersions(fleet);
    auto streams = beginStreams(fleet, 18);
    int leader = fleet.platform.findLeader();
    REQUIRE(leader != 0);
    for (int n = 1; n <= fleet.platform.controls(); ++n) {
        if (lost == control_loss::All || (lost == control_loss::Leader && n == leader))
            fleet.platform.control(n).kill();
    }
    if (olderLeft) {
        fleet.stopEngine(2);
        fleet.stopEngine(3);
    }
    fleet.restartEntries();
    for (int n = 1; lost == control_loss::All && n <= fleet.platform.controls(); ++n)
        fleet.platform.startControl(n, false);
    // Callers come back while the entries start, every third one without a name for its stream.
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        callers.emplace_back([&, i] {
            auto until = std::chrono::steady_clock::now() + callerDeadline;
            while (!streams[i].isWhole() && std::chrono::steady_clock::now() < until) {
                fleet.takeUp(streams[i], fleet.otherEntry(streams[i].entry), i % 3 == 0 ? http_headers { { "X-Client", "older" } } : http_headers {});
                std::this_thread::sleep_for(milliseconds(100));
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    checkNotMixed(fleet, streams);
    auto whole = std::count_if(streams.begin(), streams.end(), [](const auto& stream) { return stream.isWhole(); });
    INFO(whole << " of " << streams.size() << " ended");
    if (lost != control_loss::All && !olderLeft)
        CHECK(whole >= 10);
}

// Guards against a guess from the services that a route has now, while another service began the stream.
TEST_CASE("A take-up that names no stream isn't joined from two services after its route moved", "[promise]")
{
    versioned_fleet fleet;
    auto moved = std::regex_replace(exampleConfiguration(8, 100'000'000), std::regex("\"llm\""), "\"llm-next\"");
    fleet.startEngine(2, "v1");
    fleet.startEngine(3, "v1");
    fleet.startEngine(4, "v2", "decode", "llm-next");
    fleet.startEngine(5, "v2", "decode", "llm-next");
    fleet.awaitEngines();
    std::this_thread::sleep_for(std::chrono::seconds(7));
    auto streams = beginStreams(fleet, 6);
    REQUIRE(fleet.platform.submitConfiguration(moved) == 200);
    fleet.restartEntries();
    fleet.awaitReadyEntries();
    const http_headers withoutOrigin { { "X-Client", "older" } };
    for (auto& stream : streams) {
        CHECK(fleet.takeUp(stream, fleet.otherEntry(stream.entry), withoutOrigin).status == 503);
        CHECK(stream.versions().size() == 1);
    }
    // No stream of the service before lasts longer, also at an entry that used the replaced configuration as long as it may.
    std::this_thread::sleep_for(std::chrono::seconds(17));
    auto later = fleet.beginStream(1, 2);
    CHECK(fleet.takeUp(later, 2, withoutOrigin).status == 200);
    CHECK(later.versions() == std::set<std::string> { "v2" });
}

// Guards against take-ups of a version that is gone that use up the rate of the streams that can go on.
TEST_CASE("A take-up that no engine got costs its organisation nothing", "[promise]")
{
    constexpr std::uint64_t tokensPerSecond = 2000;
    versioned_fleet fleet({ .tokensPerSecond = tokensPerSecond });
    fleet.startEngine(2, "v1");
    fleet.awaitEngines();
    auto streams = beginStreams(fleet, 2);
    fleet.stopEngine(2);
    fleet.startEngine(2, "v2");
    fleet.awaitEngines();
    for (int i = 0; i < 60; ++i) {
        auto answer = fleet.takeUp(streams[i % 2], i % entryCount + 1);
        INFO(answer.status << " " << answer.body);
        CHECK(answer.status == 503);
    }
    CHECK(fleet.readStream(1).status == 200);
}

// Guards against a crowd of new calls that uses up the rate before the streams that broke, so that these end unfinished.
TEST_CASE("Streams go on after all entries were killed while new calls exceed their organisation's rate", "[promise]")
{
    constexpr std::uint64_t tokensPerSecond = 12000;
    versioned_fleet fleet({ .tokensPerSecond = tokensPerSecond });
    for (int n = 2; n <= 5; ++n)
        fleet.startEngine(n, "v1");
    fleet.awaitEngines();
    std::vector<caller_stream> streams;
    for (int i = 0; i < 12; ++i) {
        streams.push_back(fleet.beginStream(i % entryCount + 1, 2));
        REQUIRE(streams.back().status == 200);
        std::this_thread::sleep_for(milliseconds(100));
    }
    fleet.restartEntries();
    fleet.awaitReadyEntries();
    std::atomic<bool> stopped { false };
    std::atomic<int> overRate { 0 };
    std::vector<std::thread> crowd;
    for (int i = 0; i < 24; ++i) {
        crowd.emplace_back([&, i] {
            while (!stopped) {
                overRate += fleet.readStream(i % entryCount + 1).status == 429 ? 1 : 0;
                std::this_thread::sleep_for(milliseconds(20));
            }
        });
    }
    // The crowd has used up the burst.
    bool isOver = eventually([&] { return overRate > 20; });
    for (auto& stream : streams) {
        auto answer = fleet.takeUp(stream, fleet.otherEntry(stream.entry));
        CHECK(answer.status != 429);
    }
    stopped = true;
    for (auto& caller : crowd)
        caller.join();
    CHECK(isOver);
    checkNotMixed(fleet, streams);
}
