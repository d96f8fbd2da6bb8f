#include "membership/membership.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
wire::endpoint_report makeReport()
{
    wire::endpoint_report report;
    report.set_id("i-1");
    report.set_service("app");
    report.set_address("127.0.0.1:8080");
    report.set_data_centre("a");
    report.set_software_version("v1");
    return report;
}
}

// Guards against reports of other writers, passed on by a process of an earlier version, that break what they are stored in.
TEST_CASE("Reports with text that others can't use are invalid")
{
    CHECK(checkReport(makeReport()));
    auto report = makeReport();
    SECTION("an id that isn't UTF-8")
    {
        report.set_id("i-\xff\xfe\x80");
        REQUIRE_FALSE(checkReport(report));
        CHECK(checkReport(report).error().message == "id \"i-\\xff\\xfe\\x80\" is invalid in the report of an endpoint");
    }
    SECTION("an id that ends a header")
    {
        report.set_id("i-1\r\nX: y");
    }
    SECTION("an id with a space that a header loses")
    {
        report.set_id("i-1 ");
    }
    SECTION("no id")
    {
        report.set_id("");
    }
    SECTION("a service that isn't UTF-8")
    {
        report.set_service("\xff");
    }
    SECTION("a data centre that isn't UTF-8")
    {
        report.set_data_centre("\xff");
    }
    SECTION("a software version that isn't UTF-8")
    {
        report.set_software_version("\xff");
    }
    SECTION("a name that makes messages too large")
    {
        report.set_service(std::string(maxReportTextBytes + 1, 'x'));
    }
    SECTION("an address that can't be connected to")
    {
        report.set_address("127.0.0.1");
    }
    CHECK_FALSE(checkReport(report));
}

// Guards against addresses that become headers of requests to endpoints, that hide whose they are, or that end who connects to them.
TEST_CASE("Reports with an address other than four numbers and a port from 1 to 65535 are invalid")
{
    using namespace std::string_literals;
    auto report = makeReport();
    auto address = GENERATE("127.0.0.1\0\r\nX: y:8080"s, "127.0.0.1\0:8080"s, "127.0.0.1:0"s, "127.0.0.1:08080"s, "127.0.0.1:65536"s, "127.0.0.1:73616"s,
        "127.0.0.1:99999999999999999999"s, "127.0.0.1:"s, "127.0.0.1:-1"s, "127.0.0.1:+80"s, "127.0.0.1: 80"s, "127.0.0.1:80\0"s, "127.0.0.1:80 "s, " 127.0.0.1:80"s,
        "127.0.0.01:80"s, "127.1:80"s, "0x7f000001:80"s, "256.0.0.1:80"s, ":80"s, "[::1]:80"s, "1.2.3.4:5:80"s);
    report.set_address(address);
    INFO(toPlainText(address));
    REQUIRE_FALSE(checkReport(report));
    CHECK(isPlainText(checkReport(report).error().message));
    report.set_address("127.0.0.1:65535");
    CHECK(checkReport(report));
    report.set_address("127.0.0.1:1");
    CHECK(checkReport(report));
}

TEST_CASE("Reports with any other text are valid")
{
    auto report = makeReport();
    SECTION("letters of any script")
    {
        report.set_id("dzintars-\xc5\xab");
    }
    SECTION("a space within the id")
    {
        report.set_id("i 1");
    }
    SECTION("no software version, as earlier versions report")
    {
        report.set_software_version("");
    }
    SECTION("the longest name")
    {
        report.set_service(std::string(maxReportTextBytes, 'x'));
    }
    SECTION("an endpoint that is gone, of which only the id is known")
    {
        report = {};
        report.set_id("i-1");
        report.set_state(wire::ENDPOINT_GONE);
    }
    CHECK(checkReport(report));
}
