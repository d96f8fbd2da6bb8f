// What callers see: calls are refused for want of memory while the engines that read prompts stand idle, or wait for a
// reader while memory is free.
// What happens: a fixed share of the engines reads prompts, whatever calls cost; then engines are lost, for good or for
// seconds.
// Why it must not: an engine can work in either stage. But a change takes it out for seconds, so small gains, short losses
// and few observations are no reason for one.
#include "scheduling/engine_planner.h"
#include "scheduling/stage_balancer.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
/// Answers that hold memory for long, and short ones.
constexpr call_cost longAnswers { 90, 350 };
constexpr call_cost shortAnswers { 90, 60 };

std::vector<engine_stage_load> enginesOf(unsigned readers, unsigned decoders)
{
    std::vector<engine_stage_load> engines;
    for (unsigned i = 0; i < readers + decoders; ++i) {
        engine_stage_load one;
        one.id = "e" + std::to_string(i);
        one.dataCentre = std::string(1, static_cast<char>('a' + i % 3));
        one.stage = i < readers ? wire::STAGE_PREFILL : wire::STAGE_DECODE;
        one.load = i;
        engines.push_back(one);
    }
    return engines;
}

time_point at(int ms)
{
    return time_point {} + std::chrono::hours(1) + milliseconds(ms);
}

stage_balancer balanceFor(const call_cost& costs)
{
    stage_balancer balance;
    for (int i = 0; i < 50; ++i)
        balance.learn(costs);
    return balance;
}

/// Asks every half second and carries changes out at once. Returns the readers in the end.
unsigned settle(stage_balancer& balance, std::vector<engine_stage_load>& engines, int fromMs, int forMs)
{
    for (int ms = fromMs; ms < fromMs + forMs; ms += 500) {
        auto change = balance.decide(engines, at(ms));
        for (auto& one : engines) {
            if (change && one.id == change->engine)
                one.stage = change->to;
        }
    }
    return static_cast<unsigned>(std::count_if(engines.begin(), engines.end(), [](const auto& one) { return one.stage == wire::STAGE_PREFILL; }));
}
}

TEST_CASE("As many engines read prompts as let the most calls fit")
{
    for (unsigned total : { 2U, 3U, 12U, 60U, 600U }) {
        for (const auto& costs : { longAnswers, shortAnswers }) {
            auto best = bestReaders(total, costs);
            CHECK(best >= 1);
            CHECK(best < total);
            for (unsigned readers = 1; readers < total; ++readers)
                CHECK(callsThatFit(total, readers, costs) <= callsThatFit(total, best, costs));
        }
    }
}

TEST_CASE("Stages settle at the balance that calls ask for, from either side, and stay there")
{
    for (unsigned readers : { 1U, 3U, 5U, 8U }) {
        auto balance = balanceFor(longAnswers);
        auto engines = enginesOf(readers, 12 - readers);
        auto settled = settle(balance, engines, 0, 30000);
        CHECK(callsThatFit(12, settled, longAnswers) * 1.1 > callsThatFit(12, bestReaders(12, longAnswers), longAnswers));
        CHECK(settle(balance, engines, 30000, 30000) == settled);
    }
}

TEST_CASE("Engines that are lost for two seconds change nothing; those that stay lost are made up for")
{
    auto balance = balanceFor(longAnswers);
    auto whole = enginesOf(4, 9);
    settle(balance, whole, 0, 20000);
    auto before = whole;
    auto lost = whole;
    std::erase_if(lost, [&](const auto& one) { return one.stage == wire::STAGE_DECODE && (one.id == "e9" || one.id == "e10" || one.id == "e11" || one.id == "e12"); });
    for (int ms = 20000; ms < 22000; ms += 500)
        CHECK_FALSE(balance.decide(lost, at(ms)));
    CHECK_FALSE(balance.decide(whole, at(22000)));
    auto readers = settle(balance, lost, 22500, 20000);
    auto total = static_cast<unsigned>(lost.size());
    CHECK(callsThatFit(total, readers, longAnswers) * 1.1 > callsThatFit(total, bestReaders(total, longAnswers), longAnswers));
}

TEST_CASE("Few observations give no order, and the last engine of a stage keeps it")
{
    stage_balancer balance;
    balance.learn(shortAnswers);
    auto engines = enginesOf(1, 11);
    CHECK(settle(balance, engines, 0, 30000) == 1);
    auto taught = balanceFor(longAnswers);
    auto two = enginesOf(1, 1);
    CHECK(settle(taught, two, 0, 30000) == 1);
}

TEST_CASE("An engine that is changing gets nothing, and counts for the stage that it changes to")
{
    manual_clock_source clock;
    engine_planner planner(7);
    auto row = [](const std::string& id, wire::endpoint_stage stage) {
        wire::endpoint_row one;
        one.mutable_report()->set_id(id);
        one.mutable_report()->set_born_ms(1);
        one.mutable_report()->set_service("llm");
        one.mutable_report()->set_slots(64);
        one.mutable_report()->set_stage(stage);
        return one;
    };
    planner.updateEndpoint(row("d1", wire::STAGE_DECODE));
    planner.updateEndpoint(row("d2", wire::STAGE_DECODE));
    planner.startStageChange({ "d1", wire::STAGE_PREFILL }, clock.now() + milliseconds(20000));
    std::uint64_t id = 0;
    auto ask = [&] {
        placement_request one;
        one.callId = ++id;
        one.service = "llm";
        one.promptTokens = 100;
        one.outputTokens = 100;
        one.memoryTokens = 100000;
        return one;
    };
    for (int i = 0; i < 5; ++i)
        CHECK(planner.place("entry", ask(), clock.now()).decode == "d2");
    planner.updateEndpoint(row("d1", wire::STAGE_PREFILL));
    CHECK(planner.place("entry", ask(), clock.now()).prefill == "d1");
    // An order that came to nothing leaves the engine as it is, to be used at once.
    planner.startStageChange({ "d2", wire::STAGE_PREFILL }, clock.now() + milliseconds(20000));
    CHECK(planner.place("entry", ask(), clock.now()).full);
    planner.cancelStageChange("d2", clock.now());
    CHECK_FALSE(planner.place("entry", ask(), clock.now()).full);
}

TEST_CASE("Engine figures are learnt from readings that overlap, queue and grow slow")
{
    engine_speed_model figures;
    std::mt19937_64 random(3);
    // 20 ms for every thousand tokens and 120 ms for any prompt; one in three stands in a queue.
    auto reading = [&](std::uint64_t tokens, double msPerThousand) {
        auto queue = random() % 3 == 0 ? random() % 400 : 0;
        return milliseconds(static_cast<std::int64_t>(120 + msPerThousand * static_cast<double>(tokens) / 1000) + static_cast<std::int64_t>(queue));
    };
    for (int i = 0; i < 300; ++i) {
        auto tokens = 2000 + random() % 8000;
        figures.learnReading(tokens, reading(tokens, 20));
    }
    auto busy = std::chrono::duration<double, std::milli>(figures.readingTime(5000)).count();
    CHECK(busy > 75);
    CHECK(busy < 130);
    CHECK(figures.timeToFirstEvent(5000) > milliseconds(200));
    for (int i = 0; i < 300; ++i) {
        auto tokens = 2000 + random() % 8000;
        figures.learnReading(tokens, reading(tokens, 100));
    }
    CHECK(std::chrono::duration<double, std::milli>(figures.readingTime(5000)).count() > 350);
}
