// What callers see: at twice the load that fits, many wait two thirds of a second only to be refused, come back together a
// second later, and are refused again; many who are served are served too late.
// What happens: calls wait to the end of their patience, whether or not engines can be free by then.
// Why it must not: a call that can't start in time takes the place of one that could; who is refused should know at once,
// and come back when there is room.
#include "scheduling/placement_queue.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
constexpr std::uint64_t memoryTokens = 57'000;
constexpr std::uint64_t promptTokens = 5200;
constexpr std::uint64_t outputTokens = 400;
constexpr milliseconds target { 900 };
/// What engines of the test do: 50 tokens read and a tenth of a token generated in a millisecond.
constexpr milliseconds reading { 104 };
constexpr milliseconds generating { 4000 };
constexpr milliseconds firstEvent { 150 };

class busy_engines {
public:
    busy_engines()
    {
        for (int i = 0; i < 4; ++i)
            takeEngine("d" + std::to_string(i), wire::STAGE_DECODE);
        takeEngine("p1", wire::STAGE_PREFILL);
        takeEngine("p2", wire::STAGE_PREFILL);
    }

    void takeEngine(const std::string& id, wire::endpoint_stage stage)
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

    void submit()
    {
        queued_request question;
        question.ticket = ++lastTicket;
        question.entry = "entry";
        question.request.callId = question.ticket;
        question.request.service = "llm";
        question.request.promptTokens = promptTokens;
        question.request.outputTokens = outputTokens;
        question.request.memoryTokens = memoryTokens;
        question.waitDeadline = clock.now() + target * 7 / 10;
        question.firstEventDeadline = clock.now() + target;
        askedAt[question.ticket] = clock.now();
        queue.add(std::move(question));
    }

    /// Lets the queue decide, and ends calls that have run their time.
    std::vector<placement_result> step()
    {
        for (auto it = running.begin(); it != running.end();) {
            if (clock.now() < it->second) {
                ++it;
                continue;
            }
            planner.release("entry", it->first, { outputTokens, generating, promptTokens, reading, firstEvent });
            it = running.erase(it);
        }
        auto verdicts = queue.step(planner, clock.now());
        for (const auto& one : verdicts) {
            if (!one.placement.full)
                running[one.ticket] = clock.now() + reading + firstEvent + generating;
        }
        return verdicts;
    }

    manual_clock_source clock;
    engine_planner planner { 7 };
    placement_queue queue;
    std::uint64_t lastTicket = 0;
    std::map<std::uint64_t, time_point> askedAt;
    std::map<std::uint64_t, time_point> running;
};
}

namespace {
/// What came of calls at a load that stays the same.
struct load_outcome {
    double servedASecond = 0;
    int late = 0;
    int refused = 0;
    int heldInVain = 0;
    std::vector<milliseconds> returns;
};

load_outcome play(double callsASecond)
{
    constexpr int stepsASecond = 100;
    constexpr int learning = 10 * stepsASecond;
    constexpr int measured = 30 * stepsASecond;
    constexpr double gentle = 6;
    busy_engines engines;
    load_outcome outcome;
    double due = 0;
    for (int at = 0; at < learning + measured; ++at) {
        // What fits easily comes first, so that engines' figures are learnt.
        due += (at < learning / 2 ? gentle : callsASecond) / stepsASecond;
        for (; due >= 1; due -= 1)
            engines.submit();
        for (const auto& one : engines.step()) {
            auto waited = std::chrono::duration_cast<milliseconds>(engines.clock.now() - engines.askedAt[one.ticket]);
            if (at < learning)
                continue;
            if (!one.placement.full) {
                outcome.servedASecond += static_cast<double>(stepsASecond) / measured;
                outcome.late += waited + reading + firstEvent > target ? 1 : 0;
                continue;
            }
            ++outcome.refused;
            outcome.heldInVain += waited > target / 8 ? 1 : 0;
            outcome.returns.push_back(one.retryAfter);
        }
        engines.clock.advance(milliseconds(1000 / stepsASecond));
    }
    return outcome;
}
}

TEST_CASE("At two and three times the load that fits, calls are served in time or refused at once, and engines stay full")
{
    // A few more than fit find the engines full at all times.
    auto best = play(10);
    for (double load : { 2.0, 3.0 }) {
        auto outcome = play(load * best.servedASecond);
        CHECK(outcome.servedASecond > 0.9 * best.servedASecond);
        CHECK(outcome.late == 0);
        REQUIRE(outcome.refused > 0);
        // Most know at once.
        CHECK(outcome.heldInVain < outcome.refused / 4);
        auto [soonest, latest] = std::minmax_element(outcome.returns.begin(), outcome.returns.end());
        CHECK(*soonest >= milliseconds(1200));
        CHECK(*latest <= milliseconds(4500));
    }
}

TEST_CASE("Those refused together are told to come back one after the other")
{
    busy_engines engines;
    while (true) {
        engines.submit();
        auto verdicts = engines.step();
        if (verdicts.empty() || verdicts.front().placement.full)
            break;
    }
    for (int i = 0; i < 20; ++i)
        engines.submit();
    engines.clock.advance(target);
    std::set<milliseconds> returns;
    for (const auto& one : engines.step())
        returns.insert(one.retryAfter);
    CHECK(returns.size() > 3);
}

TEST_CASE("A stream that has begun goes before calls that have not, and waits to the end of its patience")
{
    busy_engines engines;
    std::uint64_t last = 0;
    while (true) {
        engines.submit();
        last = engines.lastTicket;
        if (engines.step().empty())
            break;
        REQUIRE(last < 100);
    }
    queued_request begun;
    begun.ticket = 1000;
    begun.entry = "entry";
    begun.request = { .callId = 1000, .service = "llm", .dataCentre = {}, .promptTokens = promptTokens, .outputTokens = outputTokens, .memoryTokens = memoryTokens, .exclude = {}, .avoid = {} };
    begun.waitDeadline = engines.clock.now() + milliseconds(1000);
    begun.firstEventDeadline = engines.clock.now();
    begun.streamStarted = true;
    engines.queue.add(begun);
    for (const auto& one : engines.step())
        CHECK(one.ticket != 1000);
    // One call ends: its place is the stream's.
    engines.clock.advance(milliseconds(10));
    engines.running.begin()->second = engines.clock.now();
    auto verdicts = engines.step();
    REQUIRE_FALSE(verdicts.empty());
    CHECK(verdicts.front().ticket == 1000);
    CHECK_FALSE(verdicts.front().placement.full);
    engines.queue.removeEntry("entry");
    CHECK(engines.queue.empty());
}
