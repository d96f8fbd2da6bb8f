#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

// An operator moves endpoints to a new model version and role. Each endpoint that is not yet what its record says is
// ordered, one at a time for a pool, so that loads don't all draw on the weight store; a change of owner in between
// repeats nothing that is done.
TEST_CASE("Endpoints become what their records say, one load at a time", "[promise]")
{
    bool fencing = GENERATE(true, false);
    fleet_options shape;
    shape.prefill = 3;
    shape.endpointLines = fencing ? "" : "fencing = false\n";
    fleet where(shape);
    where.start();
    std::string text;
    for (int n = 1; n <= 3; ++n)
        text += fmt::format("[[endpoint_role]]\nname = \"prefill-{}\"\nrole = \"{}\"\nmodel = \"advisor-llm\"\nmodel_version = \"v2\"\n", n, n == 3 ? "decode" : "prefill");
    CHECK(where.command({ "apply", where.file("roles.toml", text) }).code == 0);
    where.scheduler(where.owner("model:advisor-llm")).kill();
    CHECK(eventually([&] {
        return where.stat("prefill-1", "orders") == 1 && where.stat("prefill-2", "orders") == 1 && where.stat("prefill-3", "orders") == 1;
    }));
    CHECK(eventually([&] { return where.command({ "events" }).out.find("orders endpoint prefill-3 to be decode of advisor-llm v2") != std::string::npos; }));
    CHECK(where.stat("prefill-1", "loads_peak") == 1);
    // Nothing is ordered twice once it is as wanted.
    CHECK(where.complete(1, "hello", 5).status == 200);
    CHECK(where.statSum("orders") == 3);
}

// An order of an older revision comes after a newer one: its sender was frozen. An endpoint that checks refuses it.
TEST_CASE("An order with an old fence is refused by endpoints that check", "[promise]")
{
    fleet where({});
    where.start();
    auto order = [&](int fence, const char* version) {
        return where.call(where.ip(91) + ":9000", "POST", "/orders", {}, fmt::format(R"({{"fence":{},"role":"prefill","model":"advisor-llm","version":"{}"}})", fence, version)).status;
    };
    CHECK(order(20, "v3") == 200);
    CHECK(order(19, "v2") == 409);
}
