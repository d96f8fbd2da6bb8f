#include "coordination/coordination.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
constexpr std::uint64_t request = 7;
constexpr std::uint64_t firstRun = 100;

wire::crash_report crashAt(const std::string& endpoint, const std::string& attempt)
{
    wire::crash_report report;
    report.set_fingerprint(request);
    report.set_endpoint(endpoint);
    report.set_endpoint_incarnation(firstRun);
    report.set_request_id(attempt);
    return report;
}

wire::endpoint_report reportOf(const std::string& endpoint, std::uint64_t born, wire::endpoint_state state = wire::ENDPOINT_SERVING)
{
    wire::endpoint_report report;
    report.set_id(endpoint);
    report.set_born_ms(born);
    report.set_state(state);
    return report;
}

/// Records a crash and returns the number that count against its request.
std::uint32_t addCrash(request_blocks& blocks, const wire::crash_report& report, time_point now)
{
    blocks.addSuspectedCrash(report, now);
    return blocks.crashCount(report.fingerprint());
}

/// Blocks after the connections to two endpoints broke while they ran the same request.
class two_crashes {
public:
    request_blocks blocks { block_settings {} };
    time_point now { std::chrono::hours(1) };

    two_crashes()
    {
        CHECK(addCrash(blocks, crashAt("e1", "a"), now) == 1);
        CHECK(blocks.blocks().requests_size() == 0);
        CHECK(addCrash(blocks, crashAt("e2", "b"), now) == 2);
        REQUIRE(blocks.blocks().requests_size() == 1);
        CHECK(blocks.blocks().requests(0).fingerprint() == request);
        CHECK_FALSE(blocks.blocks().requests(0).certain());
    }

    bool certain() const { return blocks.blocks().requests_size() == 1 && blocks.blocks().requests(0).certain(); }
    bool blocked() const { return blocks.blocks().requests_size() == 1; }
};
}

// Guards against a request that keeps crashing endpoints because its block is missing or ends early.
TEST_CASE("A request is blocked after connections to two endpoints broke, and the block is certain once both have restarted")
{
    two_crashes seen;
    seen.now += std::chrono::seconds(2);
    seen.blocks.onReport(reportOf("e1", firstRun + 1), seen.now);
    CHECK_FALSE(seen.certain());
    seen.blocks.onReport(reportOf("e2", firstRun + 1), seen.now);
    CHECK(seen.certain());
    seen.now += std::chrono::minutes(9);
    seen.blocks.updateFromDirectory(endpoint_directory(1, {}), {}, seen.now);
    CHECK(seen.certain());
    seen.now += std::chrono::minutes(2);
    seen.blocks.updateFromDirectory(endpoint_directory(1, {}), {}, seen.now);
    CHECK_FALSE(seen.blocked());
}

// Guards against missing a crash when the endpoint restarts under another name or does not restart.
TEST_CASE("An endpoint that is replaced at its address or stays silent counts as crashed")
{
    two_crashes seen;
    endpoint_directory directory(1, {});
    auto first = reportOf("e1", firstRun);
    first.set_address("10.0.0.1:80");
    directory.applyReport(first, seen.now);
    auto second = reportOf("e2", firstRun);
    second.set_address("10.0.0.2:80");
    directory.applyReport(second, seen.now);
    seen.blocks.updateFromDirectory(directory, {}, seen.now);
    CHECK_FALSE(seen.certain());
    auto successor = reportOf("e3", firstRun + 5);
    successor.set_address("10.0.0.1:80");
    directory.applyReport(successor, seen.now + std::chrono::seconds(3));
    directory.expire(seen.now + std::chrono::seconds(5));
    seen.blocks.updateFromDirectory(directory, {}, seen.now + std::chrono::seconds(5));
    CHECK(seen.certain());
}

// Guards against refusing a request when only the connections to its endpoints broke.
TEST_CASE("A suspected block ends when an endpoint reports again from the same run or reports that it is gone")
{
    two_crashes seen;
    bool gone = GENERATE(false, true);
    seen.now += std::chrono::seconds(2);
    seen.blocks.onReport(reportOf("e1", firstRun, gone ? wire::ENDPOINT_GONE : wire::ENDPOINT_SERVING), seen.now);
    CHECK_FALSE(seen.blocked());
}

// Guards against counting several broken connections to one endpoint as several crashes.
TEST_CASE("One run of an endpoint counts once against a request")
{
    request_blocks blocks { block_settings {} };
    time_point now { std::chrono::hours(1) };
    CHECK(addCrash(blocks, crashAt("e1", "a"), now) == 1);
    CHECK(addCrash(blocks, crashAt("e1", "b"), now) == 1);
    CHECK(blocks.blocks().requests_size() == 0);
}

// Guards against losing certain blocks when the leader changes.
TEST_CASE("A new leader adopts the certain blocks of entries but not the suspected ones")
{
    wire::blocked_requests held;
    held.add_requests()->set_fingerprint(1);
    auto* certain = held.add_requests();
    certain->set_fingerprint(2);
    certain->set_certain(true);
    request_blocks blocks { block_settings {} };
    blocks.adopt(held, time_point { std::chrono::hours(1) });
    REQUIRE(blocks.blocks().requests_size() == 1);
    CHECK(blocks.blocks().requests(0).fingerprint() == 2);
}

// Guards against dropping a crash because of a report that the endpoint sent before it.
TEST_CASE("A delayed report of a crashed run does not clear its crash")
{
    two_crashes seen;
    seen.now += std::chrono::seconds(2);
    seen.blocks.onReport(reportOf("e1", firstRun), seen.now);
    CHECK_FALSE(seen.blocked());
    seen.now += std::chrono::seconds(1);
    seen.blocks.onReport(reportOf("e1", firstRun + 1), seen.now);
    CHECK(seen.blocked());
    seen.blocks.onReport(reportOf("e2", firstRun + 1), seen.now);
    CHECK(seen.certain());
}

// Guards against blaming a request for a crash long after an endpoint had gone on reporting.
TEST_CASE("A crash of an endpoint that reported for seconds after a broken connection does not count against the request")
{
    two_crashes seen;
    for (int report = 0; report < 4; ++report) {
        seen.now += std::chrono::seconds(2);
        seen.blocks.onReport(reportOf("e1", firstRun), seen.now);
    }
    seen.now += std::chrono::seconds(2);
    seen.blocks.onReport(reportOf("e1", firstRun + 1), seen.now);
    CHECK_FALSE(seen.blocked());
}

// Guards against blaming a request for endpoints that a control process did not hear while it was cut off.
TEST_CASE("Silence from before a control process was elected makes no crash certain")
{
    two_crashes seen;
    endpoint_directory directory(1, {});
    directory.applyReport(reportOf("e1", firstRun), seen.now);
    directory.applyReport(reportOf("e2", firstRun), seen.now);
    seen.now += std::chrono::seconds(6);
    directory.expire(seen.now);
    seen.blocks.updateFromDirectory(directory, time_point::max(), seen.now);
    CHECK_FALSE(seen.certain());
    auto electedAt = seen.now;
    seen.blocks.updateFromDirectory(directory, electedAt, seen.now + std::chrono::seconds(3));
    CHECK_FALSE(seen.certain());
    CHECK(seen.blocked());
    seen.blocks.updateFromDirectory(directory, electedAt, seen.now + std::chrono::seconds(5));
    CHECK(seen.certain());
}

namespace {
/// An entry's statement that an attempt succeeded which began before this time.
google::protobuf::RepeatedPtrField<wire::request_success> successBegun(milliseconds ago)
{
    google::protobuf::RepeatedPtrField<wire::request_success> successes;
    successes.Add()->set_fingerprint(request);
    successes[0].set_begun_age_ms(static_cast<std::uint32_t>(ago.count()));
    return successes;
}

bool isSuspected(const request_blocks& blocks)
{
    return blocks.blocks().suspected_requests_size() == 1 && blocks.blocks().suspected_requests(0) == request;
}
}

// Guards against refusing a popular request because endpoints crashed by another cause while they ran it.
TEST_CASE("Crashes of two endpoints with a success of the request in between block nothing")
{
    request_blocks blocks { block_settings {} };
    time_point now { std::chrono::hours(1) };
    for (int n = 1; n <= 10; ++n) {
        auto endpoint = fmt::format("e{}", n);
        CHECK(addCrash(blocks, crashAt(endpoint, endpoint), now) == 1);
        CHECK(isSuspected(blocks));
        blocks.onReport(reportOf(endpoint, firstRun + 1), now + std::chrono::seconds(1));
        now += std::chrono::seconds(2);
        CHECK(blocks.recordSuccesses(successBegun(milliseconds(1900)), now));
        CHECK(blocks.crashCount(request) == 0);
        CHECK_FALSE(isSuspected(blocks));
        CHECK(blocks.blocks().requests_size() == 0);
    }
}

// Guards against a success that hides a crash which it says nothing about: the attempt had begun before the crash.
TEST_CASE("An attempt that began before a crash takes back only earlier crashes")
{
    request_blocks blocks { block_settings {} };
    time_point now { std::chrono::hours(1) };
    addCrash(blocks, crashAt("e1", "a"), now);
    now += std::chrono::seconds(3);
    CHECK(blocks.recordSuccesses(successBegun(std::chrono::seconds(4)), now));
    CHECK(blocks.crashCount(request) == 1);
    CHECK(addCrash(blocks, crashAt("e2", "b"), now) == 2);
    now += std::chrono::seconds(1);
    CHECK(addCrash(blocks, crashAt("e3", "c"), now) == 3);
    CHECK(blocks.blocks().requests_size() == 1);
    CHECK(blocks.recordSuccesses(successBegun(std::chrono::seconds(2)), now));
    CHECK(blocks.crashCount(request) == 2);
    CHECK(blocks.blocks().requests_size() == 0);
}

// Guards against a request that crashes one endpoint after the other once it has succeeded.
TEST_CASE("A request that succeeded before is blocked by crashes at three moments")
{
    request_blocks blocks { block_settings {} };
    time_point now { std::chrono::hours(1) };
    blocks.recordSuccesses(successBegun(std::chrono::seconds(1)), now);
    CHECK(addCrash(blocks, crashAt("e1", "a"), now) == 1);
    now += std::chrono::milliseconds(60);
    CHECK(addCrash(blocks, crashAt("e2", "b"), now) == 1);
    now += std::chrono::milliseconds(60);
    CHECK(addCrash(blocks, crashAt("e3", "c"), now) == 2);
    CHECK(blocks.blocks().requests_size() == 0);
    now += std::chrono::milliseconds(120);
    CHECK(addCrash(blocks, crashAt("e4", "d"), now) == 3);
    REQUIRE(blocks.blocks().requests_size() == 1);
    CHECK_FALSE(blocks.blocks().requests(0).certain());
    for (const auto* endpoint : { "e1", "e2", "e3", "e4" })
        blocks.onReport(reportOf(endpoint, firstRun + 1), now + std::chrono::seconds(1));
    CHECK(blocks.blocks().requests(0).certain());
}

// Guards against refusing a popular request for ten minutes because two endpoints, to which one call was sent, crashed by another cause.
TEST_CASE("A request that succeeded before is not blocked by two crashes, however late its success is told")
{
    request_blocks blocks { block_settings {} };
    time_point now { std::chrono::hours(1) };
    auto age = GENERATE(std::chrono::seconds(1), std::chrono::seconds(50), std::chrono::seconds(500));
    bool isToldLate = GENERATE(false, true);
    if (!isToldLate)
        blocks.recordSuccesses(successBegun(age), now);
    addCrash(blocks, crashAt("e1", "a"), now);
    auto crashedAt = now;
    now += std::chrono::milliseconds(200);
    addCrash(blocks, crashAt("e2", "b"), now);
    CHECK((blocks.blocks().requests_size() == 1) == isToldLate);
    for (const auto* endpoint : { "e1", "e2" })
        blocks.onReport(reportOf(endpoint, firstRun + 1), now + std::chrono::seconds(1));
    if (isToldLate) {
        CHECK(blocks.blocks().requests(0).certain());
        CHECK(blocks.recordSuccesses(successBegun(age + std::chrono::milliseconds(200)), now));
    }
    // The success becomes older than the crashes may, which count on.
    for (; now - crashedAt < std::chrono::seconds(120); now += std::chrono::seconds(1)) {
        blocks.updateFromDirectory(endpoint_directory(1, {}), {}, now);
        CHECK(blocks.blocks().requests_size() == 0);
    }
}

// Guards against refusing a popular request because endpoints that shared their power failed together.
TEST_CASE("Endpoints that crash at the same moment under a request that succeeded before count once")
{
    request_blocks blocks { block_settings {} };
    time_point now { std::chrono::hours(1) };
    blocks.recordSuccesses(successBegun(std::chrono::seconds(1)), now);
    for (const auto* endpoint : { "e1", "e2", "e3" })
        CHECK(addCrash(blocks, crashAt(endpoint, endpoint), now) == 1);
    CHECK(blocks.blocks().requests_size() == 0);
    CHECK(isSuspected(blocks));
}

// Guards against refusing a request for ten minutes when the entries told of its success only after the block was certain.
TEST_CASE("A success between the crashes lifts a block that is certain already")
{
    two_crashes seen;
    seen.now += std::chrono::seconds(5);
    for (const auto* endpoint : { "e1", "e2" })
        seen.blocks.onReport(reportOf(endpoint, firstRun + 1), seen.now);
    REQUIRE(seen.certain());
    seen.blocks.recordSuccesses(successBegun(std::chrono::seconds(4)), seen.now);
    CHECK_FALSE(seen.blocked());
}

// Guards against a crash that counts again because its report, or that of another entry which noticed it later, comes after the success.
TEST_CASE("Reports of a crash that come after a later success count as little as the first one")
{
    request_blocks blocks { block_settings {} };
    time_point now { std::chrono::hours(1) };
    addCrash(blocks, crashAt("e1", "a"), now);
    now += std::chrono::milliseconds(300);
    blocks.recordSuccesses(successBegun(milliseconds(290)), now);
    CHECK(addCrash(blocks, crashAt("e1", "b"), now) == 0);
    auto old = crashAt("e2", "c");
    old.set_age_ms(400);
    CHECK(addCrash(blocks, old, now) == 0);
}

// Guards against a success that outlives the crashes it is compared with, and against asking for requests whose crashes expired.
TEST_CASE("Successes and suspicions expire with the crashes")
{
    request_blocks blocks { block_settings {} };
    time_point now { std::chrono::hours(1) };
    blocks.recordSuccesses(successBegun(milliseconds(0)), now);
    addCrash(blocks, crashAt("e1", "a"), now + std::chrono::seconds(1));
    now += std::chrono::seconds(62);
    blocks.updateFromDirectory(endpoint_directory(1, {}), {}, now);
    CHECK_FALSE(isSuspected(blocks));
    CHECK(addCrash(blocks, crashAt("e2", "b"), now) == 1);
    CHECK(addCrash(blocks, crashAt("e3", "c"), now) == 2);
}
