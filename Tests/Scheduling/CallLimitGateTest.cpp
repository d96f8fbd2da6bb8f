// Guards against endpoints that get more calls than the limits that they name allow.
#include "Scheduling/paced_endpoints.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr double limit = 5;
constexpr std::chrono::seconds window { 4 };

wire::endpoint_row makeRow(const std::string& id, wire::endpoint_stage stage, std::optional<double> callsPerSecond)
{
    auto row = makePacedRow(id, stage);
    row.set_limited(callsPerSecond.has_value());
    row.set_calls_per_second(callsPerSecond.value_or(0));
    return row;
}

/// Places as many calls as the planner lets through for a while. Returns the number by endpoint, of either stage.
template <typename Planner>
std::map<std::string, int> placeAll(Planner& planner, time_point& now, duration period)
{
    std::map<std::string, int> counts;
    std::uint64_t id = 0;
    for (auto end = now + period; now < end; now += milliseconds(5)) {
        auto placement = planner.place("entry", makePacedRequest(++id), now);
        ++counts[placement.decode];
        ++counts[placement.prefill];
        planner.release("entry", id, {}, now);
    }
    return counts;
}

/// A slot planner whose release() has the signature of an engine planner's.
class plain_planner : public slot_planner {
public:
    using slot_planner::slot_planner;
    void release(const std::string& entry, std::uint64_t id, const call_measurements&, time_point now) { slot_planner::release(entry, id, true, now); }
};

class model_planner : public engine_planner {
public:
    using engine_planner::engine_planner;
    void release(const std::string& entry, std::uint64_t id, const call_measurements& measurements, time_point) { engine_planner::release(entry, id, measurements); }
};
}

TEST_CASE("A limited endpoint of a plain service gets its limit, and the others take the rest until it is withdrawn")
{
    plain_planner planner(1);
    time_point now { std::chrono::hours(1) };
    planner.updateEndpoint(makeRow("limited", wire::STAGE_ANY, limit));
    planner.updateEndpoint(makeRow("free", wire::STAGE_ANY, std::nullopt));
    auto counts = placeAll(planner, now, window);
    CHECK(counts["limited"] <= limit * 4 + 2);
    CHECK(counts["limited"] >= limit * 4 - 2);
    CHECK(counts["free"] > 500);
    CHECK(planner.updateQueued(now));
    CHECK(planner.isQueued("s"));
    planner.updateEndpoint(makeRow("limited", wire::STAGE_ANY, std::nullopt));
    CHECK(placeAll(planner, now, window)["limited"] > 200);
}

TEST_CASE("Limited engines of either stage get their limits")
{
    model_planner planner(1);
    time_point now { std::chrono::hours(1) };
    planner.updateEndpoint(makeRow("decode", wire::STAGE_DECODE, limit));
    planner.updateEndpoint(makeRow("prefill", wire::STAGE_PREFILL, limit / 2));
    auto counts = placeAll(planner, now, window);
    CHECK(counts["prefill"] <= limit / 2 * 4 + 2);
    CHECK(counts["decode"] <= limit * 4 + 2);
    CHECK(counts["decode"] >= 1);
    // A prompt that no prefill engine takes for seconds does not count as one that waits for a short queue.
    auto refused = planner.place("entry", makePacedRequest(10'000), now);
    CHECK((!refused.full || !refused.prefillBusy));
}

// Guards against calls that wait until their deadline for an endpoint whose limit leaves no room for them.
TEST_CASE("A queue refuses at once the calls that limits leave no room for")
{
    plain_planner planner(1);
    time_point now { std::chrono::hours(1) };
    planner.updateEndpoint(makeRow("a", wire::STAGE_ANY, limit));
    planner.updateEndpoint(makeRow("b", wire::STAGE_ANY, limit));
    placement_queue<slot_planner> queue;
    constexpr milliseconds patience { 700 };
    std::map<std::uint64_t, time_point> added;
    unsigned placed = 0;
    milliseconds longestWait { 0 };
    auto step = [&] {
        for (const auto& result : queue.step(planner, now)) {
            if (!result.placement.full)
                ++placed;
            else
                longestWait = std::max(longestWait, std::chrono::duration_cast<milliseconds>(now - added[result.ticket]));
        }
    };
    std::uint64_t id = 0;
    for (auto end = now + std::chrono::seconds(10); now < end; now += milliseconds(10)) {
        queued_request queued;
        queued.ticket = ++id;
        queued.entry = "entry";
        queued.request = makePacedRequest(id);
        queued.waitDeadline = now + patience;
        queued.firstEventDeadline = now + patience + std::chrono::seconds(1);
        added[id] = now;
        queue.add(std::move(queued), now);
        step();
    }
    CHECK(placed <= 2 * (limit * 10 + 2));
    CHECK(placed >= 2 * limit * 10 * 0.9);
    CHECK(longestWait <= milliseconds(50));
}

// Guards against never learning that a limit of zero was withdrawn, which only a response tells.
TEST_CASE("An endpoint with a limit of zero gets a call at times")
{
    plain_planner planner(1);
    time_point now { std::chrono::hours(1) };
    planner.updateEndpoint(makeRow("limited", wire::STAGE_ANY, 0));
    auto counts = placeAll(planner, now, std::chrono::seconds(20));
    CHECK(counts["limited"] >= 2);
    CHECK(counts["limited"] <= 7);
}
