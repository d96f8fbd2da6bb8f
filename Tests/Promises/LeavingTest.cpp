#include "load/expected_output.h"
#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

// An endpoint announces that it leaves. After a few seconds no entry gives it new work, and what it runs ends.
TEST_CASE("A leaving endpoint gets no new work and loses none", "[promise]")
{
    fleet where({});
    where.start();
    std::string prompt = "a long calibration report";
    streaming_caller caller(where, 1, prompt, 100);
    REQUIRE(caller.readUntil(expectedToken(prompt, 1)));
    std::string leaving = where.stat("decode-1", "batch") > 0 ? "decode-1" : "decode-2";
    where.setFaults(leaving, R"({"leaving":true})");
    REQUIRE(eventually([&] { return where.command({ "status" }).out.find("policy=reserve endpoints=3 ") != std::string::npos; }));
    caller.readAll();
    CHECK(caller.isComplete());
    CHECK(caller.text() == expectedText(prompt, 100));
    for (int i = 0; i < 6; ++i) {
        CHECK(where.complete(i % 3 + 1, "prompt " + std::to_string(i), 5).status == 200);
        CHECK(where.stat(leaving, "batch") == 0);
    }
}

// An endpoint falls silent without a word: its process hangs. It must drop out of the pool everywhere.
TEST_CASE("A silent endpoint drops out and comes back by itself", "[promise]")
{
    fleet where({});
    where.start();
    where.setFaults("prefill-1", R"({"ignore_calls":true})");
    REQUIRE(eventually([&] { return where.command({ "status" }).out.find("policy=reserve endpoints=3 ") != std::string::npos; }));
    for (int i = 0; i < 4; ++i)
        CHECK(where.complete(i % 3 + 1, "prompt " + std::to_string(i), 5).status == 200);
    where.setFaults("prefill-1", "{}");
    CHECK(eventually([&] { return where.command({ "status" }).out.find("policy=reserve endpoints=4 ") != std::string::npos; }));
}

// An entry gets SIGTERM while answers stream and a booking runs. Every one of them must come to its whole end, new
// work goes elsewhere, and the process exits by itself with code 0.
TEST_CASE("A graceful shutdown of an entry cuts nothing", "[promise]")
{
    fleet_options shape;
    shape.endpointLines = "service_ms = 500\n";
    fleet where(shape);
    where.start();
    std::string prompt = "stream through the shutdown";
    streaming_caller caller(where, 1, prompt, 100);
    REQUIRE(caller.readUntil(expectedToken(prompt, 1)));
    auto booking = std::async(std::launch::async, [&where] { return where.book(1, "hire-1", "{}"); });
    REQUIRE(eventually([&] { return where.stat("orderdesk-1", "service_runs") == 1; }));
    where.entry(1).signal(SIGTERM);
    caller.readAll();
    CHECK(caller.isComplete());
    CHECK(caller.text() == expectedText(prompt, 100));
    CHECK(booking.get().status == 200);
    CHECK(where.entry(1).wait() == 0);
    auto answer = where.book(2, "hire-1", "{}");
    CHECK(answer.status == 200);
    CHECK(where.stat("orderdesk-1", "service_runs") == 1);
}

// A scheduler gets SIGTERM, then the next owner is killed. Streams go on, since entries carry them; what waits is
// asked for again at the new owner.
TEST_CASE("Requests survive the end of the scheduler that placed them", "[promise]")
{
    fleet where({});
    where.start();
    int owner = where.owner("model:advisor-llm");
    REQUIRE(owner > 0);
    std::string prompt = "placed by a scheduler that stops";
    streaming_caller caller(where, 1, prompt, 100);
    REQUIRE(caller.readUntil(expectedToken(prompt, 1)));
    where.scheduler(owner).signal(SIGTERM);
    CHECK(where.scheduler(owner).wait() == 0);
    CHECK(where.complete(2, "after the stop", 5).status == 200);
    where.startScheduler(owner);
    REQUIRE(eventually([&] { return where.isReady(where.schedulerAdminAddress(owner)); }));
    where.scheduler(where.owner("model:advisor-llm")).kill();
    CHECK(where.complete(3, "after the kill", 5).status == 200);
    caller.readAll();
    CHECK(caller.text() == expectedText(prompt, 100));
}
