#include "scheduling/engine_planner.h"
#include "scheduling/output_estimator.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
constexpr std::uint64_t memoryTokens = 74000;

wire::endpoint_row rowOf(const std::string& id, wire::endpoint_stage stage, const std::string& dataCentre = "a", unsigned slots = 32)
{
    wire::endpoint_row row;
    auto& report = *row.mutable_report();
    report.set_id(id);
    report.set_born_ms(1);
    report.set_address("10.0.0.1:80");
    report.set_service("llm");
    report.set_data_centre(dataCentre);
    report.set_slots(slots);
    report.set_stage(stage);
    return row;
}

placement_request askOf(std::uint64_t id, std::uint64_t prompt = 5200, std::uint64_t output = 5000)
{
    placement_request ask;
    ask.callId = id;
    ask.service = "llm";
    ask.dataCentre = "a";
    ask.promptTokens = prompt;
    ask.outputTokens = output;
    ask.memoryTokens = memoryTokens;
    return ask;
}

/// Lets the planner learn how fast engines read, by calls that ended.
void teachReading(engine_planner& planner, time_point now, std::uint64_t tokensPerMs)
{
    constexpr std::uint64_t firstCall = 1'000'000;
    for (std::uint64_t i = 1; i <= 10; ++i) {
        REQUIRE_FALSE(planner.place("teacher", askOf(firstCall + i, 100), now).full);
        planner.release("teacher", firstCall + i, { .prefillTokens = 20 * i * tokensPerMs, .prefillTime = milliseconds(20 * i) });
    }
}
}

TEST_CASE("The peak of memory lies where the last growth before an end is, not at the sum of all ends")
{
    CHECK(peakMemory({}) == 0);
    CHECK(peakMemory({ { 100, 50 } }) == 150);
    // At the first end 100 + 100 + 2 * 10 are held; at the second 100 + 60.
    CHECK(peakMemory({ { 100, 10 }, { 100, 60 } }) == 220);
    // The second end is the peak here: 10 + 500.
    CHECK(peakMemory({ { 10, 10 }, { 10, 500 } }) == 510);
}

// Callers see: streams stop for seconds while their prompts are read a second time.
// Order: at twice the usual load calls come faster than the entries' reports; some engines get more than they hold.
// Why: each call is booked when it is placed, by what it will hold as it grows; what doesn't fit waits or is refused.
TEST_CASE("Engines are filled evenly and never beyond what their calls will hold")
{
    manual_clock_source clock;
    engine_planner planner(7);
    for (const auto* id : { "d1", "d2", "d3" })
        planner.updateEndpoint(rowOf(id, wire::STAGE_DECODE));
    std::map<std::string, int> placed;
    std::uint64_t id = 0;
    while (true) {
        auto plan = planner.place("entry", askOf(++id), clock.now());
        if (plan.full)
            break;
        ++placed[plan.decode];
        REQUIRE(id < 100);
    }
    for (const auto* one : { "d1", "d2", "d3" }) {
        CHECK(placed[one] == 6);
        CHECK(planner.projectedTokens(one, clock.now()) <= memoryTokens);
    }
}

// Callers see: refusals while engines are half empty.
// Order: calls are placed one after the other over the time that each runs; those placed first end while the last grow.
// Why: counted by the most that each is expected to hold, thirteen calls fill this engine; in truth it holds more, spread
// over time.
TEST_CASE("Calls that began at different times share more memory than their ends add up to")
{
    manual_clock_source clock;
    engine_planner planner(7);
    planner.updateEndpoint(rowOf("d1", wire::STAGE_DECODE));
    std::uint64_t id = 0;
    std::size_t most = 0;
    std::map<std::uint64_t, time_point> running;
    constexpr milliseconds runsFor { 3300 };
    for (int step = 0; step < 200; ++step) {
        clock.advance(milliseconds(100));
        for (auto it = running.begin(); it != running.end();) {
            if (clock.now() - it->second < runsFor) {
                ++it;
                continue;
            }
            planner.release("entry", it->first, { .generatedTokens = 5000, .generationTime = runsFor });
            it = running.erase(it);
        }
        auto ask = askOf(++id);
        ask.memoryTokens = 2 * memoryTokens;
        auto plan = planner.place("entry", ask, clock.now());
        if (!plan.full)
            running[id] = clock.now();
        most = std::max(most, running.size());
    }
    auto byEnds = static_cast<double>(2 * memoryTokens) / (5200 + expectedRest(5000, 0));
    CHECK(static_cast<int>(byEnds) == 13);
    CHECK(most > 13);
}

// Callers see: an engine stands empty after an entry died or a message was lost.
// Order: the entry's release is lost; its next list of running calls no longer has the call.
// Why: the list replaces what was noted, but for calls placed so recently that the list can't have them yet.
TEST_CASE("An entry's list replaces what was noted for it")
{
    manual_clock_source clock;
    engine_planner planner(7);
    planner.updateEndpoint(rowOf("d1", wire::STAGE_DECODE));
    planner.place("entry", askOf(1), clock.now());
    clock.advance(milliseconds(500));
    planner.place("entry", askOf(2), clock.now());
    planner.replaceCalls("entry", {}, clock.now());
    CHECK(planner.projectedTokens("d1", clock.now()) == 5200 + static_cast<std::uint64_t>(expectedRest(5000, 0)));
    planner.removeEntry("entry");
    CHECK(planner.projectedTokens("d1", clock.now()) == 0);
}

TEST_CASE("Prompts go to the prefill engine that is free first, and to none when all are far behind")
{
    manual_clock_source clock;
    engine_planner planner(7);
    for (int i = 0; i < 40; ++i)
        planner.updateEndpoint(rowOf("d" + std::to_string(i), wire::STAGE_DECODE));
    planner.updateEndpoint(rowOf("p1", wire::STAGE_PREFILL));
    planner.updateEndpoint(rowOf("p2", wire::STAGE_PREFILL));
    teachReading(planner, clock.now(), 50);
    clock.advance(milliseconds(1000));
    auto first = planner.place("entry", askOf(1), clock.now());
    auto second = planner.place("entry", askOf(2), clock.now());
    CHECK(first.prefill != second.prefill);
    std::uint64_t id = 2;
    std::string prefill = "p";
    while (!prefill.empty() && id < 40)
        prefill = planner.place("entry", askOf(++id), clock.now()).prefill;
    CHECK(prefill.empty());
    clock.advance(milliseconds(1000));
    CHECK_FALSE(planner.place("entry", askOf(++id), clock.now()).prefill.empty());
}

TEST_CASE("Leaving and silent engines and those tried already get nothing")
{
    manual_clock_source clock;
    engine_planner planner(7);
    auto leaving = rowOf("d1", wire::STAGE_DECODE);
    leaving.mutable_report()->set_state(wire::ENDPOINT_LEAVING);
    auto silent = rowOf("d2", wire::STAGE_DECODE);
    silent.set_silent(true);
    planner.updateEndpoint(leaving);
    planner.updateEndpoint(silent);
    planner.updateEndpoint(rowOf("d3", wire::STAGE_DECODE));
    auto ask = askOf(1);
    ask.exclude = { "d3" };
    CHECK(planner.place("entry", ask, clock.now()).full);
    ask.exclude.clear();
    CHECK(planner.place("entry", ask, clock.now()).decode == "d3");
}

// Callers see: a report that broke off is not resumed though an engine serves.
// Order: a stream breaks off at one engine; the other failed a moment ago; the entry asks to avoid it, and the planner
// finds no engine at all.
// Why: what failed lately is avoided only while another engine serves.
TEST_CASE("An engine that failed lately is used where no other serves")
{
    manual_clock_source clock;
    engine_planner planner(7);
    planner.updateEndpoint(rowOf("d1", wire::STAGE_DECODE));
    planner.updateEndpoint(rowOf("d2", wire::STAGE_DECODE));
    auto ask = askOf(1);
    ask.avoid = { "d1" };
    CHECK(planner.place("entry", ask, clock.now()).decode == "d2");
    ask.exclude = { "d2" };
    CHECK(planner.place("entry", ask, clock.now()).decode == "d1");
}

// Callers see: all streams of an engine stand still for half a second, time and again, and are late.
// Order: a burst keeps the prefill engines busy; the planner sends prompts to decode engines unread; each makes no tokens
// while it reads.
// Why: a decode engine that has streams reads only what doesn't hold them up; other calls wait for a prefill engine.
TEST_CASE("A decode engine that has streams reads no long prompt while prefill engines are busy")
{
    manual_clock_source clock;
    engine_planner planner(7);
    planner.updateEndpoint(rowOf("d1", wire::STAGE_DECODE));
    planner.updateEndpoint(rowOf("p1", wire::STAGE_PREFILL));
    teachReading(planner, clock.now(), 50);
    clock.advance(milliseconds(1000));
    auto ask = [](std::uint64_t id, std::uint64_t prompt) {
        auto one = askOf(id, prompt, 100);
        one.memoryTokens = 100 * memoryTokens;
        return one;
    };
    std::uint64_t id = 0;
    while (!planner.place("entry", ask(++id, 5200), clock.now()).full)
        REQUIRE(id < 20);
    CHECK(id > 2);
    // A short one costs the streams less than the usual pause between events; a second at once does not.
    auto brief = planner.place("entry", ask(++id, 2000), clock.now());
    CHECK_FALSE(brief.full);
    CHECK(brief.prefill.empty());
    CHECK(planner.place("entry", ask(++id, 2000), clock.now()).full);
    // Without any prefill engine there is no other way.
    auto gone = rowOf("p1", wire::STAGE_PREFILL);
    gone.mutable_report()->set_state(wire::ENDPOINT_GONE);
    planner.updateEndpoint(gone);
    CHECK_FALSE(planner.place("entry", ask(++id, 5200), clock.now()).full);
}

// Callers see: streams stand still while an engine reads prompts a second time.
// Order: engines are filled by callers' guesses; some answers turn out two or three times as long; memory runs out.
// Why: a guess is weighed with the usual length of the route's answers, and an answer that outgrew its forecast counts
// as longer still the longer it runs.
TEST_CASE("Forecasts of answers use guesses and history")
{
    output_estimator forecast;
    CHECK(forecast.estimate("r", 9000, std::nullopt) == 4500);
    for (int i = 0; i < 200; ++i)
        forecast.record("r", i % 2 == 0 ? 2000 : 8000);
    auto usual = forecast.estimate("r", 9000, std::nullopt);
    CHECK(usual > 3900);
    CHECK(usual < 4200);
    auto low = forecast.estimate("r", 9000, 1000);
    auto high = forecast.estimate("r", 9000, 16000);
    CHECK(low > 1500);
    CHECK(low < usual);
    CHECK(high > usual);
    CHECK(high < 8500);
    CHECK(forecast.estimate("r", 3000, 16000) == 3000);
    CHECK(forecast.estimate("r", 0, 16000) == 0);
    double rest = expectedRest(5000, 0);
    CHECK(rest > 5000);
    CHECK(expectedRest(5000, 3000) < rest - 2000);
    CHECK(expectedRest(5000, 3000) > rest - 3000);
    CHECK(expectedRest(5000, 10000) > 1000);
    CHECK(expectedRest(5000, 100000) > expectedRest(5000, 50000));
}

// Which part of the forecasts' errors remains: seeded lengths and guesses, both spread as measured on the users' engines.
TEST_CASE("Forecasts err less than guesses or the usual length alone")
{
    std::mt19937_64 random(11);
    std::normal_distribution<double> spread(0, 0.5);
    output_estimator forecast;
    double byForecast = 0;
    double byGuess = 0;
    double byUsual = 0;
    for (int i = 0; i < 4000; ++i) {
        auto length = std::min(9400.0, 4500 * std::exp(spread(random)));
        auto guess = length * std::exp(spread(random));
        if (i > 200) {
            byForecast += std::pow(static_cast<double>(forecast.estimate("r", 9400, static_cast<std::uint64_t>(guess))) - length, 2);
            byGuess += std::pow(std::min(guess, 9400.0) - length, 2);
            byUsual += std::pow(4900 - length, 2);
        }
        forecast.record("r", static_cast<std::uint64_t>(length));
    }
    CHECK(byForecast < 0.75 * byGuess);
    CHECK(byForecast < 0.75 * byUsual);
}

// Callers see: one call in five fails for seconds, and prompts are read for nothing.
// Order: an engine answers each call with an error at once while its health check is good; so it is always empty, and each
// entry in turn sends it calls until it has failed there often enough.
// Why: the leader counts the failures of all entries; after three in a row one call a second tries the engine.
TEST_CASE("An engine that fails all calls is left alone by all entries")
{
    manual_clock_source clock;
    engine_planner planner(7);
    for (const auto* id : { "d1", "d2", "d3" })
        planner.updateEndpoint(rowOf(id, wire::STAGE_DECODE));
    std::uint64_t id = 0;
    int atBad = 0;
    for (int step = 0; step < 300; ++step) {
        clock.advance(milliseconds(100));
        auto entry = "entry-" + std::to_string(step % 60);
        auto plan = planner.place(entry, askOf(++id, 500, 500), clock.now());
        REQUIRE_FALSE(plan.full);
        planner.release(entry, id);
        if (plan.decode == "d1") {
            ++atBad;
            planner.recordFailure("d1", clock.now());
        } else {
            planner.recordSuccess(plan.decode);
        }
    }
    CHECK(atBad >= 10);
    CHECK(atBad <= 35);
    // It serves again: the one call that tries it succeeds, and it gets its share.
    int atGood = 0;
    for (int step = 0; step < 60; ++step) {
        clock.advance(milliseconds(100));
        auto plan = planner.place("entry", askOf(++id, 500, 500), clock.now());
        planner.release("entry", id);
        planner.recordSuccess(plan.decode);
        atGood += plan.decode == "d1";
    }
    CHECK(atGood >= 8);
}

// Callers see: refusals while engines are free.
// Order: all connections of an entry are reset at one moment; each engine counts as failing.
// Why: failures of one moment count once, and where most engines fail all are used.
TEST_CASE("Engines are not shut out by failures of one moment or of most engines")
{
    manual_clock_source clock;
    engine_planner planner(7);
    for (const auto* id : { "d1", "d2", "d3" })
        planner.updateEndpoint(rowOf(id, wire::STAGE_DECODE));
    for (int i = 0; i < 20; ++i)
        planner.recordFailure("d1", clock.now());
    std::set<std::string> used;
    for (std::uint64_t id = 1; id <= 9; ++id)
        used.insert(planner.place("entry", askOf(id), clock.now()).decode);
    CHECK(used.size() == 3);
    planner.removeEntry("entry");
    for (int i = 0; i < 5; ++i) {
        clock.advance(milliseconds(100));
        for (const auto* id : { "d1", "d2" })
            planner.recordFailure(id, clock.now());
    }
    used.clear();
    for (std::uint64_t id = 1; id <= 9; ++id)
        used.insert(planner.place("entry", askOf(id), clock.now()).decode);
    CHECK(used.size() == 3);
}

// Callers see: calls go on failing at an engine that resets each new one.
// Order: streams that the engine began before it turned bad go on for seconds, while each new call is reset.
// Why: only events of calls that were placed after its last failure speak for an engine.
TEST_CASE("Streams from before an engine turned bad don't speak for it")
{
    manual_clock_source clock;
    engine_planner planner(7);
    planner.updateEndpoint(rowOf("d1", wire::STAGE_DECODE));
    planner.updateEndpoint(rowOf("d2", wire::STAGE_DECODE));
    auto first = planner.place("entry", askOf(1), clock.now());
    wire::running_call running;
    running.set_id(1);
    running.set_endpoint(first.decode);
    running.set_prompt_tokens(5200);
    running.set_output_tokens(5000);
    running.set_generated(500);
    for (int i = 0; i < 4; ++i) {
        clock.advance(milliseconds(100));
        planner.recordFailure(first.decode, clock.now());
        planner.replaceCalls("entry", { running }, clock.now());
    }
    for (std::uint64_t id = 2; id <= 4; ++id)
        CHECK(planner.place("entry", askOf(id), clock.now()).decode != first.decode);
    // One that was placed since does.
    clock.advance(milliseconds(500));
    running.set_id(9);
    planner.replaceCalls("entry", { running }, clock.now());
    std::set<std::string> used;
    for (std::uint64_t id = 10; id <= 13; ++id)
        used.insert(planner.place("entry", askOf(id), clock.now()).decode);
    CHECK(used.count(first.decode) == 1);
}

// Callers see: refusals for ten seconds after an engine is sound again.
// Order: an engine failed often; the call that tries it is refused as full, or its caller leaves; nothing is learnt.
// Why: a trial that ends without a verdict lets the next one begin.
TEST_CASE("A trial of an engine that ends without a verdict is followed by another")
{
    manual_clock_source clock;
    engine_planner planner(7);
    for (const auto* id : { "d1", "d2", "d3" })
        planner.updateEndpoint(rowOf(id, wire::STAGE_DECODE));
    for (int i = 0; i < 3; ++i) {
        clock.advance(milliseconds(100));
        planner.recordFailure("d1", clock.now());
    }
    int trials = 0;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        clock.advance(milliseconds(100));
        auto plan = planner.place("entry", askOf(id, 500, 500), clock.now());
        trials += plan.decode == "d1";
        planner.release("entry", id);
    }
    CHECK(trials >= 5);
}

// Callers see: their call is refused or waits, though other engines have room.
// Order: an entry loses power; engines go on with its streams, which the planner has forgotten with the entry; the fullest
// of them looks the emptiest, draws every call and refuses it.
// Why: an engine that refuses is left alone for a while, longer each time, until it serves again.
TEST_CASE("An engine that refuses calls as full is left alone for a while")
{
    manual_clock_source clock;
    engine_planner planner(7);
    planner.updateEndpoint(rowOf("d1", wire::STAGE_DECODE));
    planner.updateEndpoint(rowOf("d2", wire::STAGE_DECODE));
    std::uint64_t id = 0;
    for (int i = 0; i < 3; ++i)
        planner.place("entry", askOf(++id, 5200, 100), clock.now());
    planner.recordRefusal("d1", clock.now());
    int atFirst = 0;
    for (int i = 0; i < 3; ++i)
        atFirst += planner.place("entry", askOf(++id, 5200, 100), clock.now()).decode == "d1" ? 1 : 0;
    CHECK(atFirst == 0);
    clock.advance(milliseconds(200));
    CHECK(planner.place("entry", askOf(++id, 5200, 100), clock.now()).decode == "d1");
    // Refused again, it is left alone for longer; served once, it starts anew.
    planner.recordRefusal("d1", clock.now());
    clock.advance(milliseconds(200));
    CHECK(planner.place("entry", askOf(++id, 5200, 100), clock.now()).decode == "d2");
    clock.advance(milliseconds(200));
    planner.recordSuccess("d1");
    planner.recordRefusal("d1", clock.now());
    clock.advance(milliseconds(200));
    CHECK(planner.place("entry", askOf(++id, 5200, 100), clock.now()).decode == "d1");
    // Where all refuse, the call waits.
    planner.recordRefusal("d1", clock.now());
    planner.recordRefusal("d2", clock.now());
    CHECK(planner.place("entry", askOf(++id, 5200, 100), clock.now()).full);
}
