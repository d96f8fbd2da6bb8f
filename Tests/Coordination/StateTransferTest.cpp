// What callers see: after a restart of all VMs, entries on slow links answer 503 for good.
// What happens: an entry that starts asks the leader for all that it lacks; the configuration takes longer over its link
// than an answer may take; the answer is dropped as late, and the next question asks for the whole again.
// Why it must not: whatever the size, the link and the number of entries that start at once, each must come to serve, and
// heartbeats and questions must not wait behind the bulk.
#include "Coordination/slow_fleet.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr std::size_t megabyte = 1'000'000;
/// Within this time of its start a VM must serve.
constexpr std::chrono::milliseconds recoveryBound { 12000 };
/// How long a question to the leader may take while bulk state is under way.
constexpr milliseconds questionBound { 300 };
}

TEST_CASE("An entry gets a configuration that takes longer over its link than an answer may take")
{
    slow_fleet fleet(1);
    fleet.submit(5, randomText(megabyte));
    fleet.startEntries(1);
    CHECK(runUntil(
        fleet.context, [&] { return fleet.allServe(5); }, recoveryBound));
}

TEST_CASE("Sixty and three hundred entries that start at once on slow links all serve within the recovery bound")
{
    for (int count : { 60, 300 }) {
        slow_fleet fleet(count == 60 ? 2 : 3);
        fleet.submit(5, routesText(megabyte));
        fleet.startEntries(count);
        CHECK(runUntil(
            fleet.context, [&] { return fleet.allServe(5); }, recoveryBound));
    }
}

TEST_CASE("A question to the leader doesn't wait behind a configuration that is under way")
{
    slow_fleet fleet(4);
    fleet.submit(5, randomText(megabyte));
    fleet.startEntries(20);
    REQUIRE(runUntil(
        fleet.context, [&] { return !fleet.entries.front()->link().leader().empty(); }, recoveryBound));
    std::vector<milliseconds> took;
    while (!fleet.allServe(5) && took.size() < 500) {
        bool answered = false;
        auto askedAt = fleet.clock.now();
        wire::envelope message;
        message.mutable_limit()->set_organisation("none");
        auto& one = *fleet.entries.front();
        one.network().call(one.link().leader(), std::move(message), recoveryBound, [&](const wire::envelope*) { answered = true; });
        REQUIRE(runUntil(
            fleet.context, [&] { return answered; }, recoveryBound));
        took.push_back(std::chrono::duration_cast<milliseconds>(fleet.clock.now() - askedAt));
    }
    REQUIRE(!took.empty());
    CHECK(*std::max_element(took.begin(), took.end()) < questionBound);
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
    // The whole would take 0.8 s.
    CHECK(fleet.clock.now() - changedAt < milliseconds(500));
}

TEST_CASE("Entries on slow links learn of thousands of endpoints")
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
        fleet.leader->coordinator().report(report, [](bool) {});
    }
    fleet.startEntries(10);
    CHECK(runUntil(
        fleet.context, [&] {
            return std::all_of(fleet.entries.begin(), fleet.entries.end(), [&](const auto& one) { return one->endpoints() == many; });
        },
        recoveryBound));
}
