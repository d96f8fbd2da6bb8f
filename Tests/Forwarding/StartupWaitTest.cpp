#include "forwarding/startup_wait.h"
#include <catch2/catch.hpp>

namespace pistachiolatch::test {

namespace {
    const time_point start = time_point {} + std::chrono::hours(1);
}

// Power is back everywhere; calls that the first entries refuse end there, although a leader is elected half a second later.
TEST_CASE("Calls wait at an entry that has just started for its first configuration")
{
    startup_wait wait(start);
    CHECK(wait.timeFor(milliseconds(14'000), start + milliseconds(100)) == startup_wait::maxWait);
    CHECK(wait.timeFor(std::nullopt, start + milliseconds(100)) == startup_wait::maxWait);
}

TEST_CASE("A call waits for a part of its caller's deadline only")
{
    startup_wait wait(start);
    CHECK(wait.timeFor(milliseconds(900), start) == milliseconds(300));
    CHECK(wait.timeFor(milliseconds(0), start) == milliseconds(0));
    CHECK(wait.timeFor(milliseconds(-5), start) == milliseconds(0));
}

// An entry that is cut off from control from its start on must not hold each call that it gets.
TEST_CASE("Calls are refused at once where no configuration came during the start")
{
    startup_wait wait(start);
    CHECK(wait.timeFor(milliseconds(14'000), start + startup_wait::startupTime - milliseconds(100)) == milliseconds(100));
    CHECK(wait.timeFor(milliseconds(14'000), start + startup_wait::startupTime) == milliseconds(0));
}

TEST_CASE("The number of waiting calls is bounded")
{
    startup_wait wait(start);
    for (std::size_t i = 0; i < startup_wait::maxWaiting; ++i)
        wait.recordWaiting();
    CHECK(wait.timeFor(milliseconds(14'000), start) == milliseconds(0));
    wait.recordResumed();
    CHECK(wait.timeFor(milliseconds(14'000), start) > milliseconds(0));
}

} // namespace pistachiolatch::test
