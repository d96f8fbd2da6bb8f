// Guards against entries on slow links that answer 503 forever after a restart: the configuration takes longer over the link
// than the reply timeout, the late reply is dropped, and the next request starts over. Also guards against heartbeats and
// requests that queue behind bulk transfers.
#include "Coordination/slow_fleet.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr std::size_t megabyte = 1'000'000;
/// An entry must serve within this time after its start.
constexpr std::chrono::milliseconds recoveryBound { 12000 };
/// Limit on the latency of a request to the leader during bulk transfers.
constexpr milliseconds requestBound { 300 };
}

TEST_CASE("An entry receives a configuration whose transfer takes longer than the reply timeout")
{
    slow_fleet fleet(1);
    fleet.submit(5, randomText(megabyte));
    fleet.startEntries(1);
    CHECK(runUntil(
        fleet.context, [&] { return fleet.allServe(5); }, recoveryBound));
}

TEST_CASE("Sixty and three hundred entries that start at once on slow links serve within the recovery bound")
{
    for (int count : { 60, 300 }) {
        slow_fleet fleet(count == 60 ? 2 : 3);
        fleet.submit(5, routesText(megabyte));
        fleet.startEntries(count);
        CHECK(runUntil(
            fleet.context, [&] { return fleet.allServe(5); }, recoveryBound));
    }
}

TEST_CASE("A request to the leader doesn't queue behind a configuration transfer")
{
    slow_fleet fleet(4);
    fleet.submit(5, randomText(megabyte));
    fleet.startEntries(20);
    REQUIRE(runUntil(
        fleet.context, [&] { return !fleet.entries.front()->link().leader().empty(); }, recoveryBound));
    std::vector<milliseconds> latencies;
    while (!fleet.allServe(5) && latencies.size() < 500) {
        bool answered = false;
        auto sentAt = fleet.clock.now();
        wire::envelope message;
        message.mutable_limit()->set_organisation("none");
        auto& one = *fleet.entries.front();
        one.network().call(one.link().leader(), std::move(message), recoveryBound, [&](const wire::envelope*) { answered = true; });
        REQUIRE(runUntil(
            fleet.context, [&] { return answered; }, recoveryBound));
        latencies.push_back(std::chrono::duration_cast<milliseconds>(fleet.clock.now() - sentAt));
    }
    REQUIRE(!latencies.empty());
    CHECK(*std::max_element(latencies.begin(), latencies.end()) < requestBound);
    CHECK(fleet.allServe(5));
}

TEST_CASE("A small change of a large configuration is in force at entries on slow links at once")
{
    slow_fleet fleet(5);
    auto body = randomText(megabyte);
    fleet.submit(5, body);
    fleet.startEntries(10);
    REQUIRE(runUntil(
        fleet.context, [&] { return fleet.allServe(5); }, recoveryBound));
    body.replace(megabyte / 2, 4, "new!");
    auto changedAt = fleet.clock.now();
    fleet.submit(6, body);
    CHECK(runUntil(
        fleet.context, [&] { return fleet.allServe(6); }, recoveryBound));
    // The full configuration would take 0.8 s.
    CHECK(fleet.clock.now() - changedAt < milliseconds(500));
}

TEST_CASE("Entries on slow links receive thousands of endpoints")
{
    slow_fleet fleet(6);
    fleet.submit(5, "small");
    constexpr std::size_t many = 4200;
    for (std::size_t i = 0; i < many; ++i) {
        wire::endpoint_report report;
        report.set_id(fmt::format("i-{:08x}", i * 2654435761U));
        report.set_born_ms(1000 + i);
        report.set_sequence(1);
        report.set_service("engines");
        report.set_address(fmt::format("10.{}.{}.1:8080", i / 250, i % 250));
        fleet.leader->coordinator().handleReport(report, [](bool) {});
    }
    fleet.startEntries(10);
    CHECK(runUntil(
        fleet.context, [&] {
            return std::all_of(fleet.entries.begin(), fleet.entries.end(), [&](const auto& one) { return one->endpointCount() == many; });
        },
        recoveryBound));
}

// Guards against a leader that is saturated after a restart of all VMs: it told each entry of each endpoint's first report in a
// message of its own, and served nobody until all were sent.
TEST_CASE("Endpoints that report together reach the entries in few messages, and one that leaves at once")
{
    slow_fleet fleet(7);
    fleet.submit(5, "small");
    fleet.startEntries(10);
    REQUIRE(runUntil(
        fleet.context, [&] { return fleet.allServe(5); }, recoveryBound));
    constexpr std::size_t many = 1000;
    wire::endpoint_report report;
    for (std::size_t i = 0; i < many; ++i) {
        report.set_id(fmt::format("i-{:08x}", i));
        report.set_born_ms(1000);
        report.set_sequence(1);
        report.set_service("engines");
        report.set_address(fmt::format("10.{}.{}.1:8080", i / 250, i % 250));
        fleet.leader->coordinator().handleReport(report, [](bool) {});
        // Reports arrive one by one.
        fleet.context.poll();
    }
    auto& entry = *fleet.entries.front();
    REQUIRE(runUntil(
        fleet.context, [&] { return entry.endpointCount() == many; }, recoveryBound));
    CHECK(entry.endpointUpdates() < many / 10);
    // The entries are told before the leaving is confirmed.
    auto updatesBefore = entry.endpointUpdates();
    report.set_state(wire::ENDPOINT_LEAVING);
    report.set_sequence(2);
    bool confirmed = false;
    fleet.leader->coordinator().handleReport(report, [&](bool taken) { confirmed = taken; });
    CHECK(confirmed);
    // What the leader sends to an entry arrives in order, so the update must be there before the reply to a later request.
    bool answered = false;
    wire::envelope message;
    message.mutable_limit()->set_organisation("none");
    entry.network().call(entry.link().leader(), std::move(message), recoveryBound, [&](const wire::envelope*) { answered = true; });
    REQUIRE(runUntil(
        fleet.context, [&] { return answered; }, recoveryBound));
    CHECK(entry.endpointUpdates() > updatesBefore);
}
