#include "scheduling/scheduling.h"

#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
/// A pool with endpoints and a manual clock.
class pool_fixture {
public:
    explicit pool_fixture(pool_settings settings = {}, pool_kind kind = pool_kind::Model)
        : testedPool(kind == pool_kind::Model ? "model:m" : "service:s", kind, std::move(settings), {})
    {
    }
    void announce(const std::string& id, const std::string& role, std::uint32_t slots = 2, std::uint64_t incarnation = 1, const std::string& dataCentre = "a")
    {
        wire::endpoint_announcement endpoint;
        endpoint.set_id(id);
        endpoint.set_incarnation(incarnation);
        endpoint.set_sequence(++m_sequence);
        endpoint.set_address("127.0.0.1:1");
        endpoint.set_role(role);
        endpoint.set_slots(slots);
        endpoint.set_data_centre(dataCentre);
        endpoint.set_memory_pieces(100);
        endpoint.set_prefill_tokens_per_s(10000);
        endpoint.set_step_us(10000);
        endpoint.set_link_mbps(10000);
        endpoint.set_kv_bytes_per_token(1000);
        testedPool.handleAnnouncement(endpoint, milliseconds(0), clock.now());
    }
    void place(const std::string& id, const std::string& organisation = "alpha", std::uint32_t prompt = 100, std::uint32_t patience = 5000, std::uint32_t attempt = 0)
    {
        pool_request request;
        request.place.set_shard(testedPool.shard());
        request.place.set_request_id(id);
        request.place.set_attempt(attempt);
        request.place.set_organisation(organisation);
        request.place.set_prompt_tokens(prompt);
        request.place.set_max_tokens(100);
        request.place.set_patience_ms(patience);
        request.place.set_fingerprint(fingerprint);
        request.entryName = "vm1";
        request.entryIncarnation = 1;
        testedPool.submit(std::move(request), clock.now());
    }
    void progress(const std::string& id, wire::progress_stage stage, const std::string& endpoint = "")
    {
        wire::progress report;
        report.set_request_id(id);
        report.set_stage(stage);
        report.set_endpoint(endpoint);
        testedPool.handleProgress(report, clock.now());
    }
    /// Advances the clock. Returns the request ids of the decisions, those refused with "!" and the reason.
    std::vector<std::string> step(milliseconds elapsed = milliseconds(0))
    {
        clock.advance(elapsed);
        std::vector<std::string> ids;
        for (const auto& decision : testedPool.schedule(clock.now()))
            ids.push_back(decision.placement.request_id() + (decision.placement.refused().empty() ? "" : "!" + decision.placement.refused()));
        return ids;
    }
    pool testedPool;
    manual_clock_source clock;
    std::uint64_t fingerprint = 1;

private:
    std::uint64_t m_sequence = 0;
};
using ids = std::vector<std::string>;
}

// While decode engines are full, the result of a prefill would expire before a slot is free. The prefill must wait
// until a slot is certainly free at the end of the transfer.
TEST_CASE("A prefill starts only when its decode slot will be free")
{
    pool_fixture fixture;
    fixture.announce("p1", "prefill");
    fixture.announce("d1", "decode", 1);
    fixture.place("r1");
    CHECK(fixture.step() == ids { "r1" });
    fixture.progress("r1", wire::STAGE_PREFILLED);
    fixture.progress("r1", wire::STAGE_TRANSFERRED);
    fixture.place("r2");
    CHECK(fixture.step(milliseconds(500)).empty());
    // r1 ends after at most 101 steps of 10 ms; the prefill of r2 takes 12 ms and may start before.
    CHECK(fixture.step(milliseconds(500)) == ids { "r2" });
}

TEST_CASE("An end reported early frees the slot at once")
{
    pool_fixture fixture;
    fixture.announce("p1", "prefill");
    fixture.announce("d1", "decode", 1);
    fixture.place("r1");
    fixture.step();
    fixture.progress("r1", wire::STAGE_PREFILLED);
    fixture.place("r2");
    CHECK(fixture.step().empty());
    fixture.progress("r1", wire::STAGE_FINISHED);
    CHECK(fixture.step() == ids { "r2" });
}

// When one organisation floods the pool, a later request of another must not queue behind the flood.
TEST_CASE("A flood from one organisation does not delay another")
{
    bool fair = GENERATE(true, false);
    pool_settings settings;
    settings.fair = fair;
    settings.admission = false;
    pool_fixture fixture(settings);
    fixture.announce("p1", "prefill");
    fixture.announce("d1", "decode", 4);
    for (int i = 0; i < 50; ++i)
        fixture.place("flood" + std::to_string(i), "alpha", 1000);
    fixture.step();
    fixture.place("neighbour", "beta", 100);
    std::size_t before = 0;
    for (; before < 60; ++before) {
        fixture.progress("flood" + std::to_string(before), wire::STAGE_PREFILLED);
        fixture.progress("flood" + std::to_string(before), wire::STAGE_FINISHED);
        auto placed = fixture.step(milliseconds(100));
        if (std::find(placed.begin(), placed.end(), "neighbour") != placed.end())
            break;
    }
    CHECK((before <= 2) == fair);
}

// A request that is repeated because its response was lost gets the same placement, or keeps its place in the queue.
TEST_CASE("A repeated request causes no second reservation")
{
    pool_fixture fixture;
    fixture.announce("p1", "prefill");
    fixture.announce("d1", "decode", 1);
    fixture.place("r1");
    CHECK(fixture.step() == ids { "r1" });
    fixture.place("r1");
    CHECK(fixture.step() == ids { "r1" });
    CHECK(fixture.testedPool.endpoints().inFlight() == 1);
    fixture.place("r2");
    fixture.place("r3");
    fixture.place("r2");
    CHECK(fixture.testedPool.waiting() == 2);
    fixture.progress("r2", wire::STAGE_WITHDRAWN);
    CHECK(fixture.testedPool.waiting() == 1);
}

// Late requests are served out of turn, from their share. If they are charged to virtual time, it advances so far that
// an organisation that becomes active waits behind the backlog of all others.
TEST_CASE("Late requests do not delay an organisation that becomes active")
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
    CHECK(queue.lateCount() == 5);
}

// A request that can no longer be on time yields to those that can, but still gets its share.
TEST_CASE("A late request yields and is not starved")
{
    pool_settings settings;
    settings.lateSharePercent = 20;
    pool_fixture fixture(settings);
    fixture.announce("p1", "prefill");
    fixture.announce("d1", "decode", 50);
    for (const char* id : { "long1", "long2", "long3" })
        fixture.place(id, "alpha", 9000, 60000);
    CHECK(fixture.step() == ids { "long1", "long2" });
    std::vector<std::string> running { "long1", "long2" };
    int placedBefore = 0;
    bool lateServed = false;
    for (int i = 0; i < 200 && !lateServed; ++i) {
        // Submit more than the engine can take, so that there is always a request that can still be on time.
        for (int j = 0; j < 3; ++j)
            fixture.place(fmt::format("short{}-{}", i, j), "beta", 500);
        for (const auto& id : running) {
            fixture.progress(id, wire::STAGE_PREFILLED);
            fixture.progress(id, wire::STAGE_FINISHED);
        }
        running = fixture.step(milliseconds(60));
        lateServed = std::find(running.begin(), running.end(), "long3") != running.end();
        placedBefore += lateServed ? 0 : static_cast<int>(running.size());
    }
    CHECK(lateServed);
    CHECK(placedBefore > 5);
}

TEST_CASE("A request that can't start in time is refused on arrival")
{
    pool_fixture fixture;
    fixture.announce("p1", "prefill");
    fixture.announce("d1", "decode", 50);
    for (int i = 0; i < 30; ++i)
        fixture.place("r" + std::to_string(i), "alpha", 10000, 20000);
    fixture.step();
    fixture.place("late", "alpha", 100, 500);
    auto decided = fixture.step();
    CHECK(decided == ids { "late!deadline_unreachable" });
    fixture.place("none", "alpha", 100, 500);
    fixture.clock.advance(milliseconds(4000));
    fixture.testedPool.expireEndpoints(fixture.clock.now());
    fixture.place("nobody");
    auto refused = fixture.step();
    CHECK(std::find(refused.begin(), refused.end(), "nobody!no_endpoint") != refused.end());
}

// After three failures an endpoint gets no work for a second, then a single probe.
TEST_CASE("A failing endpoint gets one probe at a time")
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

TEST_CASE("Retries are limited to a share of the successes")
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

// The new owner of a pool starts without state. It must restore the reservations that entries report, or it places
// requests on full engines.
TEST_CASE("A new owner restores the reservations that entries hold")
{
    pool_fixture fixture;
    fixture.announce("p1", "prefill");
    fixture.announce("d1", "decode", 1);
    wire::held_report report;
    auto* held = report.add_held();
    held->set_request_id("old");
    held->set_organisation("alpha");
    held->set_decode_id("d1");
    held->set_max_tokens(100);
    held->set_prefilled(true);
    fixture.testedPool.restoreReservations(report, "vm1", 1, fixture.clock.now());
    fixture.place("r1");
    CHECK(fixture.step().empty());
    // When the entry is no longer in the list of live processes, its reservation is removed.
    wire::live_process entry;
    entry.set_name("vm1");
    entry.set_incarnation(1);
    entry.set_kind(wire::PROCESS_ENTRY);
    fixture.testedPool.removeDeadEntries({ entry }, fixture.clock.now());
    CHECK(fixture.testedPool.endpoints().inFlight() == 1);
    fixture.testedPool.removeDeadEntries({}, fixture.clock.now());
    CHECK(fixture.testedPool.endpoints().inFlight() == 0);
    CHECK(fixture.testedPool.waiting() == 0);
}

// Copies of a request that has crashed one endpoint must run one at a time, so that a second crash is detected before
// a third endpoint is at risk.
TEST_CASE("A request suspected of a crash runs alone and is blocked after the second")
{
    pool_fixture fixture;
    fixture.announce("p1", "prefill");
    fixture.announce("p2", "prefill");
    fixture.announce("d1", "decode", 10);
    wire::crash_report report;
    report.set_fingerprint(1);
    report.set_endpoint("p9");
    report.set_request_id("first");
    fixture.testedPool.handleCrashReport(report, fixture.clock.now());
    fixture.place("r1");
    fixture.place("r2");
    CHECK(fixture.step() == ids { "r1" });
    report.set_request_id("r1");
    fixture.testedPool.handleCrashReport(report, fixture.clock.now());
    fixture.progress("r1", wire::STAGE_FAILED);
    CHECK(fixture.step() == ids { "r2!poison_request" });
}

TEST_CASE("Service calls go to the endpoint with the fewest calls and wait when all are full")
{
    pool_fixture fixture({}, pool_kind::Service);
    fixture.announce("s1", "service", 1);
    fixture.announce("s2", "service", 1);
    fixture.place("r1");
    fixture.place("r2");
    fixture.place("r3");
    CHECK(fixture.step().size() == 2);
    fixture.progress("r1", wire::STAGE_FINISHED);
    CHECK(fixture.step() == ids { "r3" });
}

// Guards against work for endpoints that are about to be switched off, and against callers who wait although no other is left.
TEST_CASE("Nothing is placed in an evacuated data centre, and requests without another one are refused at once")
{
    pool_fixture fixture({}, pool_kind::Service);
    fixture.announce("s1", "service", 1, 1, "a");
    fixture.announce("s2", "service", 1, 1, "b");
    fixture.testedPool.setEvacuated({ "a" });
    fixture.place("r1");
    CHECK(fixture.step() == ids { "r1" });
    CHECK(fixture.testedPool.endpoints().loadOf("s2").requests == 1);
    CHECK(fixture.testedPool.describe().find("evacuated=1") != std::string::npos);
    // This one waits for the slot until that data centre is evacuated too.
    fixture.place("r2");
    CHECK(fixture.step().empty());
    fixture.testedPool.setEvacuated({ "a", "b" });
    fixture.place("r3");
    auto refused = fixture.step();
    CHECK(std::set<std::string>(refused.begin(), refused.end()) == std::set<std::string> { "r2!evacuated", "r3!evacuated" });
    fixture.testedPool.setEvacuated({});
    fixture.place("r4");
    CHECK(fixture.step() == ids { "r4" });
}
