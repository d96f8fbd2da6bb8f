#include "membership/membership.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
wire::endpoint_report reportOf(const std::string& id, std::uint64_t born, std::uint64_t sequence, const std::string& address = "10.0.0.1:80")
{
    wire::endpoint_report report;
    report.set_id(id);
    report.set_born_ms(born);
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

// Callers see: calls go to an endpoint that said it was leaving, and are cut off when it goes.
// Order: the endpoint reports serving, then leaving; the first report is held up on the way and arrives last.
// Why: reports are ordered by the sequence of one run, not by their arrival.
TEST_CASE("A report that comes late does not bring a leaving endpoint back")
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

// Callers see: calls for one service reach an endpoint of another.
// Order: an endpoint crashes, another takes its address; a report of the crashed one arrives late.
// Why: of two endpoints at one address the one that was started later is there; the other is gone.
TEST_CASE("An address belongs to the endpoint that was started last")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    directory.applyReport(reportOf("old", 100, 5), clock.now());
    CHECK(directory.applyReport(reportOf("new", 300, 1), clock.now()));
    CHECK(rowOf(directory.changesSince(0), "old")->report().state() == wire::ENDPOINT_GONE);
    CHECK_FALSE(directory.applyReport(reportOf("ghost", 200, 1), clock.now()));
    CHECK(rowOf(directory.changesSince(0), "ghost") == nullptr);
}

TEST_CASE("A farewell that names no run ends the known one, and one of an earlier run ends nothing")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    directory.applyReport(reportOf("a", 200, 1), clock.now());
    CHECK_FALSE(directory.applyReport(withState(reportOf("a", 100, 0), wire::ENDPOINT_GONE), clock.now()));
    CHECK(directory.applyReport(withState(reportOf("a", 0, 0), wire::ENDPOINT_GONE), clock.now()));
    CHECK_FALSE(directory.applyReport(reportOf("a", 200, 2), clock.now()));
}

// Callers see: calls wait for an engine that crashed a second ago, and are refused when it can't be reached.
// Order: the engine crashes; one entry can't connect; the others go on choosing it until its silence shows.
// Why: the entry's word counts until the endpoint's next report, which a crashed one doesn't send.
TEST_CASE("An endpoint that can't be reached counts as silent until its next report")
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

TEST_CASE("A reader gets what changed since its version, and silence is a change")
{
    manual_clock_source clock;
    directory_settings settings;
    endpoint_directory directory(1, settings);
    directory.applyReport(reportOf("a", 100, 1, "10.0.0.1:80"), clock.now());
    directory.applyReport(reportOf("b", 100, 1, "10.0.0.2:80"), clock.now());
    auto seen = directory.version();
    clock.advance(settings.silentAfter / 2);
    CHECK_FALSE(directory.applyReport(reportOf("a", 100, 2, "10.0.0.1:80"), clock.now()));
    CHECK(directory.changesSince(seen).empty());
    clock.advance(settings.silentAfter / 2 + milliseconds(1));
    CHECK(directory.expire(clock.now()));
    auto rows = directory.changesSince(seen);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].report().id() == "b");
    CHECK(rows[0].silent());
    CHECK(directory.applyReport(reportOf("b", 100, 2, "10.0.0.2:80"), clock.now()));
    CHECK_FALSE(rowOf(directory.changesSince(seen), "b")->silent());
}

// Callers see: a call reaches an engine seconds after it said that it leaves, and is cut off when it ends.
// Order: an engine starts behind a cut; its first reports are held up; its farewell, which names no run, arrives first;
// the reports follow when the cut heals.
// Why: a farewell without a run ends every run that began before it, also one not heard of yet.
TEST_CASE("A farewell that names no run holds against reports that were held up on the way")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    auto known = GENERATE(false, true);
    if (known)
        directory.applyReport(reportOf("d1", 10, 1), clock.now());
    auto farewell = reportOf("d1", 0, 0);
    farewell.set_state(wire::ENDPOINT_GONE);
    CHECK(directory.applyReport(farewell, clock.now()));
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        clock.advance(milliseconds(900));
        CHECK_FALSE(directory.applyReport(reportOf("d1", 20, sequence), clock.now()));
    }
    CHECK(directory.changesSince(0).front().report().state() == wire::ENDPOINT_GONE);
}

// Callers see: an engine that was started again under its name stays unused.
// Order: an engine says farewell without naming its run, ends, and starts again under the same name.
// Why: what goes on reporting for longer than reports are held up is alive; a run named by its farewell hinders no later one.
TEST_CASE("A new run under an old name is used once it goes on reporting")
{
    manual_clock_source clock;
    endpoint_directory directory(1, {});
    directory.applyReport(reportOf("d1", 10, 1), clock.now());
    auto farewell = reportOf("d1", 0, 0);
    farewell.set_state(wire::ENDPOINT_GONE);
    directory.applyReport(farewell, clock.now());
    clock.advance(milliseconds(1000));
    directory.applyReport(reportOf("d1", 20, 1), clock.now());
    clock.advance(directory_settings {}.restartConfirmation);
    CHECK(directory.applyReport(reportOf("d1", 20, 4), clock.now()));
    CHECK(directory.changesSince(0).front().report().state() == wire::ENDPOINT_SERVING);
    farewell.set_born_ms(20);
    CHECK(directory.applyReport(farewell, clock.now()));
    CHECK(directory.applyReport(reportOf("d1", 30, 1), clock.now()));
}
