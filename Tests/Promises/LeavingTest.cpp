#include "load/expected_output.h"
#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

// Guards against placing new work on a leaving endpoint, and against interrupting the work that it runs.
TEST_CASE("A leaving endpoint gets no new work and completes its running work", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    std::string prompt = "a long calibration report";
    streaming_caller caller(testFleet, 1, prompt, 100);
    REQUIRE(caller.readUntil(expectedToken(prompt, 1)));
    std::string leaving = testFleet.stat("decode-1", "batch") > 0 ? "decode-1" : "decode-2";
    testFleet.setFaults(leaving, R"({"leaving":true})");
    REQUIRE(eventually([&] { return testFleet.command({ "status" }).out.find("policy=reserve endpoints=3 ") != std::string::npos; }));
    caller.readAll();
    CHECK(caller.isComplete());
    CHECK(caller.text() == expectedText(prompt, 100));
    for (int i = 0; i < 6; ++i) {
        CHECK(testFleet.complete(i % 3 + 1, "prompt " + std::to_string(i), 5).status == 200);
        CHECK(testFleet.stat(leaving, "batch") == 0);
    }
}

// Guards against keeping an endpoint in the pool whose process hangs and sends no announcements.
TEST_CASE("A hung endpoint is removed from the pool and returns when it responds again", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    testFleet.setFaults("prefill-1", R"({"ignore_calls":true})");
    REQUIRE(eventually([&] { return testFleet.command({ "status" }).out.find("policy=reserve endpoints=3 ") != std::string::npos; }));
    for (int i = 0; i < 4; ++i)
        CHECK(testFleet.complete(i % 3 + 1, "prompt " + std::to_string(i), 5).status == 200);
    testFleet.setFaults("prefill-1", "{}");
    CHECK(eventually([&] { return testFleet.command({ "status" }).out.find("policy=reserve endpoints=4 ") != std::string::npos; }));
}

// Guards against interrupting streams and bookings when an entry gets SIGTERM. They complete, other entries take new
// work, and the process exits with code 0.
TEST_CASE("A graceful shutdown of an entry completes all running requests", "[promise]")
{
    fleet_options options;
    options.endpointLines = "service_ms = 500\n";
    fleet testFleet(options);
    testFleet.start();
    std::string prompt = "stream through the shutdown";
    streaming_caller caller(testFleet, 1, prompt, 100);
    REQUIRE(caller.readUntil(expectedToken(prompt, 1)));
    auto booking = std::async(std::launch::async, [&testFleet] { return testFleet.book(1, "hire-1", "{}"); });
    REQUIRE(eventually([&] { return testFleet.stat("orderdesk-1", "service_runs") == 1; }));
    testFleet.entry(1).signal(SIGTERM);
    caller.readAll();
    CHECK(caller.isComplete());
    CHECK(caller.text() == expectedText(prompt, 100));
    CHECK(booking.get().status == 200);
    CHECK(testFleet.entry(1).wait() == 0);
    auto response = testFleet.book(2, "hire-1", "{}");
    CHECK(response.status == 200);
    CHECK(testFleet.stat("orderdesk-1", "service_runs") == 1);
}

// Guards against losing requests when a scheduler gets SIGTERM and the next owner is killed. Streams continue because
// the entries relay them, and queued requests are resubmitted to the new owner.
TEST_CASE("Requests survive the termination of the scheduler that placed them", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    int owner = testFleet.owner("model:advisor-llm");
    REQUIRE(owner > 0);
    std::string prompt = "placed by a scheduler that stops";
    streaming_caller caller(testFleet, 1, prompt, 100);
    REQUIRE(caller.readUntil(expectedToken(prompt, 1)));
    testFleet.scheduler(owner).signal(SIGTERM);
    CHECK(testFleet.scheduler(owner).wait() == 0);
    CHECK(testFleet.complete(2, "after the stop", 5).status == 200);
    testFleet.startScheduler(owner);
    REQUIRE(eventually([&] { return testFleet.isReady(testFleet.schedulerAdminAddress(owner)); }));
    testFleet.scheduler(testFleet.owner("model:advisor-llm")).kill();
    auto afterKill = testFleet.complete(3, "after the kill", 5);
    INFO(afterKill.body);
    CHECK(afterKill.status == 200);
    caller.readAll();
    CHECK(caller.text() == expectedText(prompt, 100));
}
