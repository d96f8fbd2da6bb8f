#include "forwarding/call_arrivals.h"
#include "forwarding/endpoint_connection.h"
#include "forwarding/endpoint_registry.h"
#include "forwarding/event_splitter.h"
#include "forwarding/retry_policy.h"
#include "forwarding/stall_policy.h"
#include "routing/call_priority.h"
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <limits>

using namespace pistachiolatch;

namespace {
failed_attempt makeFailedAttempt(attempt_outcome outcome, call_kind kind, unsigned possibleRuns, unsigned maxEndpoints = 2)
{
    failed_attempt attempt;
    attempt.outcome = outcome;
    attempt.kind = kind;
    attempt.possibleRuns = possibleRuns;
    attempt.maxEndpoints = maxEndpoints;
    attempt.timeLeft = milliseconds(1000);
    return attempt;
}

wire::endpoint_row makeRow(const std::string& id, const std::string& dataCentre, std::uint64_t incarnation = 1)
{
    wire::endpoint_row row;
    auto& report = *row.mutable_report();
    report.set_id(id);
    report.set_born_ms(incarnation);
    report.set_sequence(1);
    report.set_address("10.0.0.1:80");
    report.set_service("app");
    report.set_data_centre(dataCentre);
    report.set_slots(4);
    return row;
}

google::protobuf::RepeatedPtrField<wire::endpoint_row> makeRows(std::initializer_list<wire::endpoint_row> rows)
{
    return { rows.begin(), rows.end() };
}

endpoint_query makeQuery(const std::string& service)
{
    endpoint_query query;
    query.service = service;
    return query;
}
}

// Guards against duplicate execution: a call is sent, the connection breaks before the response, and the call is sent to
// another endpoint. A lost response can't be told from a lost request.
TEST_CASE("A non-idempotent call is retried only if it certainly has not run")
{
    auto nonIdempotent = call_kind::NonIdempotent;
    CHECK(decideRetry(makeFailedAttempt(attempt_outcome::NotSent, nonIdempotent, 0)) == retry_decision::Retry);
    CHECK(decideRetry(makeFailedAttempt(attempt_outcome::RefusedNotRun, nonIdempotent, 0)) == retry_decision::Retry);
    CHECK(decideRetry(makeFailedAttempt(attempt_outcome::MayHaveRun, nonIdempotent, 1)) == retry_decision::FailMayHaveRun);
    CHECK(decideRetry(makeFailedAttempt(attempt_outcome::Stalled, nonIdempotent, 1)) == retry_decision::FailMayHaveRun);
    // A refusal by one endpoint does not prove that another one has not run the call.
    CHECK(decideRetry(makeFailedAttempt(attempt_outcome::RefusedNotRun, nonIdempotent, 1)) == retry_decision::FailMayHaveRun);
    CHECK(decideRetry(makeFailedAttempt(attempt_outcome::MayHaveRun, call_kind::Stream, 1)) == retry_decision::FailMayHaveRun);
}

TEST_CASE("An idempotent call runs at no more endpoints than its route allows")
{
    CHECK(decideRetry(makeFailedAttempt(attempt_outcome::MayHaveRun, call_kind::Idempotent, 1)) == retry_decision::Retry);
    CHECK(decideRetry(makeFailedAttempt(attempt_outcome::MayHaveRun, call_kind::Idempotent, 2)) == retry_decision::FailMayHaveRun);
    CHECK(decideRetry(makeFailedAttempt(attempt_outcome::MayHaveRun, call_kind::Idempotent, 1, 1)) == retry_decision::FailMayHaveRun);
    auto resumable = makeFailedAttempt(attempt_outcome::MayHaveRun, call_kind::Stream, 1);
    resumable.resumable = true;
    CHECK(decideRetry(resumable) == retry_decision::Retry);
    auto nearDeadline = makeFailedAttempt(attempt_outcome::NotSent, call_kind::Idempotent, 0);
    nearDeadline.timeLeft = milliseconds(5);
    CHECK(decideRetry(nearDeadline) == retry_decision::FailNotRun);
}

// Guards against overloading a service with retries: one of two prefill engines is lost and the other can't keep up, so
// each call sends a prefill request that fails and then its prompt to a decode engine. All entries share one limit on
// these additional requests.
TEST_CASE("Failed prefill requests stay within the shared retry budget")
{
    constexpr unsigned entries = 6;
    constexpr int calls = 250;
    retry_tolerance tolerance { 0.2, 52, milliseconds(10000) };
    manual_clock_source clock;
    retry_ledger ledger(tolerance);
    std::vector<entry_retry_share> shares(entries, entry_retry_share(tolerance, clock.now() - tolerance.countedFor()));
    std::vector<endpoint_registry> registries;
    for (unsigned i = 0; i < entries; ++i)
        registries.emplace_back(clock, "a", i);
    google::protobuf::RepeatedPtrField<wire::endpoint_row> rows;
    *rows.Add() = makeRow("prefill", "a");
    for (auto& registry : registries)
        registry.onEndpoints(rows, true);
    int retries = 0;
    int served = 0;
    time_point spentUntil {};
    for (int i = 0; i < calls; ++i) {
        auto& share = shares[static_cast<std::size_t>(i) % entries];
        auto& registry = registries[static_cast<std::size_t>(i) % entries];
        share.recordEntryCount(entries, clock.now());
        share.recordFirstAttempt("app", clock.now());
        call_arrivals arrivals;
        auto acquire = [&](unsigned needed, retry_need need) {
            while (arrivals.grants(clock.now()) < needed) {
                bool granted = share.tryTakeEarned("app", need, clock.now()) || ledger.tryGrant("app", need, clock.now());
                if (!granted && need == retry_need::Required)
                    spentUntil = clock.now() + milliseconds(1000);
                if (!granted)
                    return false;
                arrivals.recordGrant(clock.now());
            }
            return true;
        };
        for (int attempt = 0; attempt < 2; ++attempt) {
            bool isSpent = spentUntil > clock.now();
            if ((isSpent && registry.mayFail("prefill")) || !acquire(arrivals.grantsToPrefill(), retry_need::Optional))
                break;
            arrivals.recordPrefill(false);
            registry.recordOutcome("prefill", endpoint_outcome::Unreachable);
        }
        if (acquire(arrivals.grantsToSend(), retry_need::Required)) {
            arrivals.recordSent();
            ++served;
        }
        retries += static_cast<int>(arrivals.count()) - 1;
        clock.advance(milliseconds(10000 / calls));
    }
    CHECK(retries > 0);
    CHECK(retries <= tolerance.ratio * calls + tolerance.slack);
    // Once a call was refused for its failed prefill, the others of the next second go without one.
    CHECK(served >= calls - 10);
}

TEST_CASE("Each request of a call beyond the first needs a grant, but not the first prefill that is accepted")
{
    manual_clock_source clock;
    call_arrivals accepted;
    CHECK(accepted.grantsToPrefill() == 0);
    accepted.recordPrefill(true);
    CHECK(accepted.grantsToSend() == 0);
    // A second prefill counts by itself, and so does the request behind it.
    CHECK(accepted.grantsToPrefill() == 1);
    accepted.recordSent();
    CHECK(accepted.grantsToSend() == 1);
    CHECK(accepted.grantsToPrefill() == 2);

    call_arrivals refused;
    refused.recordPrefill(false);
    CHECK(refused.grantsToSend() == 1);
    CHECK(refused.grantsToPrefill() == 1);
    refused.recordGrant(clock.now());
    // The grant for a prefill that is accepted after all pays for the request.
    refused.recordPrefill(true);
    CHECK(refused.grants(clock.now()) == 1);
    refused.recordSent();
    CHECK(refused.grants(clock.now()) == 0);
    CHECK(refused.grantsToSend() == 1);

    refused.recordGrant(clock.now());
    clock.advance(retry_tolerance::grantLifetime);
    CHECK(refused.grants(clock.now()) == 0);
}

// Guards against calls that time out after 0.8 s when all VMs restart: each entry knows one prefill engine, no leader
// plans calls yet, and all callers return at once, so all prompts queue at that engine until they time out. Prompts that
// can't be processed soon must wait for other engines to announce themselves, or be refused at once.
TEST_CASE("maxRequests limits the concurrent requests at an endpoint")
{
    manual_clock_source clock;
    endpoint_registry registry(clock, "a", 1);
    google::protobuf::RepeatedPtrField<wire::endpoint_row> rows;
    *rows.Add() = makeRow("prefill", "a");
    registry.onEndpoints(rows, true);
    endpoint_query query;
    query.service = "app";
    query.maxRequests = 2;
    for (int i = 0; i < 2; ++i) {
        REQUIRE(registry.select(query));
        registry.addRequest("prefill", 0);
    }
    CHECK_FALSE(registry.select(query));
    rows.Clear();
    *rows.Add() = makeRow("another", "a");
    registry.onEndpoints(rows, false);
    auto selected = registry.select(query);
    REQUIRE(selected);
    CHECK(selected->id == "another");
    registry.removeRequest("prefill", 0);
    query.exclude = { "another" };
    CHECK(registry.select(query));
}

TEST_CASE("The event splitter returns only complete events and records the last id")
{
    event_splitter events;
    events.append("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(events.takeCompleteEvents().bytes == "id: 1\ndata: a\n\n");
    CHECK(events.lastEventId() == "1");
    CHECK(events.takeCompleteEvents().bytes.empty());
    events.append("ta: b\n\nid:3\r\ndata: c\r\n\r\nid: 4");
    CHECK(events.takeCompleteEvents().bytes == "id: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\n");
    CHECK(events.lastEventId() == "3");
    events.discardRemainder();
    events.append("id: 4\n\n");
    CHECK(events.takeCompleteEvents().bytes == "id: 4\n\n");
}

TEST_CASE("Endpoints in the entry's own data centre are preferred until they are loaded")
{
    manual_clock_source clock;
    endpoint_registry registry(clock, "a", 7);
    registry.onEndpoints(makeRows({ makeRow("near", "a"), makeRow("far", "b") }), true);
    CHECK(registry.select(makeQuery("app"))->id == "near");
    for (int i = 0; i < 4; ++i)
        registry.addRequest("near", 0);
    CHECK(registry.select(makeQuery("app"))->id == "far");
    CHECK_FALSE(registry.select(makeQuery("none")));
}

// Guards against repeated failures at an endpoint that is down: entries must not keep selecting it until control detects
// its silence. An entry backs off from an unreachable endpoint at once, and resets the backoff when it restarts.
TEST_CASE("An unreachable endpoint is backed off until it restarts")
{
    manual_clock_source clock;
    endpoint_registry registry(clock, "a", 7);
    registry.onEndpoints(makeRows({ makeRow("near", "a"), makeRow("far", "b") }), true);
    registry.recordOutcome("near", endpoint_outcome::Unreachable);
    CHECK(registry.select(makeQuery("app"))->id == "far");
    auto onlyNear = makeQuery("app");
    onlyNear.exclude = { "far" };
    CHECK(registry.select(onlyNear)->id == "near");
    registry.onEndpoints(makeRows({ makeRow("near", "a", 2) }), false);
    CHECK(registry.select(makeQuery("app"))->id == "near");
}

TEST_CASE("An endpoint that a new leader doesn't confirm is removed after a timeout, and stale rows are ignored")
{
    manual_clock_source clock;
    endpoint_registry registry(clock, "a", 7);
    registry.onEndpoints(makeRows({ makeRow("one", "a", 5), makeRow("two", "a", 5) }), true);
    registry.onEndpoints(makeRows({ makeRow("one", "a", 5) }), true);
    auto gone = makeRow("one", "a", 4);
    gone.mutable_report()->set_state(wire::ENDPOINT_GONE);
    registry.onEndpoints(makeRows({ gone }), false);
    CHECK(registry.size() == 2);
    clock.advance(milliseconds(6100));
    registry.onEndpoints({}, false);
    CHECK(registry.size() == 1);
    CHECK(registry.find("one"));
}

namespace {
wire::endpoint_row withSequence(wire::endpoint_row row, std::uint64_t sequence)
{
    row.mutable_report()->set_sequence(sequence);
    return row;
}

wire::endpoint_row asLeaving(wire::endpoint_row row)
{
    row.mutable_report()->set_state(wire::ENDPOINT_LEAVING);
    return row;
}
}

// Guards against entries that end as they connect to a relay or an endpoint whose address they got from another process.
TEST_CASE("A connection to what is no address fails")
{
    boost::asio::io_context context;
    auto address = GENERATE(std::string("nowhere"), std::string("127.0.0.1:99999999999999999999"), std::string());
    auto connection = std::make_shared<endpoint_connection>(context.get_executor());
    std::optional<bool> connected;
    boost::asio::co_spawn(context, connection->connect(address), [&](std::exception_ptr error, bool result) {
        CHECK_FALSE(error);
        connected = result;
    });
    context.run();
    CHECK(connected == false);
}

// Guards against entries that hold on to a report of another writer after control has dropped it: its run or sequence is later.
TEST_CASE("An entry follows a directory that returns to an earlier run of an endpoint")
{
    manual_clock_source clock;
    endpoint_registry registry(clock, "a", 7);
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    registry.onEndpoints(makeRows({ makeRow("one", "a", 5), makeRow("two", "a", 5) }), true);
    registry.onEndpoints(makeRows({ makeRow("one", "b", largest), asLeaving(withSequence(makeRow("two", "a", 5), largest)) }), false);
    REQUIRE(registry.find("one")->incarnation == largest);
    REQUIRE_FALSE(registry.find("two"));
    registry.onEndpoints(makeRows({ withSequence(makeRow("one", "a", 5), 9), withSequence(makeRow("two", "a", 5), 9) }), false);
    CHECK(registry.find("one")->incarnation == 5);
    CHECK(registry.find("two"));
}

// Guards against entries that lose an endpoint, or hold on to a report of another writer, because a new leader knows an earlier report
// of it and has no reason to send another one.
TEST_CASE("A new leader's earlier row replaces a later one once the leader has kept it for a while")
{
    manual_clock_source clock;
    endpoint_registry registry(clock, "a", 7);
    registry.onEndpoints(makeRows({ withSequence(makeRow("one", "a", 5), 8), asLeaving(withSequence(makeRow("two", "a", 5), 8)), makeRow("three", "a", 6) }), true);
    registry.onEndpoints(makeRows({ withSequence(makeRow("one", "a", 5), 7), withSequence(makeRow("two", "a", 5), 7), makeRow("three", "a", 5) }), true);
    CHECK(registry.find("one"));
    // It has said that it leaves, and the new leader can't know it yet.
    CHECK_FALSE(registry.find("two"));
    CHECK(registry.find("three")->incarnation == 6);
    clock.advance(milliseconds(5900));
    registry.onLoad({});
    CHECK_FALSE(registry.find("two"));
    CHECK(registry.find("three")->incarnation == 6);
    clock.advance(milliseconds(200));
    SECTION("with the next update of the load")
    {
        registry.onLoad({});
    }
    SECTION("with the next change of another endpoint")
    {
        registry.onEndpoints(makeRows({ makeRow("four", "a", 5) }), false);
    }
    CHECK(registry.find("one"));
    CHECK(registry.find("two"));
    REQUIRE(registry.find("three"));
    CHECK(registry.find("three")->incarnation == 5);
}

// Guards against unnecessary migrations: an engine out of memory preempts one stream and continues the others, but the
// stream is migrated as if the engine were unresponsive. The timeout at a live engine is longer, but always shorter than
// the pause that callers tolerate.
TEST_CASE("No endpoint of an evacuated data centre is selected, and a service with no other is evacuated")
{
    manual_clock_source clock;
    endpoint_registry registry(clock, "a", 7);
    registry.onEndpoints(makeRows({ makeRow("near", "a"), makeRow("far", "b") }), true);
    CHECK_FALSE(registry.isServiceEvacuated("app"));
    registry.onEvacuated({ "a" });
    CHECK(registry.isEvacuated("near"));
    CHECK_FALSE(registry.find("near"));
    for (int i = 0; i < 20; ++i)
        REQUIRE(registry.select(makeQuery("app"))->id == "far");
    registry.onEvacuated({ "a", "b" });
    CHECK_FALSE(registry.select(makeQuery("app")));
    CHECK(registry.isServiceEvacuated("app"));
    CHECK_FALSE(registry.isServiceEvacuated("unknown"));
    registry.onEvacuated({});
    CHECK(registry.find("near"));
}

// Guards against endpoints that crash after their start because entries that choose alone add up to more than they tolerate.
TEST_CASE("An entry doesn't choose cold endpoints itself until they are warm")
{
    manual_clock_source clock;
    endpoint_registry registry(clock, "a", 7);
    auto cold = makeRow("cold", "a");
    cold.mutable_report()->set_cold_ms(3000);
    registry.onEndpoints(makeRows({ cold }), true);
    auto query = makeQuery("app");
    CHECK(registry.select(query));
    query.excludeCold = true;
    CHECK_FALSE(registry.select(query));
    // The same row comes again with other changes; the time counts from the first.
    clock.advance(milliseconds(2000));
    registry.onEndpoints(makeRows({ cold }), false);
    clock.advance(milliseconds(1001));
    CHECK(registry.select(query));
    // An endpoint may become cold while it is evacuated, and report that later.
    registry.onEvacuated({ "a" });
    registry.onEvacuated({});
    CHECK_FALSE(registry.select(query));
    clock.advance(milliseconds(1500));
    CHECK(registry.select(query));
}

TEST_CASE("The stall timeout is longer at a live engine")
{
    idle_stream unresponsive { milliseconds(900), milliseconds(300), milliseconds(1000), milliseconds(1000) };
    idle_stream alive { milliseconds(900), milliseconds(300), milliseconds(1000), milliseconds(50) };
    CHECK(stallTimeout(unresponsive) == milliseconds(900));
    CHECK(stallTimeout(alive) == milliseconds(1800));
    // Data received before the stream stalled, or just after, does not prove that the engine is alive.
    alive.endpointIdleTime = milliseconds(800);
    CHECK(stallTimeout(alive) == milliseconds(900));
    for (auto target : { milliseconds(50), milliseconds(900), milliseconds(5000) }) {
        idle_stream stream { target, milliseconds(300), milliseconds(1000), milliseconds(0) };
        CHECK(stallTimeout(stream) < maxToleratedPause(target, milliseconds(300)));
    }
}

// Guards against urgent calls that the leader takes for patient ones, and the reverse.
TEST_CASE("A call has its organisation's rank, or else its route's")
{
    route_config route;
    route.priority = 3;
    organisation_config organisation;
    CHECK(callPriority(route, nullptr) == 3);
    CHECK(callPriority(route, &organisation) == 3);
    // The most urgent rank is a rank of its own, not a missing one.
    organisation.priority = 0;
    CHECK(callPriority(route, &organisation) == 0);
    organisation.priority = 7;
    CHECK(callPriority(route, &organisation) == 7);
}
