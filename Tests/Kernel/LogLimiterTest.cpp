#include "kernel/kernel.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

// Guards against logs that grow with the number of requests that a crowd has refused.
TEST_CASE("Lines beyond the limit are counted until the next window")
{
    manual_clock_source clock;
    log_limiter limiter;
    unsigned admitted = 0;
    for (int i = 0; i < 1000; ++i)
        admitted += limiter.admit(clock.now()) ? 1 : 0;
    CHECK(admitted == log_limiter::maxLines);
    CHECK(limiter.takeSuppressed() == 1000 - log_limiter::maxLines);
    CHECK(limiter.takeSuppressed() == 0);
    clock.advance(log_limiter::window);
    CHECK(limiter.admit(clock.now()));
}
