// Guards against endpoints that crash right after their start because every entry sends its calls to the emptiest ones.
#include "Scheduling/paced_endpoints.h"
#include <catch2/catch.hpp>
#include <deque>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr double coldRate = 6;

wire::endpoint_row makeRow(const std::string& id, wire::endpoint_stage stage, milliseconds cold, std::uint64_t bornMs = 1)
{
    auto row = makePacedRow(id, stage, bornMs);
    row.mutable_report()->set_cold_ms(static_cast<std::uint32_t>(cold.count()));
    return row;
}

template <typename Planner>
void addEndpoint(Planner& planner, const wire::endpoint_row& row, time_point now)
{
    planner.coldStarts().setRates({ { "s", coldRate } });
    planner.coldStarts().onReport(row.report(), now);
    planner.updateEndpoint(row);
}

/// Calls per second at one endpoint, at the most in any second.
class call_rate {
public:
    void add(time_point now)
    {
        m_times.push_back(now);
        while (now - m_times.front() >= std::chrono::seconds(1))
            m_times.pop_front();
        m_highest = std::max(m_highest, m_times.size());
    }
    std::size_t highest() const { return m_highest; }

private:
    std::deque<time_point> m_times;
    std::size_t m_highest = 0;
};
}

TEST_CASE("A burst of model calls doesn't exceed the rate of cold engines, and warm ones take the rest")
{
    engine_planner planner(1);
    time_point now { std::chrono::hours(1) };
    auto start = now;
    addEndpoint(planner, makeRow("cold", wire::STAGE_DECODE, milliseconds(3000)), now);
    addEndpoint(planner, makeRow("warm", wire::STAGE_DECODE, milliseconds(0)), now);
    addEndpoint(planner, makeRow("cold-prefill", wire::STAGE_PREFILL, milliseconds(3000)), now);
    addEndpoint(planner, makeRow("warm-prefill", wire::STAGE_PREFILL, milliseconds(0)), now);
    std::map<std::string, call_rate> rates;
    std::uint64_t id = 0;
    for (; now - start < milliseconds(2990); now += milliseconds(10)) {
        auto placement = planner.place("entry", makePacedRequest(++id), now);
        REQUIRE_FALSE(placement.full);
        rates[placement.decode].add(now);
        rates[placement.prefill].add(now);
    }
    CHECK(rates["cold"].highest() <= coldRate);
    CHECK(rates["cold"].highest() >= coldRate - 2);
    CHECK(rates["cold-prefill"].highest() <= coldRate);
    CHECK(rates["warm"].highest() > 10 * coldRate);
}

TEST_CASE("An endpoint that is warm takes its full share at once")
{
    slot_planner planner(1);
    time_point now { std::chrono::hours(1) };
    addEndpoint(planner, makeRow("e", wire::STAGE_ANY, milliseconds(1000)), now);
    now += milliseconds(1001);
    for (std::uint64_t id = 1; id <= 50; ++id)
        REQUIRE_FALSE(planner.place("entry", makePacedRequest(id), now).full);
}

TEST_CASE("Calls wait for cold endpoints as long as the rate lets them start in time, and the others are refused at once")
{
    slot_planner planner(1);
    placement_queue<slot_planner> queue;
    time_point now { std::chrono::hours(1) };
    addEndpoint(planner, makeRow("e", wire::STAGE_ANY, std::chrono::seconds(60)), now);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        queued_request queued;
        queued.ticket = id;
        queued.entry = "entry";
        queued.request = makePacedRequest(id);
        queued.waitDeadline = now + milliseconds(700);
        queued.firstEventDeadline = now + milliseconds(900);
        queue.add(queued, now);
    }
    auto first = queue.step(planner, now);
    auto refused = std::count_if(first.begin(), first.end(), [](const auto& result) { return result.placement.full; });
    CHECK(refused > 0);
    auto placed = first.size() - static_cast<std::size_t>(refused);
    for (auto end = now + milliseconds(700); now < end; now += milliseconds(10)) {
        for (const auto& result : queue.step(planner, now))
            placed += result.placement.full ? 0 : 1;
    }
    CHECK(queue.empty());
    CHECK(placed >= 3);
    CHECK(placed <= coldRate);
}

TEST_CASE("A service with cold endpoints is placed by its owner until they are warm")
{
    slot_planner planner(1);
    time_point now { std::chrono::hours(1) };
    addEndpoint(planner, makeRow("e", wire::STAGE_ANY, milliseconds(1000)), now);
    CHECK(planner.updateQueued(now));
    CHECK(planner.isQueued("s"));
    now += milliseconds(1100);
    planner.updateQueued(now);
    planner.updateQueued(now + std::chrono::seconds(3));
    CHECK_FALSE(planner.isQueued("s"));
}

TEST_CASE("A restart or a new report of a cold endpoint extends its limit")
{
    cold_start_gate gate;
    gate.setRates({ { "s", coldRate } });
    time_point now { std::chrono::hours(1) };
    gate.onReport(makeRow("e", wire::STAGE_ANY, milliseconds(0)).report(), now);
    CHECK_FALSE(gate.isLimited("e", now));
    gate.onReport(makeRow("e", wire::STAGE_ANY, milliseconds(500), 2).report(), now);
    CHECK(gate.isLimited("e", now + milliseconds(400)));
    gate.assumeCold("e", now + milliseconds(900));
    CHECK(gate.isLimited("e", now + milliseconds(800)));
    CHECK_FALSE(gate.isLimited("e", now + milliseconds(900)));
    gate.assumeCold("unknown", now + milliseconds(900));
    CHECK_FALSE(gate.isLimited("unknown", now));
}
