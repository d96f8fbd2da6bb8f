#include "membership/membership.h"
#include <catch2/catch.hpp>
#include <ctime>
#include <functional>
#include <limits>

using namespace pistachiolatch;

namespace {
wire::endpoint_report reportOf(const std::string& id, std::uint64_t bornMs, std::uint64_t sequence, const std::string& address = "10.0.0.1:80")
{
    wire::endpoint_report report;
    report.set_id(id);
    report.set_born_ms(bornMs);
    report.set_sequence(sequence);
    report.set_address(address);
    report.set_service("app");
    return report;
}

wire::endpoint_report withState(wire::endpoint_report report, wire::endpoint_state state)
{
    report.set_state(state);
    return report;
}

const wire::endpoint_row* rowOf(const std::vector<wire::endpoint_row>& rows, const std::string& id)
{
    for (const auto& row : rows) {
        if (row.report().id() == id)
            return &row;
    }
    return nullptr;
}
}

// Guards against sending calls to a leaving endpoint, which would abort them when it stops. The endpoint reports that
// it is serving and then that it is leaving, and the first report arrives last. Reports of an incarnation must be
// ordered by sequence, not by arrival.
TEST_CASE("A delayed report does not reactivate a leaving endpoint")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    CHECK(directory.applyReport(withState(reportOf("a", 100, 2), wire::ENDPOINT_LEAVING), clock.now()));
    CHECK_FALSE(directory.applyReport(reportOf("a", 100, 1), clock.now()));
    CHECK(rowOf(directory.changesSince(0), "a")->report().state() == wire::ENDPOINT_LEAVING);
    CHECK(directory.applyReport(withState(reportOf("a", 100, 0), wire::ENDPOINT_GONE), clock.now()));
    CHECK_FALSE(directory.applyReport(reportOf("a", 100, 9), clock.now()));
    CHECK(directory.applyReport(reportOf("a", 200, 1), clock.now()));
    CHECK(rowOf(directory.changesSince(0), "a")->report().state() == wire::ENDPOINT_SERVING);
}

// Guards against sending calls for one service to an endpoint of another. An endpoint crashes, another one takes over
// its address, and a report of the crashed one arrives late. Of two endpoints with one address, the later started is
// live.
TEST_CASE("An address belongs to the endpoint that started last")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    directory.applyReport(reportOf("old", 100, 5), clock.now());
    CHECK(directory.applyReport(reportOf("new", 300, 1), clock.now()));
    CHECK(rowOf(directory.changesSince(0), "old")->report().state() == wire::ENDPOINT_GONE);
    CHECK_FALSE(directory.applyReport(reportOf("ghost", 200, 1), clock.now()));
    CHECK(rowOf(directory.changesSince(0), "ghost") == nullptr);
}

TEST_CASE("A GONE report without incarnation ends the known one, and one of an earlier incarnation is ignored")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    directory.applyReport(reportOf("a", 200, 1), clock.now());
    CHECK_FALSE(directory.applyReport(withState(reportOf("a", 100, 0), wire::ENDPOINT_GONE), clock.now()));
    CHECK(directory.applyReport(withState(reportOf("a", 0, 0), wire::ENDPOINT_GONE), clock.now()));
    CHECK_FALSE(directory.applyReport(reportOf("a", 200, 2), clock.now()));
}

// Guards against calls that wait for an engine which has just crashed and are then refused as it can't be reached. One
// entry fails to connect, and the others keep choosing the engine until its reports time out. What the entry reports
// must hold until the endpoint's next report, which a crashed one doesn't send.
TEST_CASE("An unreachable endpoint is marked silent until its next report")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    directory.applyReport(reportOf("a", 100, 1), clock.now());
    CHECK_FALSE(directory.markUnreachable("a", 99));
    CHECK(directory.markUnreachable("a", 100));
    CHECK_FALSE(directory.markUnreachable("a", 100));
    CHECK(rowOf(directory.changesSince(0), "a")->silent());
    CHECK(directory.applyReport(reportOf("a", 100, 2), clock.now()));
    CHECK_FALSE(rowOf(directory.changesSince(0), "a")->silent());
}

TEST_CASE("A reader gets the changes since its version, including endpoints that became silent")
{
    manual_clock_source clock;
    directory_settings settings;
    endpoint_directory directory(1, settings);
    directory.applyReport(reportOf("a", 100, 1, "10.0.0.1:80"), clock.now());
    directory.applyReport(reportOf("b", 100, 1, "10.0.0.2:80"), clock.now());
    auto seenVersion = directory.version();
    clock.advance(settings.silentAfter / 2);
    CHECK_FALSE(directory.applyReport(reportOf("a", 100, 2, "10.0.0.1:80"), clock.now()));
    CHECK(directory.changesSince(seenVersion).empty());
    clock.advance(settings.silentAfter / 2 + milliseconds(1));
    CHECK(directory.expire(clock.now()));
    auto rows = directory.changesSince(seenVersion);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].report().id() == "b");
    CHECK(rows[0].silent());
    CHECK(directory.applyReport(reportOf("b", 100, 2, "10.0.0.2:80"), clock.now()));
    CHECK_FALSE(rowOf(directory.changesSince(seenVersion), "b")->silent());
}

// Guards against sending a call to an engine seconds after it announced its shutdown, which would abort the call. An
// engine starts during a network partition. Its GONE report, which names no incarnation, arrives before its first
// reports, which are delayed until the partition heals. A GONE report without incarnation must end every incarnation
// that started before it, even one that is not known yet.
TEST_CASE("Delayed reports don't override a GONE report without incarnation")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    auto known = GENERATE(false, true);
    if (known)
        directory.applyReport(reportOf("d1", 10, 1), clock.now());
    auto goneReport = reportOf("d1", 0, 0);
    goneReport.set_state(wire::ENDPOINT_GONE);
    CHECK(directory.applyReport(goneReport, clock.now()));
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        clock.advance(milliseconds(900));
        CHECK_FALSE(directory.applyReport(reportOf("d1", 20, sequence), clock.now()));
    }
    CHECK(directory.changesSince(0).front().report().state() == wire::ENDPOINT_GONE);
}

// Guards against ignoring an engine that restarted under the same name after a GONE report without incarnation. An
// engine that keeps reporting for longer than reports can be delayed is alive. A GONE report that names its incarnation
// must not delay a later one.
TEST_CASE("A restarted endpoint is used once it keeps reporting")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    directory.applyReport(reportOf("d1", 10, 1), clock.now());
    auto goneReport = reportOf("d1", 0, 0);
    goneReport.set_state(wire::ENDPOINT_GONE);
    directory.applyReport(goneReport, clock.now());
    clock.advance(milliseconds(1000));
    directory.applyReport(reportOf("d1", 20, 1), clock.now());
    clock.advance(directory_settings {}.restartConfirmation);
    CHECK(directory.applyReport(reportOf("d1", 20, 4), clock.now()));
    CHECK(directory.changesSince(0).front().report().state() == wire::ENDPOINT_SERVING);
    goneReport.set_born_ms(20);
    CHECK(directory.applyReport(goneReport, clock.now()));
    CHECK(directory.applyReport(reportOf("d1", 30, 1), clock.now()));
}

namespace {
/// Processor time of one heartbeat, and of one request for changes by a reader that is up to date.
struct directory_cost {
    double report = 0;
    double request = 0;
};

directory_cost measureCost(int endpoints)
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    auto report = [&](int i, std::uint64_t sequence) {
        directory.applyReport(reportOf("e" + std::to_string(i), 1, sequence, "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200) + ":80"), clock.now());
    };
    auto processorTime = [](const std::function<void()>& work) {
        auto begin = std::clock();
        work();
        return static_cast<double>(std::clock() - begin);
    };
    for (int i = 0; i < endpoints; ++i)
        report(i, 1);
    constexpr int repetitions = 6000;
    directory_cost cost;
    cost.report = processorTime([&] {
        for (int i = 0; i < repetitions; ++i)
            report(i % endpoints, 2 + static_cast<std::uint64_t>(i / endpoints));
    });
    cost.request = processorTime([&] {
        for (int i = 0; i < repetitions; ++i)
            directory.pageSince(directory.version(), 100);
    });
    return cost;
}
}

// Guards against control processes that are saturated by heartbeats: each walked all endpoints, so that the work grew with
// their square.
TEST_CASE("Heartbeats and requests for changes cost about the same for thirty and three thousand endpoints")
{
    constexpr double maxGrowth = 10;
    auto few = measureCost(30);
    auto many = measureCost(3000);
    CHECK(many.report < maxGrowth * std::max(few.report, 1.0));
    CHECK(many.request < maxGrowth * std::max(few.request, 1000.0));
}

TEST_CASE("An address that moves between endpoints is found under its new owner")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    directory.applyReport(reportOf("a", 1, 1, "10.0.0.1:80"), clock.now());
    directory.applyReport(reportOf("b", 2, 1, "10.0.0.2:80"), clock.now());
    // b moves away, c takes over its former address, then a's.
    directory.applyReport(reportOf("b", 2, 2, "10.0.0.3:80"), clock.now());
    directory.applyReport(reportOf("c", 3, 1, "10.0.0.2:80"), clock.now());
    CHECK(directory.find("b")->report().state() == wire::ENDPOINT_SERVING);
    directory.applyReport(reportOf("c", 3, 2, "10.0.0.1:80"), clock.now());
    CHECK(directory.find("a")->report().state() == wire::ENDPOINT_GONE);
    CHECK(directory.find("b")->report().state() == wire::ENDPOINT_SERVING);
    clock.advance(directory_settings().goneRetention + std::chrono::milliseconds(1));
    directory.applyReport(reportOf("b", 2, 3, "10.0.0.3:80"), clock.now());
    directory.applyReport(reportOf("c", 3, 3, "10.0.0.1:80"), clock.now());
    directory.expire(clock.now());
    CHECK_FALSE(directory.find("a"));
    CHECK(directory.changesSince(0).size() == 2);
}

// Guards against endpoints that are used at full rate although they became cold again while they were cold.
TEST_CASE("An endpoint that stays cold for longer than it said counts as changed")
{
    endpoint_directory directory(1, {});
    time_point now { std::chrono::hours(1) };
    auto report = [&](std::uint64_t sequence, std::uint32_t coldMs) {
        wire::endpoint_report report;
        report.set_id("e");
        report.set_born_ms(1);
        report.set_sequence(sequence);
        report.set_address("10.0.0.1:1");
        report.set_cold_ms(coldMs);
        return directory.applyReport(report, now);
    };
    CHECK(report(1, 3000));
    now += milliseconds(1200);
    CHECK_FALSE(report(2, 1800));
    now += milliseconds(1200);
    CHECK(report(3, 3000));
    now += milliseconds(1200);
    CHECK(report(4, 0));
}

// Guards against a limit that an overtaken statement restores, or that outlives the run of the endpoint that named it.
TEST_CASE("The newest statement of an endpoint's run decides on its limit")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    directory.applyReport(reportOf("a", 100, 1), clock.now());
    wire::endpoint_limit named;
    named.set_id("a");
    named.set_born_ms(100);
    named.set_limited(true);
    named.set_calls_per_second(5);
    named.set_age_ms(500);
    clock.advance(std::chrono::seconds(1));
    CHECK(directory.applyLimit(named, clock.now()));
    CHECK(directory.find("a")->calls_per_second() == 5);
    CHECK_FALSE(directory.applyLimit(named, clock.now()));
    auto withdrawn = named;
    withdrawn.set_limited(false);
    withdrawn.set_age_ms(100);
    CHECK(directory.applyLimit(withdrawn, clock.now()));
    CHECK_FALSE(directory.applyLimit(named, clock.now()));
    CHECK_FALSE(directory.find("a")->limited());
    named.set_age_ms(0);
    CHECK(directory.applyLimit(named, clock.now()));
    CHECK(directory.applyReport(reportOf("a", 100, 2), clock.now()) == false);
    CHECK(directory.find("a")->limited());
    directory.applyReport(reportOf("a", 200, 1), clock.now());
    CHECK_FALSE(directory.find("a")->limited());
    named.set_born_ms(100);
    CHECK_FALSE(directory.applyLimit(named, clock.now()));
}

// Guards against a stream that goes on at an endpoint of another version, or that leaves for too long.
TEST_CASE("A row tells the software version of the endpoint's run and since when the endpoint leaves")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    auto report = reportOf("a", 100, 1);
    report.set_software_version("v1");
    directory.applyReport(report, clock.now());
    CHECK(directory.find("a")->report().software_version() == "v1");
    // A control process of an earlier version passed this report on.
    CHECK_FALSE(directory.applyReport(reportOf("a", 100, 2), clock.now()));
    CHECK(directory.find("a")->report().software_version() == "v1");
    auto leaving = withState(reportOf("a", 100, 3), wire::ENDPOINT_LEAVING);
    directory.applyReport(leaving, clock.now());
    clock.advance(milliseconds(700));
    leaving.set_sequence(4);
    directory.applyReport(leaving, clock.now());
    clock.advance(milliseconds(300));
    CHECK(directory.leavingFor("a", clock.now()) == milliseconds(1000));
    auto restarted = reportOf("a", 200, 1);
    restarted.set_software_version("v2");
    CHECK(directory.applyReport(restarted, clock.now()));
    CHECK(directory.find("a")->report().software_version() == "v2");
    CHECK(directory.leavingFor("a", clock.now()) == milliseconds(0));
    CHECK(directory.leavingFor("b", clock.now()) == milliseconds(0));
}

// Guards against a leader that forgets a limit because entries tell of it before the endpoint reports.
TEST_CASE("A limit that is stated before the first report of its run holds from that report on")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    wire::endpoint_limit named;
    named.set_id("a");
    named.set_born_ms(100);
    named.set_limited(true);
    named.set_calls_per_second(5);
    CHECK_FALSE(directory.applyLimit(named, clock.now()));
    directory.applyReport(reportOf("a", 100, 1), clock.now());
    CHECK(directory.find("a")->limited());
    named.set_born_ms(200);
    CHECK_FALSE(directory.applyLimit(named, clock.now()));
    directory.applyReport(reportOf("a", 200, 1), clock.now());
    CHECK(directory.find("a")->limited());
    directory.applyReport(reportOf("a", 300, 1), clock.now());
    CHECK_FALSE(directory.find("a")->limited());
}

namespace {
constexpr auto largestNumber = std::numeric_limits<std::uint64_t>::max();
/// An endpoint that goes on reporting is back after this time. It is silent for others after 4 s.
constexpr std::chrono::seconds returnBound { 12 };

/// An endpoint that reports once a second.
class reporting_endpoint {
public:
    reporting_endpoint(endpoint_directory& directory, manual_clock_source& clock, wire::endpoint_report first)
        : m_directory(directory)
        , m_clock(clock)
        , m_report(std::move(first))
    {
    }

    void report()
    {
        m_clock.advance(std::chrono::seconds(1));
        m_directory.applyReport(m_report, m_clock.now());
        m_report.set_sequence(m_report.sequence() + 1);
        m_directory.expire(m_clock.now());
    }

    /// Whether the directory has the endpoint as it reports itself.
    bool isServing() const
    {
        const auto* row = m_directory.find(m_report.id());
        return row && !row->silent() && row->report().state() == wire::ENDPOINT_SERVING && row->report().born_ms() == m_report.born_ms()
            && row->report().service() == m_report.service() && row->report().address() == m_report.address();
    }

    /// The time until the directory has the endpoint as it reports itself, at most a minute and a half.
    std::chrono::seconds timeUntilServing()
    {
        std::chrono::seconds waited { 0 };
        while (!isServing() && waited < std::chrono::seconds(90)) {
            report();
            ++waited;
        }
        return waited;
    }

private:
    endpoint_directory& m_directory;
    manual_clock_source& m_clock;
    wire::endpoint_report m_report;
};
}

// Guards against endpoints that are lost for a minute, or for good, after one report of another writer under their id.
TEST_CASE("An endpoint that keeps reporting returns after a report under its id that claims to be later")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    reporting_endpoint endpoint(directory, clock, reportOf("a", GENERATE(0, 100), 1));
    endpoint.report();
    endpoint.report();
    REQUIRE(endpoint.isServing());
    auto odd = directory.find("a")->report();
    SECTION("a sequence that no later one exceeds")
    {
        odd.set_sequence(largestNumber);
        odd.set_address("10.0.0.9:80");
    }
    SECTION("a sequence that no later one exceeds, and it leaves")
    {
        odd.set_sequence(largestNumber);
        odd.set_state(wire::ENDPOINT_LEAVING);
    }
    SECTION("a start in the far future")
    {
        odd.set_born_ms(largestNumber);
        odd.set_service("other");
    }
    SECTION("a shutdown of a run in the far future")
    {
        odd.set_born_ms(largestNumber);
        odd.set_state(wire::ENDPOINT_GONE);
    }
    directory.applyReport(odd, clock.now());
    REQUIRE_FALSE(endpoint.isServing());
    CHECK(endpoint.timeUntilServing() <= returnBound);
}

// Guards against endpoints that are lost because another writer claimed their address once.
TEST_CASE("An endpoint that keeps reporting has its address again after one report of another that claims it")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    reporting_endpoint endpoint(directory, clock, reportOf("a", 100, 1));
    bool isKnownBefore = GENERATE(true, false);
    if (isKnownBefore)
        endpoint.report();
    directory.applyReport(reportOf("odd", GENERATE(std::uint64_t(101), largestNumber), largestNumber), clock.now());
    CHECK(endpoint.timeUntilServing() <= returnBound);
    REQUIRE(directory.find("odd"));
    CHECK(directory.find("odd")->report().state() == wire::ENDPOINT_GONE);
}

// Guards against calls to an endpoint of another service than the endpoint's: its run has only one.
TEST_CASE("A report that names another service than those of its run before changes nothing")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    reporting_endpoint endpoint(directory, clock, reportOf("a", 100, 1));
    endpoint.report();
    auto odd = directory.find("a")->report();
    odd.set_service("other");
    odd.set_sequence(GENERATE(std::uint64_t(2), largestNumber));
    CHECK_FALSE(directory.applyReport(odd, clock.now()));
    CHECK(endpoint.isServing());
    for (int i = 0; i < 20; ++i) {
        endpoint.report();
        CHECK(endpoint.isServing());
        odd.set_sequence(odd.sequence() + 1);
        directory.applyReport(odd, clock.now());
    }
    CHECK(endpoint.isServing());
}

// Guards against calls to an endpoint that has ended, after reports that arrive late.
TEST_CASE("Late reports of an earlier run do not replace a later one")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    reporting_endpoint earlier(directory, clock, reportOf("a", 100, 1));
    earlier.report();
    SECTION("for as long as the later one reports")
    {
        reporting_endpoint later(directory, clock, reportOf("a", 200, 1, "10.0.0.2:80"));
        for (int i = 0; i < 60; ++i) {
            later.report();
            CHECK(later.isServing());
            earlier.report();
            CHECK(later.isServing());
        }
    }
    SECTION("for as long as another endpoint reports under the address")
    {
        reporting_endpoint later(directory, clock, reportOf("b", 200, 1));
        for (int i = 0; i < 60; ++i) {
            later.report();
            earlier.report();
            CHECK_FALSE(earlier.isServing());
            CHECK(later.isServing());
        }
    }
    SECTION("within the time by which reports are late")
    {
        directory.applyReport(reportOf("a", 200, 1, "10.0.0.2:80"), clock.now());
        for (int i = 0; i < 5; ++i) {
            earlier.report();
            CHECK_FALSE(earlier.isServing());
        }
    }
    SECTION("in any order of their sequences")
    {
        directory.applyReport(reportOf("a", 200, 1, "10.0.0.2:80"), clock.now());
        for (std::uint64_t i = 0; i < 20; ++i) {
            clock.advance(std::chrono::seconds(1));
            directory.applyReport(reportOf("a", 100, 40 - i), clock.now());
            CHECK_FALSE(earlier.isServing());
        }
    }
    SECTION("whose own shutdown was reported")
    {
        directory.applyReport(withState(reportOf("a", 100, 0), wire::ENDPOINT_GONE), clock.now());
        for (int i = 0; i < 50; ++i) {
            earlier.report();
            CHECK_FALSE(earlier.isServing());
        }
    }
}
