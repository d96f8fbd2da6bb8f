#include "scheduling/slowdown_estimate.h"
#include <catch2/catch.hpp>
#include <limits>

namespace pistachiolatch::test {

namespace {
    const time_point start = time_point {} + std::chrono::hours(1);
}

TEST_CASE("An endpoint without reports is taken to be as fast as usual")
{
    slowdown_estimate estimate;
    CHECK(estimate.at(start) == 1);
    CHECK_FALSE(estimate.isKnown());
}

// A report that is used for seconds would keep calls away from an endpoint that has long been fast again.
TEST_CASE("An old report of a slow endpoint gives way to its mean")
{
    slowdown_estimate estimate;
    for (int i = 0; i < 200; ++i)
        estimate.record(1, start + i * milliseconds(50));
    auto slowAt = start + milliseconds(10'000);
    estimate.record(5, slowAt);
    CHECK(estimate.at(slowAt) == Approx(5));
    CHECK(estimate.at(slowAt + milliseconds(200)) < 3);
    CHECK(estimate.at(slowAt + milliseconds(2000)) < 1.2);
}

TEST_CASE("An endpoint that is always slow stays slow between its reports")
{
    slowdown_estimate estimate;
    for (int i = 0; i < 400; ++i)
        estimate.record(2, start + i * milliseconds(50));
    CHECK(estimate.at(start + milliseconds(30'000)) == Approx(2).margin(0.1));
}

// Reports of several entries arrive in another order than they were made.
TEST_CASE("A late report doesn't replace a newer one")
{
    slowdown_estimate estimate;
    estimate.record(1, start + milliseconds(100));
    estimate.record(8, start);
    CHECK(estimate.last() == 1);
}

TEST_CASE("Odd reports neither attract all calls nor exclude an endpoint for good")
{
    slowdown_estimate estimate;
    estimate.record(1e9, start);
    CHECK(estimate.at(start) == slowdown_estimate::maxSlowdown);
    estimate.record(1e-9, start + milliseconds(1));
    CHECK(estimate.at(start + milliseconds(1)) == slowdown_estimate::minSlowdown);
    for (double value : { 0.0, -3.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN() })
        estimate.record(value, start + milliseconds(2));
    CHECK(estimate.last() == slowdown_estimate::minSlowdown);
}

} // namespace pistachiolatch::test
