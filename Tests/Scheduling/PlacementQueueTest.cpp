// At twice the load that fits, calls used up their whole wait before they were refused, retried together a second
// later and were refused again, while many of those served were late. Calls that can't start in time must be refused
// at once, with staggered retry times, so that they don't take the place of calls that can.
#include "scheduling/engine_planner.h"
#include "scheduling/placement_queue.h"
#include <catch2/catch.hpp>
#include <optional>

using namespace pistachiolatch;

namespace {
constexpr std::uint64_t memoryTokens = 57'000;
constexpr std::uint64_t promptTokens = 5200;
constexpr std::uint64_t outputTokens = 400;
constexpr milliseconds target { 900 };
/// Speed of the simulated engines: 50 tokens prefilled and a tenth of a token generated per millisecond.
constexpr milliseconds prefillTime { 104 };
constexpr milliseconds generationTime { 4000 };
constexpr milliseconds firstEventDelay { 150 };

class engine_simulation {
public:
    engine_simulation()
    {
        for (int i = 0; i < 4; ++i)
            addEngine("d" + std::to_string(i), wire::STAGE_DECODE);
        addEngine("p1", wire::STAGE_PREFILL);
        addEngine("p2", wire::STAGE_PREFILL);
    }

    void addEngine(const std::string& id, wire::endpoint_stage stage)
    {
        wire::endpoint_row row;
        auto& report = *row.mutable_report();
        report.set_id(id);
        report.set_born_ms(1);
        report.set_service("llm");
        report.set_slots(64);
        report.set_stage(stage);
        planner.updateEndpoint(row);
    }

    void submit(std::uint64_t output = outputTokens, std::optional<milliseconds> timeLeft = std::nullopt)
    {
        queued_request queued;
        queued.ticket = ++lastTicket;
        queued.entry = "entry";
        queued.request.callId = queued.ticket;
        queued.request.service = "llm";
        queued.request.promptTokens = promptTokens;
        queued.request.outputTokens = output;
        queued.request.memoryTokens = memoryTokens;
        if (timeLeft)
            queued.deadline = clock.now() + *timeLeft;
        queued.waitDeadline = clock.now() + target * 7 / 10;
        queued.firstEventDeadline = clock.now() + target;
        submittedAt[queued.ticket] = clock.now();
        outputs[queued.ticket] = output;
        queue.add(std::move(queued), clock.now());
    }

    /// Completes the calls whose time is up and processes the queue.
    std::vector<placement_result> step()
    {
        for (auto it = running.begin(); it != running.end();) {
            if (clock.now() < it->second) {
                ++it;
                continue;
            }
            auto generating = std::min(generationTimeOf(it->first), maxGenerationTime);
            planner.release("entry", it->first, { static_cast<std::uint64_t>(generating.count()) * outputTokens / static_cast<std::uint64_t>(generationTime.count()), generating, promptTokens, prefillTime, firstEventDelay });
            finished += generating == generationTimeOf(it->first) ? 1 : 0;
            it = running.erase(it);
        }
        auto results = queue.step(planner, clock.now());
        for (const auto& result : results) {
            if (!result.placement.full)
                running[result.ticket] = clock.now() + prefillTime + firstEventDelay + std::min(generationTimeOf(result.ticket), maxGenerationTime);
        }
        return results;
    }

    milliseconds generationTimeOf(std::uint64_t ticket) { return generationTime * static_cast<std::int64_t>(outputs[ticket]) / static_cast<std::int64_t>(outputTokens); }

    manual_clock_source clock;
    engine_planner planner { 7 };
    placement_queue<engine_planner> queue;
    std::uint64_t lastTicket = 0;
    std::map<std::uint64_t, time_point> submittedAt;
    std::map<std::uint64_t, std::uint64_t> outputs;
    std::map<std::uint64_t, time_point> running;
    /// Callers leave after this time, whether or not their answers are complete.
    milliseconds maxGenerationTime = milliseconds::max();
    int finished = 0;
};
}

namespace {
/// Outcomes of calls at constant load.
struct load_outcome {
    double servedPerSecond = 0;
    int late = 0;
    int refused = 0;
    int refusedLate = 0;
    std::vector<milliseconds> retryDelays;
};

load_outcome simulateLoad(double callsPerSecond)
{
    constexpr int stepsPerSecond = 100;
    constexpr int warmUp = 10 * stepsPerSecond;
    constexpr int measured = 30 * stepsPerSecond;
    constexpr double lightLoad = 6;
    engine_simulation engines;
    load_outcome outcome;
    double dueCalls = 0;
    for (int at = 0; at < warmUp + measured; ++at) {
        // A light load first, to train the speed model.
        dueCalls += (at < warmUp / 2 ? lightLoad : callsPerSecond) / stepsPerSecond;
        for (; dueCalls >= 1; dueCalls -= 1)
            engines.submit();
        for (const auto& result : engines.step()) {
            auto waited = std::chrono::duration_cast<milliseconds>(engines.clock.now() - engines.submittedAt[result.ticket]);
            if (at < warmUp)
                continue;
            if (!result.placement.full) {
                outcome.servedPerSecond += static_cast<double>(stepsPerSecond) / measured;
                outcome.late += waited + prefillTime + firstEventDelay > target ? 1 : 0;
                continue;
            }
            ++outcome.refused;
            outcome.refusedLate += waited > target / 8 ? 1 : 0;
            outcome.retryDelays.push_back(result.retryAfter);
        }
        engines.clock.advance(milliseconds(1000 / stepsPerSecond));
    }
    return outcome;
}
}

TEST_CASE("At two and three times the capacity, calls are served in time or refused at once, and engines stay full")
{
    // Slightly more calls than fit keep the engines full at all times.
    auto best = simulateLoad(10);
    for (double load : { 2.0, 3.0 }) {
        auto outcome = simulateLoad(load * best.servedPerSecond);
        CHECK(outcome.servedPerSecond > 0.9 * best.servedPerSecond);
        CHECK(outcome.late == 0);
        REQUIRE(outcome.refused > 0);
        // Most are refused at once.
        CHECK(outcome.refusedLate < outcome.refused / 4);
        auto [soonest, latest] = std::minmax_element(outcome.retryDelays.begin(), outcome.retryDelays.end());
        CHECK(*soonest >= milliseconds(1200));
        CHECK(*latest <= milliseconds(4500));
    }
}

namespace {
/// Load at twice the capacity in which every third answer takes longer than callers wait. Returns the finished calls.
int simulateLongAnswers(bool deadlineKnown)
{
    constexpr std::chrono::seconds deadline { 10 };
    engine_simulation engines;
    engines.maxGenerationTime = deadline - prefillTime - firstEventDelay;
    for (int at = 0; at < 6000; ++at) {
        bool isLong = engines.lastTicket % 3 == 0;
        if (at % 5 == 0)
            engines.submit(isLong ? 4 * outputTokens : outputTokens, deadlineKnown ? std::optional<milliseconds>(deadline) : std::nullopt);
        engines.step();
        engines.clock.advance(milliseconds(10));
    }
    return engines.finished;
}
}

// Guards against engines that are full of answers that no caller waits for until their end, while others are refused.
TEST_CASE("Under overload, calls that can't finish before their deadlines don't take the place of others")
{
    auto unknown = simulateLongAnswers(false);
    auto known = simulateLongAnswers(true);
    CHECK(known > 1.3 * unknown);
}

TEST_CASE("Calls that would miss their deadlines are tried while there is capacity")
{
    engine_simulation engines;
    for (int i = 0; i < 12; ++i) {
        engines.submit();
        engines.step();
        engines.clock.advance(std::chrono::seconds(5));
    }
    engines.submit(100 * outputTokens, std::chrono::seconds(10));
    auto results = engines.step();
    REQUIRE(results.size() == 1);
    CHECK_FALSE(results.front().placement.full);
}

TEST_CASE("Calls refused together get staggered retry times")
{
    engine_simulation engines;
    while (true) {
        engines.submit();
        auto results = engines.step();
        if (results.empty() || results.front().placement.full)
            break;
    }
    for (int i = 0; i < 20; ++i)
        engines.submit();
    engines.clock.advance(target);
    std::set<milliseconds> retryDelays;
    for (const auto& result : engines.step())
        retryDelays.insert(result.retryAfter);
    CHECK(retryDelays.size() > 3);
}

TEST_CASE("A started stream goes before other calls and waits until its deadline")
{
    engine_simulation engines;
    std::uint64_t last = 0;
    while (true) {
        engines.submit();
        last = engines.lastTicket;
        if (engines.step().empty())
            break;
        REQUIRE(last < 100);
    }
    queued_request stream;
    stream.ticket = 1000;
    stream.entry = "entry";
    stream.request = { .callId = 1000, .service = "llm", .dataCentre = {}, .promptTokens = promptTokens, .outputTokens = outputTokens, .memoryTokens = memoryTokens, .exclude = {}, .avoid = {} };
    stream.waitDeadline = engines.clock.now() + milliseconds(1000);
    stream.firstEventDeadline = engines.clock.now();
    stream.streamStarted = true;
    engines.queue.add(stream, engines.clock.now());
    for (const auto& result : engines.step())
        CHECK(result.ticket != 1000);
    // When a call ends, the stream takes its place.
    engines.clock.advance(milliseconds(10));
    engines.running.begin()->second = engines.clock.now();
    auto results = engines.step();
    REQUIRE_FALSE(results.empty());
    CHECK(results.front().ticket == 1000);
    CHECK_FALSE(results.front().placement.full);
    engines.queue.removeEntry("entry");
    CHECK(engines.queue.empty());
}

namespace {
/// Two engines of v1 beside four of v2, all of them full of calls that may use any version.
class two_version_simulation : public engine_simulation {
public:
    two_version_simulation()
    {
        for (int i = 0; i < 6; ++i) {
            wire::endpoint_row row;
            auto& report = *row.mutable_report();
            report.set_id("d" + std::to_string(i));
            report.set_born_ms(1);
            report.set_service("llm");
            report.set_slots(64);
            report.set_stage(wire::STAGE_DECODE);
            report.set_software_version(i < 2 ? "v1" : "v2");
            planner.updateEndpoint(row);
        }
    }

    /// Submits a stream that v1 began and whose caller waits for its rest.
    std::uint64_t submitBegun(const std::string& version)
    {
        queued_request queued;
        queued.ticket = ++lastTicket;
        queued.entry = "entry";
        queued.request.callId = queued.ticket;
        queued.request.service = "llm";
        queued.request.promptTokens = promptTokens;
        queued.request.outputTokens = outputTokens;
        queued.request.memoryTokens = memoryTokens;
        queued.request.version.required = version;
        queued.streamStarted = true;
        queued.waitDeadline = clock.now() + begunPatience;
        queued.firstEventDeadline = clock.now() + target;
        submittedAt[queued.ticket] = clock.now();
        outputs[queued.ticket] = outputTokens;
        queue.add(std::move(queued), clock.now());
        return lastTicket;
    }

    static constexpr milliseconds begunPatience { 1800 };
};
}

// Guards against streams that can't go on because new ones take each place that becomes free at the engines of their version,
// and against new ones that wait behind them although other engines have room.
TEST_CASE("Streams that were begun get the next places at their version while new ones crowd it")
{
    two_version_simulation simulation;
    std::set<std::uint64_t> begun;
    unsigned begunPlaced = 0;
    unsigned newPlaced = 0;
    unsigned newSubmitted = 0;
    for (int tick = 0; tick < 900; ++tick) {
        if (tick % 2 == 0) {
            simulation.submit();
            ++newSubmitted;
        }
        if (tick >= 400 && tick % 40 == 0 && begun.size() < 12)
            begun.insert(simulation.submitBegun("v1"));
        for (const auto& result : simulation.step()) {
            if (result.placement.full)
                continue;
            bool isBegun = begun.count(result.ticket) > 0;
            (isBegun ? begunPlaced : newPlaced) += 1;
            if (isBegun)
                CHECK((result.placement.decode == "d0" || result.placement.decode == "d1"));
        }
        simulation.clock.advance(milliseconds(10));
    }
    INFO("begun " << begunPlaced << " of " << begun.size() << ", new " << newPlaced << " of " << newSubmitted);
    REQUIRE(begun.size() == 12);
    CHECK(begunPlaced == 12);
    CHECK(newPlaced > newSubmitted / 4);
}

// Guards against callers that wait for a version that no engine has.
TEST_CASE("A stream whose version no engine has is refused at once")
{
    two_version_simulation simulation;
    auto ticket = simulation.submitBegun("v3");
    auto results = simulation.step();
    REQUIRE(results.size() == 1);
    CHECK(results[0].ticket == ticket);
    CHECK(results[0].placement.full);
}

// Guards against new streams that wait for a version without room although engines of another one are idle.
TEST_CASE("New streams don't wait behind one that waits for its version, and don't take its place")
{
    two_version_simulation simulation;
    std::set<std::uint64_t> begun;
    // More than the engines of v1 hold.
    for (int i = 0; i < 40; ++i)
        begun.insert(simulation.submitBegun("v1"));
    simulation.step();
    simulation.submit();
    auto first = simulation.lastTicket;
    auto results = simulation.step();
    REQUIRE(results.size() == 1);
    CHECK(results[0].ticket == first);
    REQUIRE_FALSE(results[0].placement.full);
    CHECK(results[0].placement.decode != "d0");
    CHECK(results[0].placement.decode != "d1");
}
