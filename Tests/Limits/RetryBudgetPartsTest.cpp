// Guards against parts of the retry budget that add up to more than the whole.
#include "limits/limits.h"
#include <catch2/catch.hpp>
#include <random>

using namespace pistachiolatch;

namespace {
const retry_tolerance tolerance { 0.2, 54, milliseconds(10000) };

int takeAll(retry_ledger& ledger, time_point now)
{
    int taken = 0;
    while (ledger.tryGrant("app", retry_need::Required, now))
        ++taken;
    return taken;
}

int takeAllOfShare(entry_retry_share& share, time_point now)
{
    int taken = 0;
    while (share.tryTakeShare("app", now))
        ++taken;
    return taken;
}
}

TEST_CASE("The leader grants no more than its part in any window")
{
    manual_clock_source clock;
    retry_ledger ledger(tolerance);
    std::mt19937 random(1);
    std::vector<time_point> grants;
    for (int i = 0; i < 4000; ++i) {
        clock.advance(milliseconds(random() % 40));
        if (ledger.tryGrant("app", retry_need::Required, clock.now()))
            grants.push_back(clock.now());
    }
    for (std::size_t i = 0; i < grants.size(); ++i) {
        auto inWindow = std::count_if(grants.begin(), grants.end(), [&](time_point at) { return at >= grants[i] && at <= grants[i] + tolerance.window; });
        CHECK(static_cast<double>(inWindow) <= tolerance.leaderGrants());
    }
    CHECK(grants.size() > 100);
    CHECK(takeAll(ledger, clock.now() + tolerance.countedFor() * 2) == 27);
    CHECK(ledger.tryGrant("another", retry_need::Required, clock.now()));
}

// Guards against a leader that hands out what its predecessor granted already.
TEST_CASE("A new leader grants nothing until the grants of its predecessor no longer count")
{
    manual_clock_source clock;
    retry_ledger ledger(tolerance);
    ledger.reset(true, clock.now());
    CHECK(takeAll(ledger, clock.now()) == 0);
    clock.advance(tolerance.countedFor() - milliseconds(1));
    CHECK(takeAll(ledger, clock.now()) == 0);
    clock.advance(milliseconds(1));
    CHECK(takeAll(ledger, clock.now()) == 27);
    ledger.reset(false, clock.now());
    CHECK(takeAll(ledger, clock.now()) == 27);
}

TEST_CASE("An entry earns retries by its first attempts of the last window")
{
    manual_clock_source clock;
    entry_retry_share share(tolerance, clock.now());
    CHECK_FALSE(share.tryTakeEarned("app", retry_need::Required, clock.now()));
    for (int i = 0; i < 20; ++i)
        share.recordFirstAttempt("app", clock.now());
    int earned = 0;
    while (share.tryTakeEarned("app", retry_need::Required, clock.now()))
        ++earned;
    CHECK(earned == 3);
    clock.advance(milliseconds(5000));
    CHECK_FALSE(share.tryTakeEarned("app", retry_need::Required, clock.now()));
    clock.advance(milliseconds(8000));
    CHECK_FALSE(share.tryTakeEarned("app", retry_need::Required, clock.now()));
    for (int i = 0; i < 20; ++i)
        share.recordFirstAttempt("app", clock.now());
    CHECK(share.tryTakeEarned("app", retry_need::Required, clock.now()));
}

// Guards against an entry that gets another share at each restart.
TEST_CASE("An entry has no share until the retries of its predecessor no longer count")
{
    manual_clock_source clock;
    entry_retry_share share(tolerance, clock.now());
    share.recordEntryCount(2, clock.now());
    CHECK(takeAllOfShare(share, clock.now()) == 0);
    clock.advance(tolerance.countedFor() - milliseconds(1));
    CHECK(takeAllOfShare(share, clock.now()) == 0);
    clock.advance(milliseconds(1));
    CHECK(takeAllOfShare(share, clock.now()) == 10);
    clock.advance(tolerance.window);
    CHECK(takeAllOfShare(share, clock.now()) == 0);
    clock.advance(retry_tolerance::grantLifetime + milliseconds(1));
    CHECK(takeAllOfShare(share, clock.now()) == 10);
}

// Guards against shares that grow because a new leader has heard of few entries so far.
TEST_CASE("A share is divided by the largest number of entries of the last window")
{
    manual_clock_source clock;
    entry_retry_share share(tolerance, clock.now());
    CHECK(takeAllOfShare(share, clock.now() + tolerance.countedFor()) == 0);
    clock.advance(tolerance.countedFor());
    share.recordEntryCount(5, clock.now());
    clock.advance(milliseconds(500));
    for (unsigned entries = 1; entries <= 3; ++entries)
        share.recordEntryCount(entries, clock.now());
    CHECK(takeAllOfShare(share, clock.now()) == 4);
    // Fewer entries count once nothing has told of more for a window.
    clock.advance(tolerance.countedFor() + milliseconds(1));
    share.recordEntryCount(3, clock.now());
    CHECK(takeAllOfShare(share, clock.now()) == 6);
}

// Guards against retries that calls could do without, and that leave none for those which need them.
TEST_CASE("Optional retries leave most of the budget to required ones")
{
    manual_clock_source clock;
    retry_ledger ledger(tolerance);
    int optional = 0;
    while (ledger.tryGrant("app", retry_need::Optional, clock.now()))
        ++optional;
    CHECK(optional == 10);
    CHECK(takeAll(ledger, clock.now()) == 17);
    entry_retry_share share(tolerance, clock.now());
    for (int i = 0; i < 100; ++i)
        share.recordFirstAttempt("app", clock.now());
    optional = 0;
    while (share.tryTakeEarned("app", retry_need::Optional, clock.now()))
        ++optional;
    CHECK(optional == 6);
    CHECK(share.tryTakeEarned("app", retry_need::Required, clock.now()));
}
