// Guards against entries that buffer more for slow callers and endpoints than their VMs have, or end callers without need.
#include "http/buffer_budget.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace pistachiolatch;

namespace {
constexpr std::size_t megabyte = 1024UL * 1024;

struct budget_case {
    manual_clock_source clock;
    buffer_budget budget;

    budget_case() { budget.setMemory(80); }

    buffer_charge charge(buffer_budget::holder_id holder, std::size_t bytes, buffer_budget::wait_for wait = buffer_budget::wait_for::Caller)
    {
        buffer_charge charge(budget, holder, wait);
        charge.resize(bytes, clock.now());
        return charge;
    }
};

/// Two large holders that hold more than both may have without turns.
struct turn_case : budget_case {
    buffer_budget::holder_id slow = budget.addHolder();
    buffer_budget::holder_id other = budget.addHolder();
    buffer_charge slowCharge = charge(slow, 11 * megabyte);
    buffer_charge otherCharge = charge(other, 11 * megabyte);
};
}

TEST_CASE("A budget without a limit always has room and ends nobody")
{
    budget_case test;
    test.budget.setMemory(0);
    auto holder = test.budget.addHolder();
    auto charge = test.charge(holder, 4000 * megabyte);
    test.clock.advance(std::chrono::seconds(60));
    CHECK(test.budget.mayGrow(holder, test.clock.now()));
    CHECK(test.budget.takesNewCalls());
    CHECK_FALSE(test.budget.endStalled(test.clock.now()));
}

TEST_CASE("A copy has room only as long as it makes no large holder wait for its turn")
{
    budget_case test;
    auto charge = test.charge(test.budget.addHolder(), 15 * megabyte);
    CHECK(test.budget.hasRoom(4 * megabyte));
    CHECK_FALSE(test.budget.hasRoom(5 * megabyte));
    test.budget.setMemory(0);
    CHECK(test.budget.hasRoom(4000 * megabyte));
}

TEST_CASE("Large holders wait before small ones and new calls do")
{
    budget_case test;
    REQUIRE(test.budget.limit() == 40 * megabyte);
    auto large = test.budget.addHolder();
    auto small = test.budget.addHolder();
    auto largeCharge = test.charge(large, 29 * megabyte);
    auto smallCharge = test.charge(small, 1000);
    CHECK(test.budget.mayGrow(large, test.clock.now()));
    largeCharge.resize(30 * megabyte, test.clock.now());
    CHECK_FALSE(test.budget.mayGrow(large, test.clock.now()));
    CHECK(test.budget.mayGrow(small, test.clock.now()));
    CHECK(test.budget.mayGrow(test.budget.addHolder(), test.clock.now()));
    CHECK(test.budget.takesNewCalls());
    largeCharge.resize(40 * megabyte, test.clock.now());
    CHECK_FALSE(test.budget.mayGrow(small, test.clock.now()));
    CHECK_FALSE(test.budget.takesNewCalls());
}

// Guards against callers that are cut off although others take all the memory, or although they read.
TEST_CASE("The largest holder whose peer takes nothing is ended")
{
    budget_case test;
    auto reading = test.charge(test.budget.addHolder(), 20 * megabyte);
    auto smaller = test.charge(test.budget.addHolder(), 4 * megabyte);
    auto largerHolder = test.budget.addHolder();
    auto larger = test.charge(largerHolder, 8 * megabyte);
    CHECK_FALSE(test.budget.endStalled(test.clock.now()));
    test.clock.advance(buffer_budget::maxIdleTime);
    reading.recordProgress(test.clock.now());
    auto stalled = test.budget.endStalled(test.clock.now());
    REQUIRE(stalled);
    CHECK(stalled->id == largerHolder);
    CHECK(stalled->bytes == 8 * megabyte);
    CHECK(stalled->idleTime == buffer_budget::maxIdleTime);
    // What it held is about to be freed, which is enough.
    CHECK_FALSE(test.budget.endStalled(test.clock.now()));
    larger.clear();
    CHECK_FALSE(test.budget.endStalled(test.clock.now()));
}

// Guards against answers that are given up because an endpoint stands still for a second.
TEST_CASE("A holder that waits for an endpoint may make no progress for longer than one that waits for its caller")
{
    budget_case test;
    auto waitingHolder = test.budget.addHolder();
    auto waiting = test.charge(waitingHolder, 25 * megabyte, buffer_budget::wait_for::Endpoint);
    auto stuckHolder = test.budget.addHolder();
    auto stuck = test.charge(stuckHolder, 12 * megabyte);
    test.clock.advance(milliseconds(2000));
    auto first = test.budget.endStalled(test.clock.now());
    REQUIRE(first);
    CHECK(first->id == stuckHolder);
    auto more = test.charge(test.budget.addHolder(), 12 * megabyte);
    CHECK_FALSE(test.budget.endStalled(test.clock.now()));
    test.clock.advance(buffer_budget::maxEndpointIdleTime - milliseconds(2000));
    more.recordProgress(test.clock.now());
    auto second = test.budget.endStalled(test.clock.now());
    REQUIRE(second);
    CHECK(second->id == waitingHolder);
}

// Guards against one holder being ended at a time while many fill the memory.
TEST_CASE("As many holders are ended as are needed")
{
    budget_case test;
    std::vector<buffer_charge> charges;
    for (int i = 0; i < 40; ++i)
        charges.push_back(test.charge(test.budget.addHolder(), megabyte));
    test.clock.advance(buffer_budget::maxIdleTime);
    int ended = 0;
    while (test.budget.endStalled(test.clock.now()))
        ++ended;
    CHECK(ended == 11);
    charges.resize(29);
    CHECK(test.budget.mayGrow(test.budget.addHolder(), test.clock.now()));
    CHECK_FALSE(test.budget.endStalled(test.clock.now()));
}

// Guards against many bodies that are read in part, hold the memory together and never become whole.
TEST_CASE("Large holders take turns to use the last part of what they may")
{
    budget_case test;
    auto first = test.budget.addHolder();
    auto second = test.budget.addHolder();
    auto firstCharge = test.charge(first, 10 * megabyte);
    auto secondCharge = test.charge(second, 9 * megabyte);
    CHECK(test.budget.mayGrow(first, test.clock.now()));
    CHECK(test.budget.mayGrow(second, test.clock.now()));
    secondCharge.resize(10 * megabyte, test.clock.now());
    CHECK(test.budget.mayGrow(first, test.clock.now()));
    CHECK_FALSE(test.budget.mayGrow(second, test.clock.now()));
    firstCharge.resize(14 * megabyte, test.clock.now());
    CHECK(test.budget.mayGrow(first, test.clock.now()));
    // It is whole, and waits for an endpoint from now on.
    firstCharge.setWait(buffer_budget::wait_for::Endpoint, test.clock.now());
    CHECK(test.budget.mayGrow(second, test.clock.now()));
    CHECK_FALSE(test.budget.mayGrow(first, test.clock.now()));
    secondCharge.resize(16 * megabyte, test.clock.now());
    CHECK_FALSE(test.budget.mayGrow(second, test.clock.now()));
    CHECK_FALSE(test.budget.mayGrow(first, test.clock.now()));
}

// Guards against a caller that sends little while all others wait for its turn to end.
TEST_CASE("A turn ends after its time")
{
    turn_case test;
    REQUIRE(test.budget.mayGrow(test.slow, test.clock.now()));
    test.clock.advance(buffer_budget::maxTurnTime - milliseconds(1));
    CHECK_FALSE(test.budget.mayGrow(test.other, test.clock.now()));
    test.clock.advance(milliseconds(1));
    CHECK(test.budget.mayGrow(test.other, test.clock.now()));
    CHECK_FALSE(test.budget.mayGrow(test.slow, test.clock.now()));
}

// Guards against a turn that ends with each piece that is read, so that no request becomes whole.
TEST_CASE("A charge that stays the same doesn't end the turn")
{
    turn_case test;
    REQUIRE(test.budget.mayGrow(test.slow, test.clock.now()));
    test.slowCharge.resize(test.slowCharge.bytes(), test.clock.now());
    CHECK_FALSE(test.budget.mayGrow(test.other, test.clock.now()));
}

// Guards against a caller that sends little, asks after each piece and so is always the first after its own turn.
TEST_CASE("A holder that asks more often than others doesn't keep the turn")
{
    turn_case test;
    bool hadTurn = false;
    for (int i = 0; i < 150 && !hadTurn; ++i) {
        test.budget.mayGrow(test.slow, test.clock.now());
        if (i % 5 == 4)
            hadTurn = test.budget.mayGrow(test.other, test.clock.now());
        test.clock.advance(milliseconds(20));
    }
    CHECK(hadTurn);
}

// Guards against ending the holder that is about to become complete because it waited long for its turn.
TEST_CASE("The holder that has the turn is not ended")
{
    budget_case test;
    auto growing = test.budget.addHolder();
    auto waiting = test.budget.addHolder();
    auto growingCharge = test.charge(growing, 17 * megabyte);
    auto waitingCharge = test.charge(waiting, 12 * megabyte);
    test.clock.advance(buffer_budget::maxIdleTime);
    REQUIRE(test.budget.mayGrow(growing, test.clock.now()));
    auto others = test.charge(test.budget.addHolder(), megabyte, buffer_budget::wait_for::Turn);
    auto stalled = test.budget.endStalled(test.clock.now());
    REQUIRE(stalled);
    CHECK(stalled->id == waiting);
}

// Guards against a holder that keeps the turn for ever because nobody else asks for it, although it can't grow.
TEST_CASE("A holder that fills the memory alone is ended")
{
    budget_case test;
    auto holder = test.budget.addHolder();
    auto charge = test.charge(holder, 29 * megabyte);
    REQUIRE(test.budget.mayGrow(holder, test.clock.now()));
    charge.resize(30 * megabyte, test.clock.now());
    test.clock.advance(buffer_budget::maxIdleTime);
    CHECK_FALSE(test.budget.mayGrow(holder, test.clock.now()));
    CHECK(test.budget.endStalled(test.clock.now()));
}

// Guards against calls that are cut off because they wait for an endpoint.
TEST_CASE("A call that waits for its turn is not ended")
{
    budget_case test;
    auto holder = test.budget.addHolder();
    auto charge = test.charge(holder, 40 * megabyte, buffer_budget::wait_for::Turn);
    test.clock.advance(std::chrono::seconds(60));
    CHECK_FALSE(test.budget.takesNewCalls());
    CHECK_FALSE(test.budget.endStalled(test.clock.now()));
    charge.setWait(buffer_budget::wait_for::Caller, test.clock.now());
    CHECK_FALSE(test.budget.endStalled(test.clock.now()));
    test.clock.advance(buffer_budget::maxIdleTime);
    CHECK(test.budget.endStalled(test.clock.now()));
}

// Guards against a budget that fills up although nothing is held any more.
TEST_CASE("Charges are released once, wherever they are moved")
{
    budget_case test;
    auto holder = test.budget.addHolder();
    {
        auto first = test.charge(holder, 3 * megabyte);
        auto second = test.charge(holder, 2 * megabyte, buffer_budget::wait_for::Turn);
        CHECK(test.budget.held() == 5 * megabyte);
        auto moved = std::move(first);
        CHECK(test.budget.held() == 5 * megabyte);
        second = std::move(moved);
        CHECK(test.budget.held() == 3 * megabyte);
        second.resize(megabyte, test.clock.now());
        CHECK(test.budget.held() == megabyte);
        second.setWait(buffer_budget::wait_for::Turn, test.clock.now());
        CHECK(test.budget.held() == megabyte);
    }
    CHECK(test.budget.held() == 0);
}

namespace {
/// A budget of 40 MB that callers with incomplete requests of 1 MB each have filled.
struct upload_case : budget_case {
    std::vector<buffer_budget::holder_id> ended;
    std::vector<buffer_budget::holder_id> holders;
    std::vector<buffer_charge> charges;

    void addUpload(std::size_t bytes)
    {
        auto next = holders.size();
        holders.push_back(budget.addHolder([this, next](const buffer_budget::stalled_holder& stalled) {
            CHECK(stalled.id == holders[next]);
            ended.push_back(holders[next]);
        }));
        charges.push_back(charge(holders[next], bytes, buffer_budget::wait_for::Upload));
    }

    upload_case()
    {
        for (int i = 0; i < 40; ++i)
            addUpload(megabyte);
    }
};
}

// Guards against callers that send most of a request and stop, and so keep all others out.
TEST_CASE("Incomplete requests that make no progress give way to others at once")
{
    upload_case test;
    auto newcomer = test.budget.addHolder();
    REQUIRE_FALSE(test.budget.fits(1000));
    CHECK(test.budget.makeRoom(newcomer, 1000, test.clock.now()) == 0);
    test.clock.advance(buffer_budget::maxUploadIdleTime);
    CHECK(test.budget.makeRoom(newcomer, 1000, test.clock.now()) == 1);
    REQUIRE(test.ended.size() == 1);
    // What it held is about to be freed, which is enough.
    CHECK(test.budget.makeRoom(newcomer, 1000, test.clock.now()) == 0);
    CHECK(test.budget.makeRoom(newcomer, 2 * megabyte, test.clock.now()) == 2);
    CHECK(test.ended.size() == 3);
}

// Guards against small sound callers that are ended in place of those that fill the memory.
TEST_CASE("Who holds most and has moved least is ended first")
{
    upload_case test;
    test.charges[7].resize(3 * megabyte, test.clock.now());
    test.charges[8].resize(2 * megabyte, test.clock.now());
    test.addUpload(1000);
    test.clock.advance(milliseconds(1000));
    test.charges[7].recordProgress(test.clock.now());
    CHECK(test.budget.makeRoom(0, megabyte, test.clock.now()) == 4);
    // The largest has made progress, and the smallest holds next to nothing.
    CHECK(test.ended.front() == test.holders[8]);
    CHECK(std::find(test.ended.begin(), test.ended.end(), test.holders[7]) == test.ended.end());
    CHECK(std::find(test.ended.begin(), test.ended.end(), test.holders.back()) == test.ended.end());
}

// Guards against callers that send a byte now and then to keep what they hold.
TEST_CASE("A few bytes are no progress")
{
    upload_case test;
    for (int i = 0; i < 10; ++i) {
        test.clock.advance(milliseconds(100));
        for (auto& charge : test.charges)
            charge.recordProgress(test.clock.now(), 10);
    }
    CHECK(test.budget.makeRoom(0, 1000, test.clock.now()) == 1);
}

// Guards against requests that are sent just fast enough to be kept for ever.
TEST_CASE("A request that takes long gives way although it makes progress")
{
    upload_case test;
    for (int i = 0; i < 30; ++i) {
        CHECK(test.budget.makeRoom(0, 1000, test.clock.now()) == 0);
        test.clock.advance(milliseconds(100));
        for (auto& charge : test.charges)
            charge.recordProgress(test.clock.now());
    }
    CHECK(test.budget.makeRoom(0, 1000, test.clock.now()) == 1);
}

// Guards against answers that are cut off for the sake of new callers.
TEST_CASE("Room is never made by ending calls that are being answered")
{
    upload_case test;
    for (auto& charge : test.charges)
        charge.setWait(buffer_budget::wait_for::Turn, test.clock.now());
    test.charges.front().setWait(buffer_budget::wait_for::Caller, test.clock.now());
    test.charges.back().setWait(buffer_budget::wait_for::Endpoint, test.clock.now());
    test.clock.advance(std::chrono::seconds(60));
    CHECK(test.budget.makeRoom(0, 1000, test.clock.now()) == 0);
    CHECK(test.ended.empty());
}

TEST_CASE("A holder that was removed is not told of its end")
{
    upload_case test;
    for (auto holder : test.holders)
        test.budget.removeHolder(holder);
    test.clock.advance(buffer_budget::maxUploadIdleTime);
    CHECK(test.budget.makeRoom(0, 1000, test.clock.now()) == 1);
    CHECK(test.ended.empty());
}
