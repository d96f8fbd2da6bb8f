#include "scheduling/scheduling.h"

#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
/// A pool with endpoints and a clock, driven by hand.
class pool_bench {
public:
    explicit pool_bench(pool_settings settings = {}, pool_kind kind = pool_kind::Model)
        : decisions(kind == pool_kind::Model ? "model:m" : "service:s", kind, std::move(settings), {})
    {
    }
    void announce(const std::string& id, const std::string& role, std::uint32_t slots = 2, std::uint64_t incarnation = 1)
    {
        wire::endpoint_announcement endpoint;
        endpoint.set_id(id);
        endpoint.set_incarnation(incarnation);
        endpoint.set_sequence(++m_sequence);
        endpoint.set_address("127.0.0.1:1");
        endpoint.set_role(role);
        endpoint.set_slots(slots);
        endpoint.set_memory_pieces(100);
        endpoint.set_prefill_tokens_per_s(10000);
        endpoint.set_step_us(10000);
        endpoint.set_link_mbps(10000);
        endpoint.set_kv_bytes_per_token(1000);
        decisions.handleAnnouncement(endpoint, milliseconds(0), clock.now());
    }
    void place(const std::string& id, const std::string& organisation = "alpha", std::uint32_t prompt = 100, std::uint32_t patience = 5000, std::uint32_t attempt = 0)
    {
        pool_request request;
        request.place.set_shard(decisions.shard());
        request.place.set_request_id(id);
        request.place.set_attempt(attempt);
        request.place.set_organisation(organisation);
        request.place.set_prompt_tokens(prompt);
        request.place.set_max_tokens(100);
        request.place.set_patience_ms(patience);
        request.place.set_fingerprint(fingerprint);
        request.entryName = "vm1";
        request.entryIncarnation = 1;
        decisions.submit(std::move(request), clock.now());
    }
    void progress(const std::string& id, wire::progress_stage stage, const std::string& endpoint = "")
    {
        wire::progress report;
        report.set_request_id(id);
        report.set_stage(stage);
        report.set_endpoint(endpoint);
        decisions.handleProgress(report, clock.now());
    }
    std::vector<std::string> step(milliseconds passed = milliseconds(0))
    {
        clock.advance(passed);
        std::vector<std::string> ids;
        for (const auto& decision : decisions.schedule(clock.now()))
            ids.push_back(decision.placement.request_id() + (decision.placement.refused().empty() ? "" : "!" + decision.placement.refused()));
        return ids;
    }
    pool decisions;
    manual_clock_source clock;
    std::uint64_t fingerprint = 1;

private:
    std::uint64_t m_sequence = 0;
};
using ids = std::vector<std::string>;
}

// Decode engines are full. A prefill that starts now would expire before a slot frees, and its work be lost; it
// must wait until a slot is surely free when the transfer ends.
TEST_CASE("A prefill starts only when its decode slot will be free")
{
    pool_bench bench;
    bench.announce("p1", "prefill");
    bench.announce("d1", "decode", 1);
    bench.place("r1");
    CHECK(bench.step() == ids { "r1" });
    bench.progress("r1", wire::STAGE_PREFILLED);
    bench.progress("r1", wire::STAGE_TRANSFERRED);
    bench.place("r2");
    CHECK(bench.step(milliseconds(500)).empty());
    // r1 has made all its tokens at the latest after 101 steps of 10 ms; the prefill of r2 takes 12 ms and is begun before.
    CHECK(bench.step(milliseconds(500)) == ids { "r2" });
}

TEST_CASE("An end reported early frees the slot at once")
{
    pool_bench bench;
    bench.announce("p1", "prefill");
    bench.announce("d1", "decode", 1);
    bench.place("r1");
    bench.step();
    bench.progress("r1", wire::STAGE_PREFILLED);
    bench.place("r2");
    CHECK(bench.step().empty());
    bench.progress("r1", wire::STAGE_FINISHED);
    CHECK(bench.step() == ids { "r2" });
}

// One organisation floods the pool. A neighbour's request that comes later must not stand behind the flood.
TEST_CASE("A flood of one organisation does not hold up another")
{
    bool fair = GENERATE(true, false);
    pool_settings settings;
    settings.fair = fair;
    settings.admission = false;
    pool_bench bench(settings);
    bench.announce("p1", "prefill");
    bench.announce("d1", "decode", 4);
    for (int i = 0; i < 50; ++i)
        bench.place("flood" + std::to_string(i), "alpha", 1000);
    bench.step();
    bench.place("neighbour", "beta", 100);
    std::size_t before = 0;
    for (; before < 60; ++before) {
        bench.progress("flood" + std::to_string(before), wire::STAGE_PREFILLED);
        bench.progress("flood" + std::to_string(before), wire::STAGE_FINISHED);
        auto placed = bench.step(milliseconds(100));
        if (std::find(placed.begin(), placed.end(), "neighbour") != placed.end())
            break;
    }
    CHECK((before <= 2) == fair);
}

// A copy of a request (its answer was lost) gets what the first got, and its place in the queue.
TEST_CASE("Asking again books nothing twice")
{
    pool_bench bench;
    bench.announce("p1", "prefill");
    bench.announce("d1", "decode", 1);
    bench.place("r1");
    CHECK(bench.step() == ids { "r1" });
    bench.place("r1");
    CHECK(bench.step() == ids { "r1" });
    CHECK(bench.decisions.endpoints().inFlight() == 1);
    bench.place("r2");
    bench.place("r3");
    bench.place("r2");
    CHECK(bench.decisions.waiting() == 2);
    bench.progress("r2", wire::STAGE_WITHDRAWN);
    CHECK(bench.decisions.waiting() == 1);
}

// Late work of a heavy organisation is served out of turn, from its share. Charged like the rest, it carried virtual time
// far ahead, and an organisation that came newly waited behind everybody's backlog.
TEST_CASE("Late work does not push newcomers back")
{
    fair_queue queue({ true, 50 });
    auto push = [&](const std::string& id, const std::string& organisation, std::uint32_t tokens) {
        pool_request request;
        request.place.set_request_id(id);
        request.place.set_organisation(organisation);
        request.place.set_prompt_tokens(tokens);
        queue.push(std::move(request));
    };
    for (int i = 0; i < 10; ++i) {
        push("heavy" + std::to_string(i), "alpha", 10000);
        queue.demote("heavy" + std::to_string(i), 0);
        push("steady" + std::to_string(i), "beta", 1000);
    }
    for (int i = 0; i < 5; ++i)
        queue.take("heavy" + std::to_string(i), 0);
    queue.take("steady0", 0);
    push("new", "gamma", 100);
    CHECK(queue.heads().front()->place.request_id() == "new");
    CHECK(queue.late() == 5);
}

// A request that can't be on time any more lets one go first that can, and still gets its share.
TEST_CASE("A late request yields and is not starved")
{
    pool_settings settings;
    settings.lateSharePercent = 20;
    pool_bench bench(settings);
    bench.announce("p1", "prefill");
    bench.announce("d1", "decode", 50);
    for (const char* id : { "long1", "long2", "long3" })
        bench.place(id, "alpha", 9000, 60000);
    CHECK(bench.step() == ids { "long1", "long2" });
    std::vector<std::string> running { "long1", "long2" };
    int placedBefore = 0;
    bool lateServed = false;
    for (int i = 0; i < 200 && !lateServed; ++i) {
        // More comes than the engine takes, so that there is always one that can still be on time.
        for (int j = 0; j < 3; ++j)
            bench.place(fmt::format("short{}-{}", i, j), "beta", 500);
        for (const auto& id : running) {
            bench.progress(id, wire::STAGE_PREFILLED);
            bench.progress(id, wire::STAGE_FINISHED);
        }
        running = bench.step(milliseconds(60));
        lateServed = std::find(running.begin(), running.end(), "long3") != running.end();
        placedBefore += lateServed ? 0 : static_cast<int>(running.size());
    }
    CHECK(lateServed);
    CHECK(placedBefore > 5);
}

TEST_CASE("What can't start in time is refused at once with a time to come back")
{
    pool_bench bench;
    bench.announce("p1", "prefill");
    bench.announce("d1", "decode", 50);
    for (int i = 0; i < 30; ++i)
        bench.place("r" + std::to_string(i), "alpha", 10000, 20000);
    bench.step();
    bench.place("late", "alpha", 100, 500);
    auto decided = bench.step();
    CHECK(decided == ids { "late!deadline_unreachable" });
    bench.place("none", "alpha", 100, 500);
    bench.clock.advance(milliseconds(4000));
    bench.decisions.expireEndpoints(bench.clock.now());
    bench.place("nobody");
    auto refused = bench.step();
    CHECK(std::find(refused.begin(), refused.end(), "nobody!no_endpoint") != refused.end());
}

// An endpoint fails every call. After three failures it gets nothing for a while, then exactly one trial.
TEST_CASE("A failing endpoint gets one trial at a time")
{
    manual_clock_source clock;
    circuit_breaker breaker;
    for (int i = 0; i < 3; ++i) {
        CHECK(breaker.allows("d1", clock.now()));
        breaker.onFailure("d1", clock.now());
    }
    CHECK(!breaker.allows("d1", clock.now()));
    clock.advance(milliseconds(1001));
    CHECK(breaker.allows("d1", clock.now()));
    breaker.onSent("d1", clock.now());
    CHECK(!breaker.allows("d1", clock.now()));
    breaker.onSuccess("d1");
    CHECK(breaker.allows("d1", clock.now()));
}

TEST_CASE("Retries are bounded by a share of the successes")
{
    retry_budget budget;
    int allowed = 0;
    while (budget.tryRetry())
        ++allowed;
    CHECK(allowed == 10);
    for (int i = 0; i < 10; ++i)
        budget.onSuccess();
    CHECK(budget.tryRetry());
    CHECK(budget.tryRetry());
    CHECK(!budget.tryRetry());
}

// The owner of a pool is lost; the new one knows nothing. What entries report fills its books, so that engines that
// are full get no more.
TEST_CASE("A new owner books what entries hold")
{
    pool_bench bench;
    bench.announce("p1", "prefill");
    bench.announce("d1", "decode", 1);
    wire::held_report report;
    auto* held = report.add_held();
    held->set_request_id("old");
    held->set_organisation("alpha");
    held->set_decode_id("d1");
    held->set_max_tokens(100);
    held->set_prefilled(true);
    bench.decisions.restoreReservations(report, "vm1", 1, bench.clock.now());
    bench.place("r1");
    CHECK(bench.step().empty());
    // The entry dies: its live list no longer holds it, and its booking goes.
    wire::live_process other;
    other.set_name("vm1");
    other.set_incarnation(1);
    other.set_kind(wire::PROCESS_ENTRY);
    bench.decisions.removeDeadEntries({ other }, bench.clock.now());
    CHECK(bench.decisions.endpoints().inFlight() == 1);
    bench.decisions.removeDeadEntries({}, bench.clock.now());
    CHECK(bench.decisions.endpoints().inFlight() == 0);
    CHECK(bench.decisions.waiting() == 0);
}

// Copies of a request that has crashed one endpoint run one at a time, so that a second crash is seen before a third
// endpoint is risked.
TEST_CASE("A suspect runs alone and is blocked at the second crash")
{
    pool_bench bench;
    bench.announce("p1", "prefill");
    bench.announce("p2", "prefill");
    bench.announce("d1", "decode", 10);
    wire::crash_report report;
    report.set_fingerprint(1);
    report.set_endpoint("p9");
    report.set_request_id("first");
    bench.decisions.handleCrashReport(report, bench.clock.now());
    bench.place("r1");
    bench.place("r2");
    CHECK(bench.step() == ids { "r1" });
    report.set_request_id("r1");
    bench.decisions.handleCrashReport(report, bench.clock.now());
    bench.progress("r1", wire::STAGE_FAILED);
    CHECK(bench.step() == ids { "r2!poison_request" });
}

TEST_CASE("Service calls go to the endpoint with the fewest calls and wait when all are full")
{
    pool_bench bench({}, pool_kind::Service);
    bench.announce("s1", "service", 1);
    bench.announce("s2", "service", 1);
    bench.place("r1");
    bench.place("r2");
    bench.place("r3");
    CHECK(bench.step().size() == 2);
    bench.progress("r1", wire::STAGE_FINISHED);
    CHECK(bench.step() == ids { "r3" });
}
