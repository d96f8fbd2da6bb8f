// Guards against parts of prompts that crash endpoints unnoticed, and against blocking parts that don't.
#include "coordination/coordination.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
constexpr std::uint64_t popular = 1;
constexpr std::uint64_t poison = 66;
constexpr std::uint64_t companion = 77;

/// The decisions of a leader about crashes and successes at one entry, with a clock that a test moves.
class decisions {
public:
    prompt_part_settings settings;
    prompt_part_blocks blocks { settings };
    prompt_part_history history;
    time_point now { std::chrono::hours(1) };

    decisions() { blocks.setDeciding(true); }

    /// An endpoint crashes under calls without events that have these parts.
    void crash(const std::vector<std::vector<std::uint64_t>>& calls)
    {
        auto endpoint = fmt::format("e{}", ++m_runs);
        for (const auto& parts : calls) {
            wire::crash_report report;
            report.set_endpoint(endpoint);
            report.set_endpoint_incarnation(1);
            report.set_request_id(fmt::format("r{}", ++m_requests));
            report.mutable_parts()->Assign(parts.begin(), parts.end());
            blocks.addCrash(report, now);
        }
        exchange();
    }

    /// The last endpoint that crashed is found to be gone.
    void confirmCrash() { blocks.crashes().onSilent(fmt::format("e{}", m_runs)); }

    void succeed(const std::vector<std::uint64_t>& parts)
    {
        history.recordSuccess(parts, now);
        exchange();
    }

    void wait(milliseconds time)
    {
        now += time;
        exchange();
    }

    /// The leader and the entry tell each other what they know.
    void exchange()
    {
        blocks.refresh(now);
        history.setSuspects(state().suspects());
        google::protobuf::RepeatedPtrField<wire::prompt_part_status> statuses;
        history.fillStatuses(statuses, now);
        for (const auto& status : statuses)
            blocks.recordStatus(1, status, now);
        blocks.refresh(now);
    }

    wire::blocked_requests state() const
    {
        wire::blocked_requests state;
        blocks.fill(state);
        return state;
    }

    bool isBlocked(const std::vector<std::uint64_t>& parts) const
    {
        prompt_part_client client;
        client.apply(state(), now);
        return client.blockOf(parts, now) != request_block::None;
    }

private:
    int m_runs = 0;
    int m_requests = 0;
};
}

TEST_CASE("A part without a success is blocked after crashes at three moments, and the block becomes certain")
{
    decisions leader;
    for (std::uint64_t n = 0; n < 3; ++n) {
        leader.succeed({ popular, 10 + n });
        leader.crash({ { popular, poison, 20 + n } });
        leader.succeed({ popular, 30 + n });
        leader.succeed({ popular, 40 + n });
        CHECK_FALSE(leader.isBlocked({ popular, poison }));
        leader.wait(milliseconds(1000));
    }
    leader.wait(milliseconds(400));
    REQUIRE(leader.state().parts_size() == 1);
    CHECK_FALSE(leader.state().parts(0).certain());
    CHECK(leader.isBlocked({ popular, 5, poison }));
    CHECK_FALSE(leader.isBlocked({ popular, 20, 21, 22 }));
    for (int n = 1; n <= 3; ++n)
        leader.blocks.crashes().onSilent(fmt::format("e{}", n));
    leader.exchange();
    REQUIRE(leader.state().parts_size() == 1);
    CHECK(leader.state().parts(0).certain());
}

// Guards against a block that ends although requests with the part still come, and against one that never ends.
TEST_CASE("A certain block lasts for as long as entries refuse requests by it, over changes of the leader")
{
    decisions leader;
    wire::blocked_parts held;
    held.add_parts(poison);
    held.set_certain(true);
    leader.blocks.adopt(held, leader.now);
    leader.wait(std::chrono::minutes(9));
    leader.blocks.adopt(held, leader.now);
    leader.wait(std::chrono::minutes(9));
    CHECK(leader.isBlocked({ poison }));
    leader.blocks.setDeciding(false);
    leader.blocks.setDeciding(true);
    leader.exchange();
    CHECK(leader.isBlocked({ poison }));
    held.set_idle_ms(9 * 60000);
    leader.blocks.adopt(held, leader.now);
    leader.wait(std::chrono::minutes(2));
    CHECK_FALSE(leader.isBlocked({ poison }));
}

// Guards against blocking a part that many requests have because endpoints crash by another cause.
TEST_CASE("Crashes by another cause don't block parts that succeed in between")
{
    decisions leader;
    for (int wave = 0; wave < 20; ++wave) {
        leader.succeed({ popular, wave % 2 == 0 ? 2U : 3U });
        for (int engine = 0; engine < 8; ++engine)
            leader.crash({ { popular, 2 }, { popular, 3 } });
        leader.wait(milliseconds(400));
        leader.succeed({ 4, 5 });
        leader.wait(milliseconds(400));
    }
    CHECK_FALSE(leader.isBlocked({ popular, 2, 3 }));
}

// Guards against blaming new parts for one event that crashes many endpoints.
TEST_CASE("Endpoints that crash at the same moment count once")
{
    decisions leader;
    for (int engine = 0; engine < 8; ++engine) {
        leader.crash({ { popular, 2 } });
        leader.confirmCrash();
    }
    leader.succeed({ 4 });
    leader.succeed({ 4 });
    leader.succeed({ 4 });
    leader.wait(milliseconds(5000));
    CHECK_FALSE(leader.isBlocked({ popular, 2 }));
}

TEST_CASE("A part that succeeded before is blocked after more crashes, once it has failed for some time")
{
    decisions leader;
    leader.succeed({ poison });
    leader.wait(milliseconds(100));
    for (int n = 0; n < 5; ++n) {
        leader.crash({ { popular, poison } });
        leader.confirmCrash();
        for (int i = 0; i < 3; ++i)
            leader.succeed({ popular });
        CHECK_FALSE((n < 4 && leader.isBlocked({ poison })));
        leader.wait(milliseconds(500));
    }
    leader.wait(milliseconds(600));
    CHECK(leader.isBlocked({ poison }));
    CHECK_FALSE(leader.isBlocked({ popular }));
}

// Guards against accusing what all calls have in common where no call has succeeded yet.
TEST_CASE("A part of all calls is not blocked for crashes that a part of few calls explains")
{
    decisions leader;
    for (std::uint64_t n = 0; n < 8; ++n) {
        leader.crash({ { popular, poison }, { popular, 2 + n % 4 }, { popular, 2 + (n + 1) % 4 } });
        leader.confirmCrash();
        leader.wait(milliseconds(400));
    }
    CHECK(leader.isBlocked({ popular, poison }));
    CHECK_FALSE(leader.isBlocked({ popular, 2, 3, 4, 5 }));
}

// Guards against accusing parts for waves of crashes while no other call shows that endpoints run without them.
TEST_CASE("Without enough calls that succeed, a part is blocked only after crashes at five moments")
{
    auto successes = GENERATE(0, 2, 3);
    decisions leader;
    std::uint64_t other = 20;
    auto crashAll = [&](std::initializer_list<int> pauses) {
        for (int pause : pauses) {
            leader.crash({ { popular, poison }, { popular, ++other } });
            leader.confirmCrash();
            leader.wait(milliseconds(pause));
        }
    };
    // Eight crashes at three moments.
    crashAll({ 14, 6, 13, 4400 });
    for (int i = 0; i < successes; ++i)
        leader.succeed({ popular, 30 });
    crashAll({ 2, 10, 370, 3800 });
    CHECK(leader.isBlocked({ popular, poison }) == (successes == 3));
    crashAll({ 13, 13, 13, 1900 });
    CHECK(leader.isBlocked({ popular, poison }) == (successes == 3));
    crashAll({ 10 });
    CHECK(leader.isBlocked({ popular, poison }));
    CHECK_FALSE(leader.isBlocked({ popular, 21 }));
}

// Guards against refusing all prompts because one crash is known only from calls that a crashing part's call was cut with.
TEST_CASE("Crashes that parts explain together accuse none of them alone while nothing succeeds")
{
    decisions leader;
    auto crash = [&](const std::vector<std::vector<std::uint64_t>>& calls) {
        leader.crash(calls);
        leader.confirmCrash();
        leader.wait(milliseconds(500));
    };
    crash({ { popular, 20 } });
    for (int n = 0; n < 6; ++n)
        crash({ { popular, poison } });
    CHECK(leader.isBlocked({ popular, poison }));
    CHECK_FALSE(leader.isBlocked({ popular, 21 }));
}

// Guards against counting one crash several times because entries notice it at different times.
TEST_CASE("A run of an endpoint counts as one moment, however late its crash is noticed")
{
    decisions leader;
    for (int i = 0; i < 6; ++i) {
        wire::crash_report report;
        report.set_endpoint("e1");
        report.set_request_id(fmt::format("r{}", i));
        report.add_parts(poison);
        leader.blocks.addCrash(report, leader.now);
        leader.succeed({ popular });
        leader.wait(milliseconds(500));
    }
    leader.wait(milliseconds(3000));
    CHECK_FALSE(leader.isBlocked({ poison }));
}

// Guards against refusing requests for a part that only accompanied the one which crashes endpoints.
TEST_CASE("Parts that were in the same crashes are blocked together only")
{
    decisions leader;
    for (int n = 0; n < 3; ++n) {
        leader.crash({ { poison, companion } });
        leader.confirmCrash();
        leader.succeed({ popular });
        leader.wait(milliseconds(700));
    }
    CHECK(leader.isBlocked({ poison, companion }));
    CHECK_FALSE(leader.isBlocked({ companion }));
    CHECK_FALSE(leader.isBlocked({ poison }));
    // Another crash without the companion tells them apart.
    leader.crash({ { poison } });
    leader.wait(milliseconds(10));
    CHECK(leader.isBlocked({ poison }));
    CHECK_FALSE(leader.isBlocked({ companion }));
}

// Guards against taking connections that broke at running endpoints for crashes.
TEST_CASE("Endpoints that report again from the same run block no part")
{
    decisions leader;
    for (int n = 1; n <= 6; ++n) {
        leader.crash({ { popular, poison } });
        leader.succeed({ 4 });
        leader.wait(milliseconds(1000));
        leader.blocks.crashes().onAnnounced(fmt::format("e{}", n), 1, leader.now);
    }
    leader.wait(milliseconds(5000));
    CHECK_FALSE(leader.isBlocked({ popular, poison }));
}

// Guards against updates that go back and forth because a part is forgotten as soon as a success has cleared it.
TEST_CASE("A part that a success cleared is suspected again only after another crash")
{
    decisions leader;
    leader.crash({ { popular } });
    CHECK(leader.state().suspects_size() == 1);
    leader.wait(milliseconds(10));
    leader.succeed({ popular });
    for (int i = 0; i < 5; ++i) {
        leader.exchange();
        CHECK(leader.state().suspects_size() == 0);
    }
    leader.wait(milliseconds(200));
    leader.crash({ { popular } });
    CHECK(leader.state().suspects_size() == 1);
}

// Guards against work and messages that grow with the number of parts in the traffic.
TEST_CASE("Suspected parts and known successes are bounded")
{
    decisions leader;
    for (std::uint64_t n = 0; n < 3000; ++n) {
        leader.history.recordSuccess({ 100000 + n * 4, 100001 + n * 4, 100002 + n * 4, 100003 + n * 4 }, leader.now);
        if (n % 30 == 0)
            leader.crash({ { n, n + 1, n + 2, n + 3 } });
    }
    CHECK(leader.state().suspects_size() == 64);
    CHECK(leader.history.lastSuccessAt(100000) == time_point {});
    CHECK(leader.history.lastSuccessAt(100000 + 2999 * 4) == leader.now);
}
