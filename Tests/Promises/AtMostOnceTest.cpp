#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
fleet_options slowServices()
{
    fleet_options shape;
    shape.endpointLines = "service_ms = 400\n";
    return shape;
}
}

// A booking's answer is slow, and the impatient caller sends it again through every entry at once. The service must
// run it once, and each copy gets the same answer.
TEST_CASE("Copies of a booking at all entries at once run once", "[promise]")
{
    fleet where(slowServices());
    where.start();
    std::vector<std::future<simple_response>> copies;
    for (int i = 0; i < 9; ++i)
        copies.push_back(std::async(std::launch::async, [&where, i] { return where.book(i % 3 + 1, "hire-7", R"({"kit":7})"); }));
    for (auto& copy : copies) {
        auto answer = copy.get();
        CHECK(answer.status == 200);
        CHECK(answer.body.find("\"executions\":1") != std::string::npos);
    }
    CHECK(where.stat("orderdesk-1", "service_runs") == 1);
    auto other = where.book(1, "hire-7", R"({"kit":8})");
    CHECK(other.status == 422);
    CHECK(other.body.find("\"run\":\"not_run\"") != std::string::npos);
}

// The entry is killed after it sent the booking and before the answer came. Nobody knows whether it ran. The resend
// at another entry must not send it a second time; it hears that the call may have run.
TEST_CASE("A booking whose entry was killed is not sent again", "[promise]")
{
    fleet where(slowServices());
    where.start();
    auto first = std::async(std::launch::async, [&where] { return where.book(2, "hire-8", "{}"); });
    REQUIRE(eventually([&] { return where.stat("orderdesk-1", "service_runs") == 1; }));
    where.entry(2).kill();
    CHECK(first.get().broken);
    auto resent = where.book(3, "hire-8", "{}");
    CHECK(resent.status == 409);
    CHECK(resent.body.find("\"run\":\"may_have_run\"") != std::string::npos);
    CHECK(where.stat("orderdesk-1", "service_runs") == 1);
}

// The leader of control is killed while bookings run. Intents acknowledged before survive it; the answer is stored by
// the next leader, and resends find it.
TEST_CASE("Bookings run once through a change of leader", "[promise]")
{
    fleet where(slowServices());
    where.start();
    auto running = std::async(std::launch::async, [&where] { return where.book(1, "hire-9", "{}"); });
    REQUIRE(eventually([&] { return where.stat("orderdesk-1", "service_runs") == 1; }));
    auto leader = where.leader();
    REQUIRE(leader > 0);
    where.control(leader).kill();
    CHECK(running.get().status == 200);
    auto resent = where.book(2, "hire-9", "{}");
    CHECK(resent.status == 200);
    CHECK(resent.header("Idempotent-Replay") == "true");
    auto fresh = where.book(3, "hire-10", "{}");
    CHECK(fresh.status == 200);
    CHECK(where.stat("orderdesk-1", "service_runs") == 2);
    CHECK(where.stat("orderdesk-1", "most_executions") == 1);
}

// The service dies after it ran the booking and before it answered. A router that retries books twice.
TEST_CASE("A booking whose service crashed is not repeated, a read is", "[promise]")
{
    fleet where({});
    where.start();
    auto answer = where.book(1, "hire-11", "CRASH-ENDPOINT");
    CHECK(answer.status == 409);
    CHECK(answer.body.find("\"run\":\"may_have_run\"") != std::string::npos);
    auto resent = where.book(2, "hire-11", "CRASH-ENDPOINT");
    CHECK(resent.status == 409);
    CHECK(where.stat("orderdesk-1", "service_runs") == 1);
    // A read may be repeated: while one endpoint restarts, another answers.
    auto read = where.call(where.callerAddress(1), "GET", "/services/orderdesk/stock", { { "Authorization", "Bearer " + where.key("alpha") } }, "");
    CHECK(read.status == 200);
}

// No endpoint of the service is there. "Not run" must be true, and the same key must work once one is back.
TEST_CASE("A booking refused as not run can be sent again", "[promise]")
{
    fleet where({});
    where.start();
    for (const char* endpoint : { "orderdesk-1", "orderdesk-2" })
        where.setFaults(endpoint, R"({"leaving":true})");
    REQUIRE(eventually([&] { return where.command({ "status" }).out.find("shard=service:orderdesk policy=reserve endpoints=0 ") != std::string::npos; }));
    auto refused = where.book(1, "hire-12", "{}");
    CHECK(refused.status == 503);
    CHECK(refused.body.find("\"run\":\"not_run\"") != std::string::npos);
    CHECK(refused.header("Retry-After") != "");
    CHECK(where.stat("orderdesk-1", "service_runs") == 0);
    where.setFaults("orderdesk-1", "{}");
    CHECK(eventually([&] { return where.book(2, "hire-12", "{}").status == 200; }));
    CHECK(where.stat("orderdesk-1", "service_runs") == 1);
}

// A majority of control is gone: intents can't be written. Bookings are refused as not run instead of being sent
// on trust, while reads go on for as long as the entry's lease lasts.
TEST_CASE("Without a quorum no booking is sent", "[promise]")
{
    fleet where({});
    where.start();
    auto leader = where.leader();
    for (int n = 1; n <= 3; ++n) {
        if (n != leader)
            where.control(n).kill();
    }
    auto refused = where.book(1, "hire-13", "{}");
    CHECK(refused.status == 503);
    CHECK(refused.body.find("\"run\":\"not_run\"") != std::string::npos);
    CHECK(where.stat("orderdesk-1", "service_runs") == 0);
}
