#include "routing/routing.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
route_config makeRoute(const std::string& host, const std::string& prefix, const std::string& service = "app")
{
    route_config route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    route.timeout = milliseconds(1000);
    route.services = { { service, 1 } };
    return route;
}

configuration validConfiguration()
{
    configuration valid;
    valid.version = 5;
    valid.services = { { "app", 10, 0, std::nullopt }, { "other", 10, 0, std::nullopt } };
    valid.routes = { makeRoute("a.example", "/x/"), makeRoute("a.example", "/x/y/", "other"), makeRoute("a.example", "/") };
    valid.organisations.resize(2);
    valid.organisations[0].name = "first";
    valid.organisations[0].keys = { "k1", "k2" };
    valid.organisations[1].name = "second";
    valid.organisations[1].keys = { "k3" };
    return valid;
}

std::string errorOf(const configuration& candidate)
{
    auto validated = validateConfiguration(candidate);
    return validated ? std::string() : validated.error().message;
}
}

TEST_CASE("The longest prefix of the path wins, and only on the same host")
{
    route_table table(validConfiguration());
    CHECK(table.find("a.example", "/x/y/z?q=/x/")->pathPrefix == "/x/y/");
    CHECK(table.find("a.example:8080", "/x/yz")->pathPrefix == "/x/");
    CHECK(table.find("a.example", "/x")->pathPrefix == "/");
    CHECK(table.find("b.example", "/x/") == nullptr);
    CHECK(table.find("a.example", "") == nullptr);
}

TEST_CASE("A key belongs to one organisation")
{
    route_table table(validConfiguration());
    CHECK(table.findOrganisation("k2")->name == "first");
    CHECK(table.findOrganisation("k3")->name == "second");
    CHECK(table.findOrganisation("k4") == nullptr);
}

TEST_CASE("Calls are distributed by weight")
{
    auto route = makeRoute("a.example", "/");
    route.services = { { "app", 90 }, { "other", 10 }, { "never", 0 } };
    CHECK(chooseService(route, 0) == "app");
    CHECK(chooseService(route, 0.89) == "app");
    CHECK(chooseService(route, 0.91) == "other");
    CHECK(chooseService(route, 0.9999999999) == "other");
}

// An inconsistent configuration that is accepted takes effect at once and misroutes calls, so it must be refused when
// it is submitted.
TEST_CASE("Each kind of invalid configuration is refused with an error that names its location")
{
    CHECK(errorOf(validConfiguration()).empty());
    auto invalid = validConfiguration();
    invalid.routes[1].services[0].service = "missing";
    CHECK(errorOf(invalid) == "route \"a.example/x/y/\": service \"missing\" is not defined; add it to the configuration or use another");
    invalid = validConfiguration();
    invalid.routes[1].pathPrefix = "/x/";
    CHECK(errorOf(invalid) == "routes \"a.example/x/\" and \"a.example/x/y/\" have the same host \"a.example\" and path prefix \"/x/\"; change one of them");
    invalid = validConfiguration();
    invalid.routes[0].services[0].weight = 0;
    CHECK(errorOf(invalid) == "route \"a.example/x/\": service weights add up to 0; at least one must be positive");
    invalid = validConfiguration();
    invalid.routes[0].timeout = milliseconds(0);
    CHECK(errorOf(invalid) == "route \"a.example/x/\": timeout must be positive; set it in milliseconds");
    invalid = validConfiguration();
    invalid.organisations[1].keys = { "k2" };
    CHECK(errorOf(invalid) == "organisations \"first\" and \"second\" share an API key; remove it from one of them");
}
