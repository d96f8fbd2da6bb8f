// Guards against streams that go on at another software version because the knowledge of where they began is wrong or stale.
#include "coordination/coordination.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
const time_point start { std::chrono::hours(1) };

wire::stream_origin makeOrigin(std::uint64_t stream, const std::string& version, std::uint32_t placement = 1, milliseconds lifetime = std::chrono::seconds(20))
{
    wire::stream_origin origin;
    origin.set_stream(stream);
    origin.set_service("llm");
    origin.set_software_version(version);
    origin.set_placement(placement);
    origin.set_lifetime_ms(static_cast<std::uint32_t>(lifetime.count()));
    return origin;
}

std::string versionOf(const stream_origin_table& table, std::uint64_t stream, time_point now)
{
    auto origin = table.find(stream, now);
    return origin ? origin->software_version() : "";
}

wire::stream_origin_reply knows(const std::string& version, std::uint32_t placement = 1)
{
    wire::stream_origin_reply reply;
    *reply.mutable_origin() = makeOrigin(7, version, placement);
    return reply;
}

wire::stream_origin_reply observed(const std::string& soleVersion)
{
    wire::stream_origin_reply reply;
    reply.set_observed(true);
    reply.set_sole_service(soleVersion.empty() ? "" : "llm");
    reply.set_sole_version(soleVersion);
    return reply;
}

wire::endpoint_report makeReport(const std::string& service, const std::string& version)
{
    wire::endpoint_report report;
    report.set_id("e1");
    report.set_service(service);
    report.set_software_version(version);
    return report;
}

std::set<std::string> services(const std::set<std::string>& names)
{
    return names;
}

/// Runs the history's timer until a time.
void tick(software_version_history& history, time_point from, time_point until)
{
    for (auto now = from; now <= until; now += milliseconds(500))
        history.onTick(now);
}
}

TEST_CASE("The last placement of a stream is its origin, also when an earlier one arrives later")
{
    stream_origin_table table(10);
    CHECK(table.record(makeOrigin(7, "v1", 1), start));
    CHECK(table.record(makeOrigin(7, "v2", 2), start));
    CHECK_FALSE(table.record(makeOrigin(7, "v1", 1), start));
    CHECK(versionOf(table, 7, start) == "v2");
    CHECK(versionOf(table, 8, start).empty());
}

TEST_CASE("A stream that is continued is remembered for longer")
{
    stream_origin_table table(10);
    table.record(makeOrigin(7, "v1"), start);
    auto later = start + std::chrono::seconds(15);
    CHECK(table.record(makeOrigin(7, "v1", 0), later));
    CHECK_FALSE(table.record(makeOrigin(7, "v1", 0), later));
    CHECK(versionOf(table, 7, start + std::chrono::seconds(30)) == "v1");
    CHECK(versionOf(table, 7, start + std::chrono::seconds(36)).empty());
}

TEST_CASE("The number of remembered streams is bounded, and those that expire first are dropped")
{
    stream_origin_table table(100);
    table.record(makeOrigin(1000, "v1", 1, std::chrono::seconds(60)), start);
    for (std::uint64_t stream = 1; stream <= 500; ++stream)
        table.record(makeOrigin(stream, "v" + std::to_string(stream)), start + milliseconds(stream));
    CHECK(table.size() == 100);
    CHECK(versionOf(table, 1000, start + std::chrono::seconds(1)) == "v1");
    CHECK(versionOf(table, 1, start + std::chrono::seconds(1)).empty());
    CHECK(versionOf(table, 500, start + std::chrono::seconds(1)) == "v500");
    table.expire(start + std::chrono::seconds(61));
    CHECK(table.size() == 0);
}

TEST_CASE("An origin takes few bytes, since the leader passes one on for each stream")
{
    CHECK(makeOrigin(streamKey("org-1", "9c41d07be2a35f68"), "v1.2").ByteSizeLong() <= 32);
}

TEST_CASE("Streams of different organisations never share a key")
{
    CHECK(streamKey("org-1", "one") == streamKey("org-1", "one"));
    CHECK(streamKey("org-1", "one") != streamKey("org-2", "one"));
    CHECK(streamKey("org-1", "one") != streamKey("org-1", "two"));
    CHECK(streamKey("", "") != 0);
}

// Guards against a leader that keeps a placement whose reply the entry never got: the entry chose the version of its own earlier
// placement again, and the leader believes the one between.
TEST_CASE("An entry tells each placement that no leader made, also at the version of its last one")
{
    boost::asio::io_context context;
    manual_clock_source clock;
    metrics counters;
    peer_network network(context, clock, counters);
    stream_origin_client client(network, clock, [] { return known_controls {}; });
    client.recordPlacement(makeOrigin(7, "v1", 1), true);
    google::protobuf::RepeatedPtrField<wire::stream_origin> told;
    client.fillUnreported(told);
    CHECK(told.empty());
    client.recordPlacement(makeOrigin(7, "v1", 3), false);
    client.fillUnreported(told);
    REQUIRE(told.size() == 1);
    CHECK(told[0].placement() == 3);
    CHECK(told[0].software_version() == "v1");
}

TEST_CASE("A record of any control process decides where a stream began")
{
    origin_poll poll(5);
    poll.addReply(nullptr, true);
    wire::stream_origin_reply unknown;
    poll.addReply(&unknown, false);
    poll.addReply(&unknown, false);
    auto known = knows("v1");
    poll.addReply(&known, false);
    CHECK_FALSE(poll.isDecided());
    poll.addReply(&unknown, false);
    CHECK(poll.isDecided());
    CHECK(poll.result().knowledge == origin_knowledge::Known);
    CHECK(poll.result().origin.softwareVersion == "v1");
    CHECK_FALSE(poll.result().inferred);
}

TEST_CASE("A control process that missed the last placement is outvoted by one that knows it")
{
    origin_poll poll(3);
    auto stale = knows("v1", 1);
    auto current = knows("v2", 2);
    poll.addReply(&stale, false);
    CHECK_FALSE(poll.isDecided());
    poll.addReply(&current, false);
    poll.addReply(nullptr, false);
    CHECK(poll.result().origin.softwareVersion == "v2");
}

TEST_CASE("The leader's record with the answers of a majority, or the record of a majority, needs no further answers")
{
    auto known = knows("v1");
    wire::stream_origin_reply unknown;
    origin_poll byLeader(5);
    byLeader.addReply(&known, true);
    byLeader.addReply(&unknown, false);
    CHECK_FALSE(byLeader.isDecided());
    byLeader.addReply(&unknown, false);
    CHECK(byLeader.isDecided());
    origin_poll byMajority(5);
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(byMajority.isDecided());
        byMajority.addReply(&known, false);
    }
    CHECK(byMajority.isDecided());
}

TEST_CASE("Without a record only a majority that has seen one version for long enough tells the version")
{
    auto one = observed("v1");
    auto other = observed("v2");
    auto several = observed("");
    wire::stream_origin_reply restarted;
    auto resultOf = [](const std::vector<const wire::stream_origin_reply*>& replies) {
        origin_poll poll(3);
        for (const auto* reply : replies)
            poll.addReply(reply, false);
        return poll.result();
    };
    CHECK(resultOf({ &one, &one, nullptr }).knowledge == origin_knowledge::Known);
    CHECK(resultOf({ &one, &one, nullptr }).inferred);
    CHECK(resultOf({ &one, nullptr, nullptr }).knowledge == origin_knowledge::Unanswered);
    CHECK(resultOf({ &one, &restarted, &restarted }).knowledge == origin_knowledge::Unknown);
    CHECK(resultOf({ &one, &one, &other }).knowledge == origin_knowledge::Unknown);
    CHECK(resultOf({ &one, &one, &several }).knowledge == origin_knowledge::Unknown);
    CHECK(resultOf({ nullptr, nullptr, nullptr }).knowledge == origin_knowledge::Unanswered);
    CHECK(origin_poll(0).result().knowledge == origin_knowledge::Unanswered);
    CHECK(origin_poll(0).isDecided());
}

// Guards against an inference from processes that missed a version, although one that restarted lately, and has heard of it, answers too.
TEST_CASE("A control process that doesn't know every version contradicts an inference by those that it knows")
{
    auto one = observed("v1");
    auto other = observed("v2");
    other.set_observed(false);
    wire::stream_origin_reply several;
    several.set_several(true);
    auto same = observed("v1");
    same.set_observed(false);
    auto resultOf = [](const std::vector<const wire::stream_origin_reply*>& replies) {
        origin_poll poll(3);
        for (const auto* reply : replies)
            poll.addReply(reply, false);
        return poll.result();
    };
    CHECK(resultOf({ &one, &one, &other }).knowledge == origin_knowledge::Unknown);
    CHECK(resultOf({ &other, &one, &one }).knowledge == origin_knowledge::Unknown);
    CHECK(resultOf({ &one, &one, &several }).knowledge == origin_knowledge::Unknown);
    CHECK(resultOf({ &one, &same, &one }).knowledge == origin_knowledge::Known);
    CHECK(resultOf({ &one, &same, &same }).knowledge == origin_knowledge::Unknown);
}

TEST_CASE("A version that a service had lately counts although its endpoints are gone or have another one now")
{
    constexpr std::chrono::seconds maxAge { 14 };
    software_version_history history(start);
    history.onReport(makeReport("llm", "v1"), start);
    auto early = start + std::chrono::seconds(13);
    tick(history, start, early);
    CHECK_FALSE(history.covers(maxAge, early));
    auto now = start + std::chrono::seconds(20);
    tick(history, early, now);
    history.onReport(makeReport("llm", "v1"), now);
    CHECK(history.covers(maxAge, now));
    CHECK(history.soleOrigin(services({ "llm" }), maxAge, now)->softwareVersion == "v1");
    CHECK_FALSE(history.knowsSeveral(services({ "llm" }), maxAge, now));
    history.onReport(makeReport("llm", "v2"), now);
    CHECK_FALSE(history.soleOrigin(services({ "llm" }), maxAge, now));
    CHECK(history.knowsSeveral(services({ "llm" }), maxAge, now));
    // An endpoint of v1 that control doesn't hear may serve until it counts as gone.
    history.onReport(makeReport("llm", "v2"), now + std::chrono::seconds(40));
    CHECK_FALSE(history.soleOrigin(services({ "llm" }), maxAge, now + std::chrono::seconds(40)));
    history.onReport(makeReport("llm", "v2"), now + std::chrono::seconds(60));
    CHECK(history.soleOrigin(services({ "llm" }), maxAge, now + std::chrono::seconds(60))->softwareVersion == "v2");
    history.onReport(makeReport("other", "v2"), now + std::chrono::seconds(60));
    CHECK_FALSE(history.soleOrigin(services({ "llm", "other" }), maxAge, now + std::chrono::seconds(60)));
}

TEST_CASE("A control process that was suspended doesn't claim to know every version")
{
    constexpr std::chrono::seconds maxAge { 14 };
    software_version_history history(start);
    auto suspendedAt = start + std::chrono::seconds(20);
    tick(history, start, suspendedAt);
    CHECK(history.covers(maxAge, suspendedAt));
    auto resumedAt = suspendedAt + std::chrono::seconds(3);
    CHECK_FALSE(history.covers(maxAge, resumedAt));
    history.onTick(resumedAt);
    CHECK_FALSE(history.covers(maxAge, resumedAt));
    auto later = resumedAt + std::chrono::seconds(15);
    tick(history, resumedAt, later);
    CHECK(history.covers(maxAge, later));
}

TEST_CASE("An endpoint whose version is unknown tells nothing")
{
    software_version_history history(start);
    history.onReport(makeReport("llm", ""), start);
    CHECK_FALSE(history.soleOrigin(services({ "llm" }), std::chrono::seconds(1), start));
    CHECK_FALSE(history.soleOrigin(services({ "none" }), std::chrono::seconds(1), start));
}

// Guards against a leader that didn't get an entry's own placement and is believed before those that did have answered.
TEST_CASE("A leader that missed the last placement doesn't decide where a stream began")
{
    auto stale = knows("v1", 1);
    auto current = knows("v2", 2);
    origin_poll poll(3);
    poll.addReply(&stale, true);
    CHECK_FALSE(poll.isDecided());
    poll.addReply(&current, false);
    CHECK(poll.result().origin.softwareVersion == "v2");
}

namespace {
configuration withRoute(const std::string& prefix, const std::string& service)
{
    route_config route;
    route.host = "h.example";
    route.pathPrefix = prefix;
    route.kind = call_kind::Stream;
    route.resumable = true;
    route.services = { { service, 1 }, { "unused", 0 } };
    configuration current;
    current.routes = { route };
    return current;
}
}

// Guards against control processes that take the services of an entry's outdated configuration for all that may have begun a stream.
TEST_CASE("The services of a route are known for as long as streams that began there may last")
{
    constexpr std::chrono::seconds maxAge { 6 };
    const std::string key = "h.example/report/";
    using names = std::set<std::string>;
    route_service_history history;
    CHECK(history.servicesOf(key, maxAge, start).empty());
    history.setConfiguration(withRoute("/report/", "old"), start);
    CHECK(history.servicesOf(key, maxAge, start + std::chrono::hours(1)) == names { "old" });
    auto replacedAt = start + std::chrono::hours(2);
    history.setConfiguration(withRoute("/report/", "new"), replacedAt);
    CHECK(history.servicesOf(key, maxAge, replacedAt + std::chrono::seconds(10)) == names { "old", "new" });
    CHECK(history.servicesOf(key, maxAge, replacedAt + std::chrono::seconds(20)) == names { "new" });
    // The request may have matched a route with a longer or shorter prefix.
    history.setConfiguration(withRoute("/report/daily/", "daily"), replacedAt + std::chrono::seconds(20));
    CHECK(history.servicesOf(key, maxAge, replacedAt + std::chrono::seconds(20)) == names { "new", "daily" });
    CHECK(history.servicesOf("h.example/report/daily/", maxAge, replacedAt + std::chrono::seconds(20)) == names { "new", "daily" });
    CHECK(history.servicesOf("h.example/other/", maxAge, replacedAt + std::chrono::seconds(20)).empty());
    CHECK(history.servicesOf("", maxAge, replacedAt + std::chrono::seconds(20)).empty());
}
