#include "scheduling/organisation_waits.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
const time_point start = time_point {} + std::chrono::hours(1);
constexpr double tolerance = 0.001;

void recordCalls(organisation_waits& waits, const std::string& organisation, int placed, int refused, milliseconds waited, time_point at = start)
{
    for (int i = 0; i < placed; ++i)
        waits.recordPlaced(organisation, waited, at);
    for (int i = 0; i < refused; ++i)
        waits.recordRefused(organisation, at);
}
}

// Guards against an organisation that is refused more than others without anyone seeing it.
TEST_CASE("The summary names who is served worst and best, and the means over organisations of any size")
{
    organisation_waits waits;
    recordCalls(waits, "large", 900, 100, milliseconds(100));
    recordCalls(waits, "small", 5, 15, milliseconds(400));
    recordCalls(waits, "calm", 10, 0, milliseconds(10));
    auto summary = waits.summary(start);
    CHECK(summary.organisations == 3);
    CHECK(summary.worst == "small");
    CHECK(summary.best == "calm");
    CHECK(std::abs(summary.worstRefusedShare - 0.75) < tolerance);
    CHECK(std::abs(summary.meanRefusedShare - 0.85 / 3) < tolerance);
    CHECK(summary.bestRefusedShare == 0);
    CHECK(summary.worstWait == milliseconds(400));
    CHECK(summary.meanWait == milliseconds(170));
}

// Guards against a best organisation that is none because nobody is refused.
TEST_CASE("Without refusals, the waits decide who is served worst")
{
    organisation_waits waits;
    recordCalls(waits, "a", 10, 0, milliseconds(30));
    recordCalls(waits, "b", 10, 0, milliseconds(20));
    auto summary = waits.summary(start);
    CHECK(summary.worst == "a");
    CHECK(summary.best == "b");
    CHECK(summary.worstRefusedShare == 0);
}

// Guards against a burst that is reported long after it, and against a single call that counts as an organisation's lot.
TEST_CASE("Calls count less as they age, and few calls say nothing")
{
    organisation_waits waits;
    recordCalls(waits, "a", 0, 100, milliseconds(0));
    recordCalls(waits, "rare", 0, 4, milliseconds(0));
    CHECK(waits.summary(start).organisations == 1);
    auto later = start + organisation_waits::halfLife;
    recordCalls(waits, "a", 50, 0, milliseconds(0), later);
    CHECK(std::abs(waits.summary(later).worstRefusedShare - 0.5) < tolerance);
    CHECK(waits.summary(later + 10 * organisation_waits::halfLife).organisations == 0);
}

// Guards against a log that fills with a line for each refusal.
TEST_CASE("At most one summary is due in each interval, and refusals are told once")
{
    organisation_waits waits;
    recordCalls(waits, "a", 0, 10, milliseconds(0));
    CHECK(waits.dueSummary(start));
    CHECK(waits.takeRefused());
    CHECK_FALSE(waits.takeRefused());
    recordCalls(waits, "a", 0, 10, milliseconds(0));
    CHECK_FALSE(waits.dueSummary(start + organisation_waits::reportInterval - milliseconds(1)));
    CHECK(waits.takeRefused());
    CHECK(waits.dueSummary(start + organisation_waits::reportInterval));
}

// Guards against memory that grows with the names of organisations, and against those of long ago that keep out new ones.
TEST_CASE("The number of organisations that are kept is bounded, and idle ones make room")
{
    organisation_waits waits;
    for (std::size_t i = 0; i < organisation_waits::maxOrganisations + 10; ++i)
        recordCalls(waits, "o" + std::to_string(i), 10, 0, milliseconds(0));
    CHECK(waits.summary(start).organisations == organisation_waits::maxOrganisations);
    auto later = start + 10 * organisation_waits::halfLife;
    recordCalls(waits, "new", 10, 0, milliseconds(0), later);
    CHECK(waits.summary(later).organisations == 1);
}

TEST_CASE("Calls of no organisation are ignored")
{
    organisation_waits waits;
    recordCalls(waits, "", 10, 10, milliseconds(50));
    CHECK(waits.summary(start).organisations == 0);
    CHECK_FALSE(waits.takeRefused());
}
