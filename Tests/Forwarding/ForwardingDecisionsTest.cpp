#include "forwarding/endpoint_registry.h"
#include "forwarding/event_splitter.h"
#include "forwarding/retry_policy.h"
#include "forwarding/shared_retry_budget.h"
#include "forwarding/stall_policy.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
failed_send failedSend(attempt_end end, call_kind kind, unsigned mayHaveRunAt, unsigned mostEndpoints = 2)
{
    failed_send failed;
    failed.end = end;
    failed.kind = kind;
    failed.mayHaveRunAt = mayHaveRunAt;
    failed.mostEndpoints = mostEndpoints;
    failed.timeLeft = milliseconds(1000);
    return failed;
}

wire::endpoint_row rowOf(const std::string& id, const std::string& dataCentre, std::uint64_t born = 1)
{
    wire::endpoint_row row;
    auto& report = *row.mutable_report();
    report.set_id(id);
    report.set_born_ms(born);
    report.set_sequence(1);
    report.set_address("10.0.0.1:80");
    report.set_service("app");
    report.set_data_centre(dataCentre);
    report.set_slots(4);
    return row;
}

google::protobuf::RepeatedPtrField<wire::endpoint_row> rowsOf(std::initializer_list<wire::endpoint_row> rows)
{
    return { rows.begin(), rows.end() };
}

endpoint_query queryOf(const std::string& service)
{
    endpoint_query query;
    query.service = service;
    return query;
}
}

// Callers see: a reservation was made twice.
// Order: the call is sent, the connection breaks before the answer, the call is sent to another endpoint.
// Why: a lost answer looks like a lost request; only proof that nothing ran allows a second send.
TEST_CASE("A call that must run once is sent again only after proof that it has not run")
{
    auto once = call_kind::NonIdempotent;
    CHECK(afterFailedSend(failedSend(attempt_end::NotSent, once, 0)) == next_step::SendAgain);
    CHECK(afterFailedSend(failedSend(attempt_end::RefusedUnrun, once, 0)) == next_step::SendAgain);
    CHECK(afterFailedSend(failedSend(attempt_end::MayHaveRun, once, 1)) == next_step::FailMayHaveRun);
    CHECK(afterFailedSend(failedSend(attempt_end::Stalled, once, 1)) == next_step::FailMayHaveRun);
    // An endpoint that refused does not undo that another may have run it.
    CHECK(afterFailedSend(failedSend(attempt_end::RefusedUnrun, once, 1)) == next_step::FailMayHaveRun);
    CHECK(afterFailedSend(failedSend(attempt_end::MayHaveRun, call_kind::Stream, 1)) == next_step::FailMayHaveRun);
}

TEST_CASE("A call that may be repeated runs at no more endpoints than its route allows")
{
    CHECK(afterFailedSend(failedSend(attempt_end::MayHaveRun, call_kind::Idempotent, 1)) == next_step::SendAgain);
    CHECK(afterFailedSend(failedSend(attempt_end::MayHaveRun, call_kind::Idempotent, 2)) == next_step::FailMayHaveRun);
    CHECK(afterFailedSend(failedSend(attempt_end::MayHaveRun, call_kind::Idempotent, 1, 1)) == next_step::FailMayHaveRun);
    auto resumable = failedSend(attempt_end::MayHaveRun, call_kind::Stream, 1);
    resumable.resumable = true;
    CHECK(afterFailedSend(resumable) == next_step::SendAgain);
    auto late = failedSend(attempt_end::NotSent, call_kind::Idempotent, 0);
    late.timeLeft = milliseconds(5);
    CHECK(afterFailedSend(late) == next_step::RefuseNotRun);
}

TEST_CASE("Repeats stay within the share of first sends and the entry's part of the slack")
{
    manual_clock_source clock;
    shared_retry_budget budget({ 0.1, 6, milliseconds(10000) });
    for (int i = 0; i < 20; ++i)
        budget.onFirst("app", clock.now());
    int allowed = 0;
    while (budget.tryAgain("app", 3, clock.now()))
        ++allowed;
    CHECK(allowed == 4);
    clock.advance(milliseconds(5000));
    CHECK_FALSE(budget.tryAgain("app", 3, clock.now()));
    clock.advance(milliseconds(6000));
    CHECK(budget.tryAgain("app", 3, clock.now()));
}

// What callers see: nothing at first; the service is buried under repeats of its own failures.
// What happens: one of two engines that read prompts is lost and the other can't keep up; every call asks one, in vain,
// and then sends its prompt to a decode engine.
// Why it must not: each of these is a further send, and all entries together may make only so many.
TEST_CASE("Prompts that failing engines did not read stay within the shared budget of repeats")
{
    constexpr unsigned entries = 6;
    constexpr int calls = 250;
    constexpr double toleratedRatio = 0.2;
    constexpr double toleratedSlack = 52;
    manual_clock_source clock;
    std::vector<shared_retry_budget> budgets(entries, shared_retry_budget({ toleratedRatio / 2, toleratedSlack / 2, milliseconds(10000) }));
    std::vector<endpoint_registry> rosters;
    for (unsigned i = 0; i < entries; ++i)
        rosters.emplace_back(clock, "a", i);
    google::protobuf::RepeatedPtrField<wire::endpoint_row> rows;
    *rows.Add() = rowOf("reader", "a");
    for (auto& one : rosters)
        one.onEndpoints(rows, true);
    int further = 0;
    for (int i = 0; i < calls; ++i) {
        auto& budget = budgets[static_cast<std::size_t>(i) % entries];
        auto& roster = rosters[static_cast<std::size_t>(i) % entries];
        for (int question = 0; question < 2; ++question) {
            if (!budget.mayAskToRead("app", entries, question > 0, roster.failsNow("reader"), clock.now()))
                break;
            ++further;
            roster.judge("reader", endpoint_verdict::Lost);
            if (question == 0)
                budget.onNotRead("app", clock.now());
        }
        budget.onFirst("app", clock.now());
        clock.advance(milliseconds(10000 / calls));
    }
    CHECK(further > 0);
    CHECK(further <= toleratedRatio * calls + toleratedSlack);
}

// What callers see: after a restart of all VMs their first calls end 0.8 s later without an answer.
// What happens: each entry knows one engine that reads prompts, no leader places calls yet, and all callers return at once;
// every prompt goes to that engine and is given up in its queue.
// Why it must not: what can't be read soon waits for other engines to report, or is refused at once.
TEST_CASE("An entry that chooses by itself puts few calls before one endpoint")
{
    manual_clock_source clock;
    endpoint_registry roster(clock, "a", 1);
    google::protobuf::RepeatedPtrField<wire::endpoint_row> rows;
    *rows.Add() = rowOf("reader", "a");
    roster.onEndpoints(rows, true);
    endpoint_query query;
    query.service = "app";
    query.mostRequests = 2;
    for (int i = 0; i < 2; ++i) {
        REQUIRE(roster.pick(query));
        roster.begin("reader", 0);
    }
    CHECK_FALSE(roster.pick(query));
    rows.Clear();
    *rows.Add() = rowOf("another", "a");
    roster.onEndpoints(rows, false);
    auto picked = roster.pick(query);
    REQUIRE(picked);
    CHECK(picked->id == "another");
    roster.end("reader", 0);
    query.exclude = { "another" };
    CHECK(roster.pick(query));
}

TEST_CASE("Only whole events are passed on, and the last id is known")
{
    event_splitter events;
    events.feed("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(events.takeWhole() == "id: 1\ndata: a\n\n");
    CHECK(events.lastId() == "1");
    CHECK(events.takeWhole().empty());
    events.feed("ta: b\n\nid:3\r\ndata: c\r\n\r\nid: 4");
    CHECK(events.takeWhole() == "id: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\n");
    CHECK(events.lastId() == "3");
    events.dropRest();
    events.feed("id: 4\n\n");
    CHECK(events.takeWhole() == "id: 4\n\n");
}

TEST_CASE("The own data centre goes first until its endpoints are loaded")
{
    manual_clock_source clock;
    endpoint_registry roster(clock, "a", 7);
    roster.onEndpoints(rowsOf({ rowOf("near", "a"), rowOf("far", "b") }), true);
    CHECK(roster.pick(queryOf("app"))->id == "near");
    for (int i = 0; i < 4; ++i)
        roster.begin("near", 0);
    CHECK(roster.pick(queryOf("app"))->id == "far");
    CHECK_FALSE(roster.pick(queryOf("none")));
}

// Callers see: call after call fails at an endpoint that is down, though others serve.
// Order: the endpoint dies; until its silence shows at control, entries go on choosing it.
// Why: an entry leaves a lost endpoint alone at once, longer each time, and forgives it when it starts again.
TEST_CASE("A lost endpoint is left alone until it starts again")
{
    manual_clock_source clock;
    endpoint_registry roster(clock, "a", 7);
    roster.onEndpoints(rowsOf({ rowOf("near", "a"), rowOf("far", "b") }), true);
    roster.judge("near", endpoint_verdict::Lost);
    CHECK(roster.pick(queryOf("app"))->id == "far");
    auto both = queryOf("app");
    both.exclude = { "far" };
    CHECK(roster.pick(both)->id == "near");
    roster.onEndpoints(rowsOf({ rowOf("near", "a", 2) }), false);
    CHECK(roster.pick(queryOf("app"))->id == "near");
}

TEST_CASE("An endpoint that a new leader doesn't confirm is dropped after a while, and an older row changes nothing")
{
    manual_clock_source clock;
    endpoint_registry roster(clock, "a", 7);
    roster.onEndpoints(rowsOf({ rowOf("one", "a", 5), rowOf("two", "a", 5) }), true);
    roster.onEndpoints(rowsOf({ rowOf("one", "a", 5) }), true);
    auto gone = rowOf("one", "a", 4);
    gone.mutable_report()->set_state(wire::ENDPOINT_GONE);
    roster.onEndpoints(rowsOf({ gone }), false);
    CHECK(roster.size() == 2);
    clock.advance(milliseconds(6100));
    roster.onEndpoints({}, false);
    CHECK(roster.size() == 1);
    CHECK(roster.find("one"));
}

// Callers see: a stream is read anew at another engine although its own would have gone on with it a moment later.
// Order: an engine puts back one stream for want of memory; the others go on; the stream leaves as if the engine were dark.
// Why: an engine that sends anything is alive, so its stream may be quiet for longer, but never until its caller leaves.
TEST_CASE("A quiet stream stays longer at an engine that lives")
{
    quiet_stream dark { milliseconds(900), milliseconds(300), milliseconds(1000), milliseconds(1000) };
    quiet_stream live { milliseconds(900), milliseconds(300), milliseconds(1000), milliseconds(50) };
    CHECK(quietAllowed(dark) == milliseconds(900));
    CHECK(quietAllowed(live) == milliseconds(1800));
    // What came before the stream fell quiet, or just after, proves nothing.
    live.endpointQuiet = milliseconds(800);
    CHECK(quietAllowed(live) == milliseconds(900));
    for (auto target : { milliseconds(50), milliseconds(900), milliseconds(5000) }) {
        quiet_stream stream { target, milliseconds(300), milliseconds(1000), milliseconds(0) };
        CHECK(quietAllowed(stream) < pauseCallersBear(target, milliseconds(300)));
    }
}
