// With a fixed share of prefill engines, calls are refused for lack of memory while prefill engines are idle, or wait
// for prefill while memory is free. Engines must change stages to match the load, but a change takes an engine out of
// service for seconds, so small gains, short outages and few observations must not cause one.
#include "scheduling/engine_planner.h"
#include "scheduling/stage_balancer.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
/// Costs of calls whose answers hold memory for a long and for a short time.
constexpr call_cost longAnswers { 90, 350 };
constexpr call_cost shortAnswers { 90, 60 };

std::vector<engine_stage_load> makeEngines(unsigned prefillEngines, unsigned decodeEngines)
{
    std::vector<engine_stage_load> engines;
    for (unsigned i = 0; i < prefillEngines + decodeEngines; ++i) {
        engine_stage_load engine;
        engine.id = "e" + std::to_string(i);
        engine.dataCentre = std::string(1, static_cast<char>('a' + i % 3));
        engine.stage = i < prefillEngines ? wire::STAGE_PREFILL : wire::STAGE_DECODE;
        engine.load = i;
        engines.push_back(engine);
    }
    return engines;
}

time_point at(int ms)
{
    return time_point {} + std::chrono::hours(1) + milliseconds(ms);
}

stage_balancer trainedBalancer(const call_cost& cost)
{
    stage_balancer balancer;
    for (int i = 0; i < 50; ++i)
        balancer.recordCall(cost);
    return balancer;
}

/// Queries the balancer every half second and applies its changes at once. Returns the final number of prefill engines.
unsigned settle(stage_balancer& balancer, std::vector<engine_stage_load>& engines, int fromMs, int forMs)
{
    for (int ms = fromMs; ms < fromMs + forMs; ms += 500) {
        auto change = balancer.chooseChange(engines, at(ms));
        for (auto& engine : engines) {
            if (change && engine.id == change->engine)
                engine.stage = change->to;
        }
    }
    return static_cast<unsigned>(std::count_if(engines.begin(), engines.end(), [](const auto& engine) { return engine.stage == wire::STAGE_PREFILL; }));
}
}

TEST_CASE("The optimal number of prefill engines maximises the capacity")
{
    for (unsigned total : { 2U, 3U, 12U, 60U, 600U }) {
        for (const auto& cost : { longAnswers, shortAnswers }) {
            auto best = optimalPrefillEngines(total, cost);
            CHECK(best >= 1);
            CHECK(best < total);
            for (unsigned prefillEngines = 1; prefillEngines < total; ++prefillEngines)
                CHECK(callCapacity(total, prefillEngines, cost) <= callCapacity(total, best, cost));
        }
    }
}

TEST_CASE("Stages converge to the balance for the load from either side and stay there")
{
    for (unsigned prefillEngines : { 1U, 3U, 5U, 8U }) {
        auto balancer = trainedBalancer(longAnswers);
        auto engines = makeEngines(prefillEngines, 12 - prefillEngines);
        auto settled = settle(balancer, engines, 0, 30000);
        CHECK(callCapacity(12, settled, longAnswers) * 1.1 > callCapacity(12, optimalPrefillEngines(12, longAnswers), longAnswers));
        CHECK(settle(balancer, engines, 30000, 30000) == settled);
    }
}

TEST_CASE("An outage of two seconds changes nothing, a lasting one is compensated")
{
    auto balancer = trainedBalancer(longAnswers);
    auto allEngines = makeEngines(4, 9);
    settle(balancer, allEngines, 0, 20000);
    auto before = allEngines;
    auto remaining = allEngines;
    std::erase_if(remaining, [&](const auto& engine) { return engine.stage == wire::STAGE_DECODE && (engine.id == "e9" || engine.id == "e10" || engine.id == "e11" || engine.id == "e12"); });
    for (int ms = 20000; ms < 22000; ms += 500)
        CHECK_FALSE(balancer.chooseChange(remaining, at(ms)));
    CHECK_FALSE(balancer.chooseChange(allEngines, at(22000)));
    auto prefillEngines = settle(balancer, remaining, 22500, 20000);
    auto total = static_cast<unsigned>(remaining.size());
    CHECK(callCapacity(total, prefillEngines, longAnswers) * 1.1 > callCapacity(total, optimalPrefillEngines(total, longAnswers), longAnswers));
}

TEST_CASE("Few observations cause no change, and the last engine of a stage keeps it")
{
    stage_balancer balancer;
    balancer.recordCall(shortAnswers);
    auto engines = makeEngines(1, 11);
    CHECK(settle(balancer, engines, 0, 30000) == 1);
    auto trained = trainedBalancer(longAnswers);
    auto two = makeEngines(1, 1);
    CHECK(settle(trained, two, 0, 30000) == 1);
}

TEST_CASE("An engine that is changing its stage gets no calls and counts for its new stage")
{
    manual_clock_source clock;
    engine_planner planner(7);
    auto makeRow = [](const std::string& id, wire::endpoint_stage stage) {
        wire::endpoint_row row;
        row.mutable_report()->set_id(id);
        row.mutable_report()->set_born_ms(1);
        row.mutable_report()->set_service("llm");
        row.mutable_report()->set_slots(64);
        row.mutable_report()->set_stage(stage);
        return row;
    };
    planner.updateEndpoint(makeRow("d1", wire::STAGE_DECODE));
    planner.updateEndpoint(makeRow("d2", wire::STAGE_DECODE));
    planner.startStageChange({ "d1", wire::STAGE_PREFILL }, clock.now() + milliseconds(20000));
    std::uint64_t id = 0;
    auto nextRequest = [&] {
        placement_request request;
        request.callId = ++id;
        request.service = "llm";
        request.promptTokens = 100;
        request.outputTokens = 100;
        request.memoryTokens = 100000;
        return request;
    };
    for (int i = 0; i < 5; ++i)
        CHECK(planner.place("entry", nextRequest(), clock.now()).decode == "d2");
    planner.updateEndpoint(makeRow("d1", wire::STAGE_PREFILL));
    CHECK(planner.place("entry", nextRequest(), clock.now()).prefill == "d1");
    // After a failed order the engine keeps its stage and is available at once.
    planner.startStageChange({ "d2", wire::STAGE_PREFILL }, clock.now() + milliseconds(20000));
    CHECK(planner.place("entry", nextRequest(), clock.now()).full);
    planner.cancelStageChange("d2", clock.now());
    CHECK_FALSE(planner.place("entry", nextRequest(), clock.now()).full);
}

TEST_CASE("The speed model learns from prefills that overlap, are queued and become slower")
{
    engine_speed_model model;
    std::mt19937_64 random(3);
    // 20 ms per thousand tokens and 120 ms overhead per prompt; one prompt in three is queued.
    auto prefillTime = [&](std::uint64_t tokens, double msPerThousand) {
        auto queueTime = random() % 3 == 0 ? random() % 400 : 0;
        return milliseconds(static_cast<std::int64_t>(120 + msPerThousand * static_cast<double>(tokens) / 1000) + static_cast<std::int64_t>(queueTime));
    };
    for (int i = 0; i < 300; ++i) {
        auto tokens = 2000 + random() % 8000;
        model.recordPrefill(tokens, prefillTime(tokens, 20));
    }
    auto busy = std::chrono::duration<double, std::milli>(model.prefillTime(5000)).count();
    CHECK(busy > 75);
    CHECK(busy < 130);
    CHECK(model.timeToFirstEvent(5000) > milliseconds(200));
    for (int i = 0; i < 300; ++i) {
        auto tokens = 2000 + random() % 8000;
        model.recordPrefill(tokens, prefillTime(tokens, 100));
    }
    CHECK(std::chrono::duration<double, std::milli>(model.prefillTime(5000)).count() > 350);
}
