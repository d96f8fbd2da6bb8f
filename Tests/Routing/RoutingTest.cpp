#include "routing/routing.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
route_config routeAt(const std::string& host, const std::string& prefix, const std::string& service = "app")
{
    route_config route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    route.timeout = milliseconds(1000);
    route.services = { { service, 1 } };
    return route;
}

configuration goodConfiguration()
{
    configuration good;
    good.version = 5;
    good.services = { { "app", 10, std::nullopt }, { "other", 10, std::nullopt } };
    good.routes = { routeAt("a.example", "/x/"), routeAt("a.example", "/x/y/", "other"), routeAt("a.example", "/") };
    good.organisations.resize(2);
    good.organisations[0].name = "first";
    good.organisations[0].keys = { "k1", "k2" };
    good.organisations[1].name = "second";
    good.organisations[1].keys = { "k3" };
    return good;
}

std::string faultOf(const configuration& candidate)
{
    auto checked = validateConfiguration(candidate);
    return checked ? std::string() : checked.error().message;
}
}

TEST_CASE("The longest prefix of the path wins, and only on the same host")
{
    route_table table(goodConfiguration());
    CHECK(table.find("a.example", "/x/y/z?q=/x/")->pathPrefix == "/x/y/");
    CHECK(table.find("a.example:8080", "/x/yz")->pathPrefix == "/x/");
    CHECK(table.find("a.example", "/x")->pathPrefix == "/");
    CHECK(table.find("b.example", "/x/") == nullptr);
    CHECK(table.find("a.example", "") == nullptr);
}

TEST_CASE("A key belongs to one organisation")
{
    route_table table(goodConfiguration());
    CHECK(table.findOrganisation("k2")->name == "first");
    CHECK(table.findOrganisation("k3")->name == "second");
    CHECK(table.findOrganisation("k4") == nullptr);
}

TEST_CASE("Weights share out the calls")
{
    auto route = routeAt("a.example", "/");
    route.services = { { "app", 90 }, { "other", 10 }, { "never", 0 } };
    CHECK(chooseService(route, 0) == "app");
    CHECK(chooseService(route, 0.89) == "app");
    CHECK(chooseService(route, 0.91) == "other");
    CHECK(chooseService(route, 0.9999999999) == "other");
}

// Operators see: a configuration that contradicts itself was acknowledged, and calls go astray.
// Order: it is submitted, accepted and in force before anybody looks. Why: each fault must be refused at the door.
TEST_CASE("Each kind of invalid configuration is refused with the place of the fault")
{
    CHECK(faultOf(goodConfiguration()).empty());
    auto bad = goodConfiguration();
    bad.routes[1].services[0].service = "missing";
    CHECK(faultOf(bad) == "route \"a.example/x/y/\": service \"missing\" is not in the configuration; add it or name another");
    bad = goodConfiguration();
    bad.routes[1].pathPrefix = "/x/";
    CHECK(faultOf(bad) == "routes \"a.example/x/\" and \"a.example/x/y/\" share host \"a.example\" and prefix \"/x/\"; change one");
    bad = goodConfiguration();
    bad.routes[0].services[0].weight = 0;
    CHECK(faultOf(bad) == "route \"a.example/x/\": its weights add up to 0; give at least one service a weight");
    bad = goodConfiguration();
    bad.routes[0].timeout = milliseconds(0);
    CHECK(faultOf(bad) == "route \"a.example/x/\": its timeout is 0; give it a time in milliseconds");
    bad = goodConfiguration();
    bad.organisations[1].keys = { "k2" };
    CHECK(faultOf(bad) == "organisations \"first\" and \"second\" share a key; withdraw it from one");
}
