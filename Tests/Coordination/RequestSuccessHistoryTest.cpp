#include "coordination/coordination.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
constexpr std::uint64_t request = 7;
constexpr std::uint64_t otherRequest = 8;

google::protobuf::RepeatedField<std::uint64_t> suspects(std::initializer_list<std::uint64_t> fingerprints)
{
    return { fingerprints.begin(), fingerprints.end() };
}

google::protobuf::RepeatedPtrField<wire::request_success> successesOf(const request_success_history& history, time_point now, const std::set<std::uint64_t>& fingerprints = {})
{
    google::protobuf::RepeatedPtrField<wire::request_success> successes;
    history.fillSuccesses(successes, fingerprints, now);
    return successes;
}
}

// Guards against a leader that never learns of the successes of the requests that it suspects.
TEST_CASE("An entry tells when the latest attempt began that succeeded")
{
    request_success_history history;
    time_point now { std::chrono::hours(1) };
    history.recordSuccess(request, now - std::chrono::seconds(2), now);
    // It began earlier and took longer.
    history.recordSuccess(request, now - std::chrono::seconds(5), now);
    CHECK(successesOf(history, now).empty());
    CHECK(history.setSuspects(suspects({ request, otherRequest })));
    auto told = successesOf(history, now);
    REQUIRE(told.size() == 1);
    CHECK(told[0].fingerprint() == request);
    CHECK(told[0].begun_age_ms() == 2000);
    CHECK_FALSE(history.setSuspects(suspects({ request, otherRequest })));
    CHECK_FALSE(history.setSuspects(suspects({ otherRequest })));
    CHECK(successesOf(history, now, { request }).size() == 1);
}

// Guards against successes that the leader hears of too late, and against a message for each call of a popular request.
TEST_CASE("The first success of a suspected request is told at once, others at intervals")
{
    request_success_history history;
    time_point now { std::chrono::hours(1) };
    CHECK_FALSE(history.recordSuccess(request, now, now));
    history.setSuspects(suspects({ request }));
    CHECK_FALSE(history.recordSuccess(otherRequest, now, now));
    CHECK(history.recordSuccess(request, now, now));
    CHECK_FALSE(history.recordSuccess(request, now, now + milliseconds(50)));
    CHECK(history.recordSuccess(request, now, now + milliseconds(150)));
}

// Guards against memory that grows with the number of different requests.
TEST_CASE("The requests that were used last are kept")
{
    request_success_history history;
    time_point now { std::chrono::hours(1) };
    for (std::uint64_t fingerprint = 100; fingerprint < 10'100; ++fingerprint) {
        history.recordSuccess(fingerprint, now, now);
        history.recordSuccess(request, now, now);
    }
    CHECK(history.lastBegunAt(100) == time_point {});
    CHECK(history.lastBegunAt(10'000) == now);
    CHECK(history.lastBegunAt(request) == now);
}
