#include "scheduling/engine_planner.h"
#include "scheduling/output_estimator.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
constexpr std::uint64_t memoryTokens = 74000;

wire::endpoint_row makeRow(const std::string& id, wire::endpoint_stage stage, const std::string& dataCentre = "a", unsigned slots = 32)
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

placement_request makeRequest(std::uint64_t id, std::uint64_t prompt = 5200, std::uint64_t output = 5000)
{
    placement_request request;
    request.callId = id;
    request.service = "llm";
    request.dataCentre = "a";
    request.promptTokens = prompt;
    request.outputTokens = output;
    request.memoryTokens = memoryTokens;
    return request;
}

/// Trains the planner's speed model with completed calls.
void trainPrefillSpeed(engine_planner& planner, time_point now, std::uint64_t tokensPerMs)
{
    constexpr std::uint64_t firstCall = 1'000'000;
    for (std::uint64_t i = 1; i <= 10; ++i) {
        REQUIRE_FALSE(planner.place("trainer", makeRequest(firstCall + i, 100), now).full);
        planner.release("trainer", firstCall + i, { .prefillTokens = 20 * i * tokensPerMs, .prefillTime = milliseconds(20 * i) });
    }
}
}

TEST_CASE("Peak memory lies just before a call ends and is less than the sum of all calls at their ends")
{
    CHECK(peakMemory({}) == 0);
    CHECK(peakMemory({ { 100, 50 } }) == 150);
    // At the first end 100 + 100 + 2 * 10 are held; at the second 100 + 60.
    CHECK(peakMemory({ { 100, 10 }, { 100, 60 } }) == 220);
    // The second end is the peak here: 10 + 500.
    CHECK(peakMemory({ { 10, 10 }, { 10, 500 } }) == 510);
}

// At twice the usual load calls arrive faster than the entries' reports. Unless each call is reserved at its placement
// with its projected memory, some engines are overfilled and their streams stall for seconds while prompts are
// prefilled again.
TEST_CASE("Engines are filled evenly and never beyond the projected memory of their calls")
{
    manual_clock_source clock;
    engine_planner planner(7);
    for (const auto* id : { "d1", "d2", "d3" })
        planner.updateEndpoint(makeRow(id, wire::STAGE_DECODE));
    std::map<std::string, int> placed;
    std::uint64_t id = 0;
    while (true) {
        auto placement = planner.place("entry", makeRequest(++id), clock.now());
        if (placement.full)
            break;
        ++placed[placement.decode];
        REQUIRE(id < 100);
    }
    for (const auto* engine : { "d1", "d2", "d3" }) {
        CHECK(placed[engine] == 6);
        CHECK(planner.projectedTokens(engine, clock.now()) <= memoryTokens);
    }
}

// Calls that start one after the other reach their peaks at different times. By the sum of their expected peaks
// thirteen calls fill this engine, and calls are refused while it is half empty.
TEST_CASE("Calls that start at different times fit in less memory than the sum of their peaks")
{
    manual_clock_source clock;
    engine_planner planner(7);
    planner.updateEndpoint(makeRow("d1", wire::STAGE_DECODE));
    std::uint64_t id = 0;
    std::size_t maxRunning = 0;
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
        auto request = makeRequest(++id);
        request.memoryTokens = 2 * memoryTokens;
        auto placement = planner.place("entry", request, clock.now());
        if (!placement.full)
            running[id] = clock.now();
        maxRunning = std::max(maxRunning, running.size());
    }
    auto callsBySum = static_cast<double>(2 * memoryTokens) / (5200 + expectedRemaining(5000, 0));
    CHECK(static_cast<int>(callsBySum) == 13);
    CHECK(maxRunning > 13);
}

// When the release of a call is lost, its engine stays reserved until the entry's next list of running calls. The list
// replaces the tracked calls, except those placed so recently that it can't contain them yet.
TEST_CASE("An entry's list of running calls replaces those tracked for it")
{
    manual_clock_source clock;
    engine_planner planner(7);
    planner.updateEndpoint(makeRow("d1", wire::STAGE_DECODE));
    planner.place("entry", makeRequest(1), clock.now());
    clock.advance(milliseconds(500));
    planner.place("entry", makeRequest(2), clock.now());
    planner.replaceCalls("entry", {}, clock.now());
    CHECK(planner.projectedTokens("d1", clock.now()) == 5200 + static_cast<std::uint64_t>(expectedRemaining(5000, 0)));
    planner.removeEntry("entry");
    CHECK(planner.projectedTokens("d1", clock.now()) == 0);
}

TEST_CASE("Prompts go to the prefill engine that is free first, and to none when all queues are long")
{
    manual_clock_source clock;
    engine_planner planner(7);
    for (int i = 0; i < 40; ++i)
        planner.updateEndpoint(makeRow("d" + std::to_string(i), wire::STAGE_DECODE));
    planner.updateEndpoint(makeRow("p1", wire::STAGE_PREFILL));
    planner.updateEndpoint(makeRow("p2", wire::STAGE_PREFILL));
    trainPrefillSpeed(planner, clock.now(), 50);
    clock.advance(milliseconds(1000));
    auto first = planner.place("entry", makeRequest(1), clock.now());
    auto second = planner.place("entry", makeRequest(2), clock.now());
    CHECK(first.prefill != second.prefill);
    std::uint64_t id = 2;
    std::string prefill = "p";
    while (!prefill.empty() && id < 40)
        prefill = planner.place("entry", makeRequest(++id), clock.now()).prefill;
    CHECK(prefill.empty());
    clock.advance(milliseconds(1000));
    CHECK_FALSE(planner.place("entry", makeRequest(++id), clock.now()).prefill.empty());
}

TEST_CASE("Leaving, silent and already tried engines get no calls")
{
    manual_clock_source clock;
    engine_planner planner(7);
    auto leaving = makeRow("d1", wire::STAGE_DECODE);
    leaving.mutable_report()->set_state(wire::ENDPOINT_LEAVING);
    auto silent = makeRow("d2", wire::STAGE_DECODE);
    silent.set_silent(true);
    planner.updateEndpoint(leaving);
    planner.updateEndpoint(silent);
    planner.updateEndpoint(makeRow("d3", wire::STAGE_DECODE));
    auto request = makeRequest(1);
    request.exclude = { "d3" };
    CHECK(planner.place("entry", request, clock.now()).full);
    request.exclude.clear();
    CHECK(planner.place("entry", request, clock.now()).decode == "d3");
}

// A stream breaks at one of two engines and the entry avoids the other, which failed recently. Unless the avoided
// engine is used when there is no other, the stream is not resumed.
TEST_CASE("An engine that failed recently is used if there is no other")
{
    manual_clock_source clock;
    engine_planner planner(7);
    planner.updateEndpoint(makeRow("d1", wire::STAGE_DECODE));
    planner.updateEndpoint(makeRow("d2", wire::STAGE_DECODE));
    auto request = makeRequest(1);
    request.avoid = { "d1" };
    CHECK(planner.place("entry", request, clock.now()).decode == "d2");
    request.exclude = { "d2" };
    CHECK(planner.place("entry", request, clock.now()).decode == "d1");
}

// A decode engine generates no tokens while it prefills. If it prefills long prompts during a burst that keeps the
// prefill engines busy, all its streams stall repeatedly for half a second, so such calls must wait for a prefill
// engine.
TEST_CASE("A decode engine with streams prefills no long prompt while prefill engines are busy")
{
    manual_clock_source clock;
    engine_planner planner(7);
    planner.updateEndpoint(makeRow("d1", wire::STAGE_DECODE));
    planner.updateEndpoint(makeRow("p1", wire::STAGE_PREFILL));
    trainPrefillSpeed(planner, clock.now(), 50);
    clock.advance(milliseconds(1000));
    auto largeMemoryRequest = [](std::uint64_t id, std::uint64_t prompt) {
        auto request = makeRequest(id, prompt, 100);
        request.memoryTokens = 100 * memoryTokens;
        return request;
    };
    std::uint64_t id = 0;
    while (!planner.place("entry", largeMemoryRequest(++id, 5200), clock.now()).full)
        REQUIRE(id < 20);
    CHECK(id > 2);
    // A short prompt stalls the streams for less than the usual gap between events; a second one right after it does
    // not.
    auto shortPrompt = planner.place("entry", largeMemoryRequest(++id, 2000), clock.now());
    CHECK_FALSE(shortPrompt.full);
    CHECK(shortPrompt.prefill.empty());
    CHECK(planner.place("entry", largeMemoryRequest(++id, 2000), clock.now()).full);
    // Without any prefill engine the decode engine prefills all prompts.
    auto gone = makeRow("p1", wire::STAGE_PREFILL);
    gone.mutable_report()->set_state(wire::ENDPOINT_GONE);
    planner.updateEndpoint(gone);
    CHECK_FALSE(planner.place("entry", largeMemoryRequest(++id, 5200), clock.now()).full);
}

// Some answers are two or three times as long as the callers' hints. If engines are filled by hints alone, memory runs
// out and streams stall while prompts are prefilled again. So a hint is combined with the route's history, and the
// expected remaining length of an answer that exceeds its estimate grows with its length.
TEST_CASE("Output estimates use hints and history")
{
    output_estimator estimator;
    CHECK(estimator.estimate("r", 9000, std::nullopt) == 4500);
    for (int i = 0; i < 200; ++i)
        estimator.record("r", i % 2 == 0 ? 2000 : 8000);
    auto withoutHint = estimator.estimate("r", 9000, std::nullopt);
    CHECK(withoutHint > 3900);
    CHECK(withoutHint < 4200);
    auto low = estimator.estimate("r", 9000, 1000);
    auto high = estimator.estimate("r", 9000, 16000);
    CHECK(low > 1500);
    CHECK(low < withoutHint);
    CHECK(high > withoutHint);
    CHECK(high < 8500);
    CHECK(estimator.estimate("r", 3000, 16000) == 3000);
    CHECK(estimator.estimate("r", 0, 16000) == 0);
    double remaining = expectedRemaining(5000, 0);
    CHECK(remaining > 5000);
    CHECK(expectedRemaining(5000, 3000) < remaining - 2000);
    CHECK(expectedRemaining(5000, 3000) > remaining - 3000);
    CHECK(expectedRemaining(5000, 10000) > 1000);
    CHECK(expectedRemaining(5000, 100000) > expectedRemaining(5000, 50000));
}

// Lengths and hints are random with a fixed seed; both have the spread measured on the users' engines.
TEST_CASE("Estimates have smaller errors than hints or the mean length alone")
{
    std::mt19937_64 random(11);
    std::normal_distribution<double> spread(0, 0.5);
    output_estimator estimator;
    double estimateError = 0;
    double hintError = 0;
    double meanError = 0;
    for (int i = 0; i < 4000; ++i) {
        auto length = std::min(9400.0, 4500 * std::exp(spread(random)));
        auto hint = length * std::exp(spread(random));
        if (i > 200) {
            estimateError += std::pow(static_cast<double>(estimator.estimate("r", 9400, static_cast<std::uint64_t>(hint))) - length, 2);
            hintError += std::pow(std::min(hint, 9400.0) - length, 2);
            meanError += std::pow(4900 - length, 2);
        }
        estimator.record("r", static_cast<std::uint64_t>(length));
    }
    CHECK(estimateError < 0.75 * hintError);
    CHECK(estimateError < 0.75 * meanError);
}

// An engine that fails every call at once while its health check succeeds is always empty, so each entry in turn sends
// it calls until it has seen enough failures itself: one call in five fails for seconds and prefills are wasted. The
// leader therefore counts the failures of all entries and after three in a row sends one probe per second.
TEST_CASE("An engine that fails all calls gets only probes from all entries together")
{
    manual_clock_source clock;
    engine_planner planner(7);
    for (const auto* id : { "d1", "d2", "d3" })
        planner.updateEndpoint(makeRow(id, wire::STAGE_DECODE));
    std::uint64_t id = 0;
    int atFailing = 0;
    for (int step = 0; step < 300; ++step) {
        clock.advance(milliseconds(100));
        auto entry = "entry-" + std::to_string(step % 60);
        auto placement = planner.place(entry, makeRequest(++id, 500, 500), clock.now());
        REQUIRE_FALSE(placement.full);
        planner.release(entry, id);
        if (placement.decode == "d1") {
            ++atFailing;
            planner.recordFailure("d1", clock.now());
        } else {
            planner.recordSuccess(placement.decode);
        }
    }
    CHECK(atFailing >= 10);
    CHECK(atFailing <= 35);
    // The engine recovers: a probe succeeds, and it gets its share of the calls.
    int atRecovered = 0;
    for (int step = 0; step < 60; ++step) {
        clock.advance(milliseconds(100));
        auto placement = planner.place("entry", makeRequest(++id, 500, 500), clock.now());
        planner.release("entry", id);
        planner.recordSuccess(placement.decode);
        atRecovered += placement.decode == "d1";
    }
    CHECK(atRecovered >= 8);
}

// When all connections of an entry are reset together, each engine seems to fail and calls are refused while engines
// are free. So simultaneous failures count once, and if most engines fail, all are used.
TEST_CASE("Simultaneous failures, or failures of most engines, exclude no engine")
{
    manual_clock_source clock;
    engine_planner planner(7);
    for (const auto* id : { "d1", "d2", "d3" })
        planner.updateEndpoint(makeRow(id, wire::STAGE_DECODE));
    for (int i = 0; i < 20; ++i)
        planner.recordFailure("d1", clock.now());
    std::set<std::string> used;
    for (std::uint64_t id = 1; id <= 9; ++id)
        used.insert(planner.place("entry", makeRequest(id), clock.now()).decode);
    CHECK(used.size() == 3);
    planner.removeEntry("entry");
    for (int i = 0; i < 5; ++i) {
        clock.advance(milliseconds(100));
        for (const auto* id : { "d1", "d2" })
            planner.recordFailure(id, clock.now());
    }
    used.clear();
    for (std::uint64_t id = 1; id <= 9; ++id)
        used.insert(planner.place("entry", makeRequest(id), clock.now()).decode);
    CHECK(used.size() == 3);
}

// An engine that resets each new call may continue streams that it started before. Their events must not count as
// successes, or calls go on failing there; only events of calls placed after its last failure count.
TEST_CASE("Streams started before an engine failed don't count as its successes")
{
    manual_clock_source clock;
    engine_planner planner(7);
    planner.updateEndpoint(makeRow("d1", wire::STAGE_DECODE));
    planner.updateEndpoint(makeRow("d2", wire::STAGE_DECODE));
    auto first = planner.place("entry", makeRequest(1), clock.now());
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
        CHECK(planner.place("entry", makeRequest(id), clock.now()).decode != first.decode);
    // A call placed after the failure counts.
    clock.advance(milliseconds(500));
    running.set_id(9);
    planner.replaceCalls("entry", { running }, clock.now());
    std::set<std::string> used;
    for (std::uint64_t id = 10; id <= 13; ++id)
        used.insert(planner.place("entry", makeRequest(id), clock.now()).decode);
    CHECK(used.count(first.decode) == 1);
}

// A probe may end without a result: the engine refuses it as full, or its caller disconnects. Unless the next probe
// may start then, a recovered engine gets no calls for ten seconds.
TEST_CASE("A probe that ends without a result is followed by another")
{
    manual_clock_source clock;
    engine_planner planner(7);
    for (const auto* id : { "d1", "d2", "d3" })
        planner.updateEndpoint(makeRow(id, wire::STAGE_DECODE));
    for (int i = 0; i < 3; ++i) {
        clock.advance(milliseconds(100));
        planner.recordFailure("d1", clock.now());
    }
    int probes = 0;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        clock.advance(milliseconds(100));
        auto placement = planner.place("entry", makeRequest(id, 500, 500), clock.now());
        probes += placement.decode == "d1";
        planner.release("entry", id);
    }
    CHECK(probes >= 5);
}

// After an entry's power loss its engines continue its streams, which the planner no longer tracks. The fullest engine
// then seems the least loaded, attracts every call and refuses it, while other engines have room. So an engine that
// refuses gets no calls for an exponentially growing time until it serves again.
TEST_CASE("An engine that refuses calls as full is backed off")
{
    manual_clock_source clock;
    engine_planner planner(7);
    planner.updateEndpoint(makeRow("d1", wire::STAGE_DECODE));
    planner.updateEndpoint(makeRow("d2", wire::STAGE_DECODE));
    std::uint64_t id = 0;
    for (int i = 0; i < 3; ++i)
        planner.place("entry", makeRequest(++id, 5200, 100), clock.now());
    planner.recordRefusal("d1", clock.now());
    int atRefusing = 0;
    for (int i = 0; i < 3; ++i)
        atRefusing += planner.place("entry", makeRequest(++id, 5200, 100), clock.now()).decode == "d1" ? 1 : 0;
    CHECK(atRefusing == 0);
    clock.advance(milliseconds(200));
    CHECK(planner.place("entry", makeRequest(++id, 5200, 100), clock.now()).decode == "d1");
    // Another refusal lengthens the backoff; a success resets it.
    planner.recordRefusal("d1", clock.now());
    clock.advance(milliseconds(200));
    CHECK(planner.place("entry", makeRequest(++id, 5200, 100), clock.now()).decode == "d2");
    clock.advance(milliseconds(200));
    planner.recordSuccess("d1");
    planner.recordRefusal("d1", clock.now());
    clock.advance(milliseconds(200));
    CHECK(planner.place("entry", makeRequest(++id, 5200, 100), clock.now()).decode == "d1");
    // If all engines refuse, the call waits.
    planner.recordRefusal("d1", clock.now());
    planner.recordRefusal("d2", clock.now());
    CHECK(planner.place("entry", makeRequest(++id, 5200, 100), clock.now()).full);
}

// Guards against streams whose rest comes from an engine of another software version than their beginning.
TEST_CASE("A stream is placed only at engines of the version that began it")
{
    engine_planner planner(1);
    time_point now { std::chrono::hours(1) };
    auto add = [&](const std::string& id, wire::endpoint_stage stage, const std::string& version) {
        auto row = makeRow(id, stage);
        row.mutable_report()->set_software_version(version);
        planner.updateEndpoint(row);
    };
    add("p", wire::STAGE_PREFILL, "v2");
    add("d1", wire::STAGE_DECODE, "v1");
    for (int i = 2; i <= 6; ++i)
        add("d" + std::to_string(i), wire::STAGE_DECODE, "v2");
    auto request = makeRequest(1);
    request.version.required = "v1";
    for (std::uint64_t id = 1; id <= 5; ++id) {
        request.callId = id;
        auto placement = planner.place("entry", request, now);
        REQUIRE_FALSE(placement.full);
        CHECK(placement.decode == "d1");
        planner.release("entry", id);
    }
    CHECK(planner.hasEndpoints(request));
    request.exclude = { "d1" };
    CHECK_FALSE(planner.hasEndpoints(request));
    request.exclude.clear();
    request.version.required = "v3";
    CHECK_FALSE(planner.hasEndpoints(request));
    CHECK(planner.place("entry", request, now).full);
}
