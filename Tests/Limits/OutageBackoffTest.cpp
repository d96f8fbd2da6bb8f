// Guards against callers who come back while control is still down, and are refused for good.
#include "limits/limits.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
const time_point lostAt = time_point {} + std::chrono::hours(1);

/// Share of the callers refused at even times from `from` to `to` after the loss who come back after the end of the outage.
double shareBackAfter(milliseconds outage, milliseconds from, milliseconds to)
{
    outage_backoff backoff(3);
    backoff.recordSilence(lostAt);
    int back = 0;
    int all = 0;
    for (auto age = from; age < to; age += milliseconds(5), ++all)
        back += age + backoff.retryAfter(lostAt + age) >= outage ? 1 : 0;
    return static_cast<double>(back) / all;
}
}

TEST_CASE("Callers refused while all control processes restart come back once they have a leader", "[promise]")
{
    for (auto outage : { milliseconds(1200), milliseconds(2000), milliseconds(2500) }) {
        INFO(outage.count());
        CHECK(shareBackAfter(outage, milliseconds(0), outage) > 0.6);
    }
}

TEST_CASE("Callers refused in an outage come back over a second", "[promise]")
{
    outage_backoff backoff(3);
    backoff.recordSilence(lostAt);
    auto earliest = milliseconds::max();
    auto latest = milliseconds::min();
    for (int i = 0; i < 1000; ++i) {
        auto delay = backoff.retryAfter(lostAt + milliseconds(300));
        earliest = std::min(earliest, delay);
        latest = std::max(latest, delay);
    }
    CHECK(latest - earliest > milliseconds(900));
}

TEST_CASE("No caller is sent away for longer than five seconds", "[promise]")
{
    outage_backoff backoff(3);
    backoff.recordSilence(lostAt);
    CHECK(backoff.retryAfter(lostAt + std::chrono::hours(2)) <= milliseconds(5000));
    backoff.recordReply();
    CHECK(backoff.retryAfter(lostAt + std::chrono::hours(2)) <= milliseconds(3000));
}
