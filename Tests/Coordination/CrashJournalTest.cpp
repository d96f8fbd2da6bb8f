#include "coordination/coordination.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
constexpr std::uint64_t request = 7;

wire::crash_report crashAt(const std::string& endpoint)
{
    wire::crash_report report;
    report.set_fingerprint(request);
    report.set_endpoint(endpoint);
    report.set_endpoint_incarnation(1);
    return report;
}

int unreportedCount(const crash_journal& journal, time_point now)
{
    google::protobuf::RepeatedPtrField<wire::crash_report> reports;
    journal.fillUnreported(reports, now);
    return reports.size();
}
}

// Guards against an entry that sends a request on although endpoints crashed under it while no leader was known.
TEST_CASE("An entry counts the crashes that no leader knows")
{
    crash_journal journal;
    time_point now { std::chrono::hours(1) };
    journal.add(crashAt("e1"), now);
    journal.add(crashAt("e1"), now);
    CHECK(journal.unreportedCrashes(request) == 1);
    journal.add(crashAt("e2"), now);
    CHECK(journal.unreportedCrashes(request) == 2);
    CHECK(journal.unreportedCrashes(request + 1) == 0);
}

// Guards against crashes that a leader never learns because it was elected after them.
TEST_CASE("Each new leader gets the crashes of an entry with their ages until they expire")
{
    crash_journal journal;
    time_point now { std::chrono::hours(1) };
    journal.add(crashAt("e1"), now);
    auto sentAt = now + std::chrono::seconds(1);
    journal.add(crashAt("e2"), sentAt + std::chrono::seconds(1));
    journal.markReported(sentAt);
    // A crash after the sync was sent is not known yet, so the entry still counts both.
    CHECK(unreportedCount(journal, now) == 1);
    CHECK(journal.unreportedCrashes(request) == 2);
    // One of the moment at which the sync was sent may have missed it.
    journal.markReported(sentAt + std::chrono::seconds(1));
    CHECK(unreportedCount(journal, now) == 1);
    journal.markReported(sentAt + std::chrono::seconds(2));
    CHECK(unreportedCount(journal, now) == 0);
    CHECK(journal.unreportedCrashes(request) == 0);
    journal.onLeaderChanged();
    google::protobuf::RepeatedPtrField<wire::crash_report> reports;
    journal.fillUnreported(reports, now + std::chrono::seconds(5));
    REQUIRE(reports.size() == 2);
    CHECK(reports[0].age_ms() == 5000);
    CHECK(reports[1].age_ms() == 3000);
    journal.expire(now + std::chrono::seconds(61));
    CHECK(unreportedCount(journal, now) == 1);
}

// Guards against an entry that refuses a popular request without a leader, although it succeeds after each crash.
TEST_CASE("An entry counts no crashes from before a success of the request")
{
    crash_journal journal;
    time_point now { std::chrono::hours(1) };
    journal.add(crashAt("e1"), now);
    journal.add(crashAt("e2"), now + std::chrono::seconds(10));
    CHECK(journal.unreportedCrashes(request) == 2);
    CHECK(journal.unreportedCrashes(request, now + std::chrono::seconds(1)) == 1);
    CHECK(journal.unreportedCrashes(request, now + std::chrono::seconds(10)) == 0);
    CHECK(journal.unreportedRequests() == std::set { request });
    journal.markReported(now + std::chrono::seconds(11));
    CHECK(journal.unreportedRequests().empty());
}
