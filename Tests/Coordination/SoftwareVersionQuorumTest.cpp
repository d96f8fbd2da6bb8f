// Guards against streams that begin at a software version of which only a minority of the control processes has heard.
#include "coordination/coordination.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
wire::endpoint_report makeReport(const std::string& id, const std::string& version)
{
    wire::endpoint_report report;
    report.set_id(id);
    report.set_service("llm");
    report.set_software_version(version);
    report.set_state(wire::ENDPOINT_SERVING);
    return report;
}
}

TEST_CASE("Endpoints of a version are held until a majority of control has heard of it")
{
    software_version_quorum quorum;
    auto first = makeReport("e1", "v2");
    CHECK_FALSE(quorum.isKnown(first));
    quorum.hold(first);
    quorum.hold(makeReport("e2", "v2"));
    quorum.hold(makeReport("e3", "v3"));
    quorum.hold(makeReport("e4", "v2"));
    quorum.drop("e4");
    CHECK(quorum.heldVersions().size() == 2);
    const std::vector<std::string> voters { "a", "b", "c", "d" };
    quorum.recordKnownAt("a", first);
    quorum.recordKnownAt("a", first);
    quorum.recordKnownAt("newcomer", first);
    CHECK(quorum.release(voters, 2).empty());
    CHECK_FALSE(quorum.isKnown(first));
    quorum.recordKnownAt("b", first);
    CHECK(quorum.release(voters, 2).size() == 2);
    CHECK(quorum.isKnown(first));
    CHECK_FALSE(quorum.isKnown(makeReport("e3", "v3")));
    CHECK(quorum.release(voters, 2).empty());
    CHECK(quorum.heldVersions().size() == 1);
}

TEST_CASE("A control process that is alone needs no other to have heard of a version")
{
    software_version_quorum quorum;
    auto report = makeReport("e1", "v1");
    quorum.hold(report);
    CHECK(quorum.release({}, 1).empty());
    CHECK(quorum.release({}, 0).size() == 1);
    CHECK(quorum.isKnown(report));
}

TEST_CASE("The others are asked again about a version that they may not have heard of")
{
    software_version_quorum quorum;
    manual_clock_source clock;
    auto report = makeReport("e1", "v1");
    CHECK(quorum.shouldAsk(report, clock.now()));
    CHECK_FALSE(quorum.shouldAsk(report, clock.now()));
    clock.advance(std::chrono::seconds(1));
    CHECK(quorum.shouldAsk(report, clock.now()));
    quorum.hold(report);
    quorum.recordKnownAt("a", report);
    quorum.release({ "a", "b" }, 1);
    clock.advance(std::chrono::seconds(1));
    CHECK_FALSE(quorum.shouldAsk(report, clock.now()));
}
