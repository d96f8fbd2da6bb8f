// Guards against entries that lose, keep or exceed the limits that endpoints name in their responses.
#include "coordination/coordination.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
constexpr std::uint64_t run = 100;
constexpr double limit = 8;

wire::endpoint_row makeRow(std::optional<double> callsPerSecond, std::uint64_t born = run)
{
    wire::endpoint_row row;
    row.mutable_report()->set_id("e");
    row.mutable_report()->set_born_ms(born);
    row.set_limited(callsPerSecond.has_value());
    row.set_calls_per_second(callsPerSecond.value_or(0));
    return row;
}

google::protobuf::RepeatedPtrField<wire::endpoint_limit> unreported(const endpoint_limits& limits, time_point now)
{
    google::protobuf::RepeatedPtrField<wire::endpoint_limit> statements;
    limits.fillUnreported(statements, now);
    return statements;
}
}

TEST_CASE("A limit is known from its first response until a later request is answered without one")
{
    endpoint_limits limits(1);
    time_point now { std::chrono::hours(1) };
    CHECK_FALSE(limits.onResponse("e", run, std::nullopt, now, now));
    auto sentAt = now + milliseconds(5);
    now += milliseconds(10);
    CHECK(limits.onResponse("e", run, limit, now - milliseconds(8), now));
    CHECK(limits.limitOf("e") == limit);
    CHECK_FALSE(limits.onResponse("e", run, limit * 1.01, now, now));
    // The response to a request that was sent before the limit was named may be older than the limit.
    CHECK_FALSE(limits.onResponse("e", run, std::nullopt, sentAt, now + milliseconds(1)));
    CHECK(limits.onResponse("e", run, limit / 2, now, now + milliseconds(20)));
    CHECK(limits.limitOf("e") == limit / 2);
    CHECK(limits.onResponse("e", run, std::nullopt, now + milliseconds(30), now + milliseconds(40)));
    CHECK_FALSE(limits.limitOf("e"));
}

TEST_CASE("A limit ends with the run of its endpoint, and late responses of that run change nothing")
{
    endpoint_limits limits(1);
    time_point now { std::chrono::hours(1) };
    limits.onResponse("e", run, limit, now, now);
    limits.onRow(makeRow(std::nullopt, run + 1), now);
    CHECK_FALSE(limits.limitOf("e"));
    CHECK_FALSE(limits.onResponse("e", run, limit, now, now));
    CHECK_FALSE(limits.limitOf("e"));
}

TEST_CASE("A new leader learns the limits that the one before told, and withdrawals that it did not see")
{
    endpoint_limits limits(1);
    time_point now { std::chrono::hours(1) };
    limits.onRow(makeRow(limit), now);
    CHECK(limits.limitOf("e") == limit);
    CHECK(unreported(limits, now).empty());
    limits.onLeaderChanged();
    now += std::chrono::seconds(2);
    auto statements = unreported(limits, now);
    REQUIRE(statements.size() == 1);
    CHECK(statements[0].limited());
    CHECK(statements[0].calls_per_second() == limit);
    CHECK(statements[0].age_ms() == 2000);
    CHECK(limits.limitOf("e") == limit);

    CHECK(limits.onResponse("e", run, std::nullopt, now, now + milliseconds(5)));
    limits.onLeaderChanged();
    statements = unreported(limits, now + milliseconds(5));
    REQUIRE(statements.size() == 1);
    CHECK_FALSE(statements[0].limited());
    // A statement of the moment at which the sync was sent may have missed it.
    limits.markReported(now + milliseconds(5));
    CHECK(unreported(limits, now + milliseconds(5)).size() == 1);
    limits.markReported(now + milliseconds(6));
    CHECK(unreported(limits, now + milliseconds(6)).empty());
}

TEST_CASE("What the leader told last replaces what an entry saw before, and the reverse")
{
    endpoint_limits limits(1);
    time_point now { std::chrono::hours(1) };
    limits.onRow(makeRow(limit), now);
    CHECK(limits.onResponse("e", run, limit / 2, now, now + milliseconds(10)));
    CHECK(limits.limitOf("e") == limit / 2);
    // Another entry has stated the first limit again.
    limits.onRow(makeRow(limit), now + milliseconds(20));
    CHECK(limits.limitOf("e") == limit);
    CHECK(limits.onResponse("e", run, std::nullopt, now + milliseconds(30), now + milliseconds(40)));
    limits.markReported(now + milliseconds(41));
    // The row of the limited endpoint may come pages later than the reply that confirms the statement.
    CHECK_FALSE(limits.limitOf("e"));
}

TEST_CASE("Hundreds of entries without a leader keep to less than half of a limit together")
{
    auto entries = GENERATE(7U, 300U);
    std::vector<endpoint_limits> fleet;
    time_point now { std::chrono::hours(1) };
    for (unsigned i = 0; i < entries; ++i) {
        fleet.emplace_back(i);
        fleet.back().onRow(makeRow(limit), now);
    }
    int most = 0;
    for (int round = 0; round < 20; ++round) {
        // Idle shares must not add up to a burst.
        now += std::chrono::seconds(30);
        int taken = 0;
        for (int tick = 0; tick < 40; ++tick, now += milliseconds(100)) {
            for (auto& entry : fleet)
                taken += entry.tryTake("e", entries, now) ? 1 : 0;
        }
        most = std::max(most, taken);
    }
    CHECK(most > 0);
    CHECK(most <= limit * 4 + 5);
}
