#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

// Guards against concurrent model loads in a pool, which would compete for the weight store, and against repeating
// completed orders after a change of owner. An operator changes the model version and role of several endpoints.
TEST_CASE("Endpoints are brought to their recorded roles with one model load at a time", "[promise]")
{
    bool fencing = GENERATE(true, false);
    fleet_options options;
    options.prefill = 3;
    options.endpointLines = fencing ? "" : "fencing = false\n";
    fleet testFleet(options);
    testFleet.start();
    std::string records;
    for (int n = 1; n <= 3; ++n)
        records += fmt::format("[[endpoint_role]]\nname = \"prefill-{}\"\nrole = \"{}\"\nmodel = \"advisor-llm\"\nmodel_version = \"v2\"\n", n, n == 3 ? "decode" : "prefill");
    CHECK(testFleet.command({ "apply", testFleet.file("roles.toml", records) }).code == 0);
    testFleet.scheduler(testFleet.owner("model:advisor-llm")).kill();
    CHECK(eventually([&] {
        return testFleet.stat("prefill-1", "orders") == 1 && testFleet.stat("prefill-2", "orders") == 1 && testFleet.stat("prefill-3", "orders") == 1;
    }));
    CHECK(eventually([&] { return testFleet.command({ "events" }).out.find("orders endpoint prefill-3 to be decode of advisor-llm v2") != std::string::npos; }));
    CHECK(testFleet.stat("prefill-1", "loads_peak") == 1);
    // An endpoint in its recorded role gets no further order.
    CHECK(testFleet.complete(1, "hello", 5).status == 200);
    CHECK(testFleet.statSum("orders") == 3);
}

// Guards against executing an order of an older revision, delayed at a suspended sender, after a newer one.
TEST_CASE("Endpoints that check fencing tokens refuse an order with an old one", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    auto sendOrder = [&](int fencingToken, const char* version) {
        return testFleet.call(testFleet.ip(91) + ":9000", "POST", "/orders", {}, fmt::format(R"({{"fence":{},"role":"prefill","model":"advisor-llm","version":"{}"}})", fencingToken, version)).status;
    };
    CHECK(sendOrder(20, "v3") == 200);
    CHECK(sendOrder(19, "v2") == 409);
}
