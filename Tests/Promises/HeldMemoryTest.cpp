#include "load/expected_output.h"
#include "Support/fleet.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
const std::string prompt = "Draft the calibration report for rover 12";
const std::string longPrompt(60000, 'x');
}

// The caller closes its connection in the middle of the stream. The engine would go on decoding for nobody; the
// entry cancels at both endpoints until they confirm, also when the first cancels get lost.
TEST_CASE("A caller that leaves mid-stream frees the engines", "[promise]")
{
    fleet where({});
    where.start();
    bool cancelsGetLost = GENERATE(false, true);
    for (const char* endpoint : { "decode-1", "decode-2" })
        where.setFaults(endpoint, cancelsGetLost ? R"({"lose_cancels":3})" : "{}");
    streaming_caller caller(where, 1, prompt, 100);
    REQUIRE(caller.readUntil(expectedToken(prompt, 3)));
    CHECK(where.statSum("held") > 0);
    caller.disconnect();
    CHECK(eventually([&] { return where.statSum("held") == 0; }));
    CHECK(where.metric(where.entryAdminAddress(1), "pistachiolatch_refusals_total{reason=\"caller_gone\"}") == "1");
    // Leaving is no fault of the engine: it is neither retried nor taken for a crash that keeps work away from it.
    CHECK(where.metric(where.entryAdminAddress(1), "pistachiolatch_retries_total{reason=\"decode_lost\"}") == "");
    CHECK(where.command({ "status" }).out.find("policy=reserve endpoints=4 ") != std::string::npos);
    // And its place is free again: the pool's books are back to zero.
    CHECK(eventually([&] { return where.command({ "status" }).out.find("policy=reserve endpoints=4 in_flight=0 ") != std::string::npos; }));
}

// The caller leaves while its long prompt is being computed: the connection is quiet, only its closing tells.
TEST_CASE("A caller that leaves during the prefill frees the engine", "[promise]")
{
    fleet_options shape;
    shape.endpointLines = "prefill_tokens_per_s = 10000\n";
    fleet where(shape);
    where.start();
    streaming_caller caller(where, 1, longPrompt, 100);
    REQUIRE(eventually([&] { return where.command({ "status" }).out.find(" in_flight=1 ") != std::string::npos; }));
    caller.disconnect();
    CHECK(eventually([&] { return where.command({ "status" }).out.find("policy=reserve endpoints=4 in_flight=0 ") != std::string::npos; }));
    CHECK(eventually([&] { return where.statSum("held") == 0 && where.statSum("prefills") >= 1; }));
    CHECK(where.statSum("batch") == 0);
}

// An entry is killed while its caller's answer streams: nobody is left to cancel. The pool's owner finds tags of an
// entry that is gone and frees them, whether the VM stays down or comes back as a new incarnation.
TEST_CASE("What a killed entry held is freed by the custodian", "[promise]")
{
    fleet where({});
    where.start();
    bool comesBack = GENERATE(true, false);
    streaming_caller caller(where, 2, prompt, 127);
    REQUIRE(caller.readUntil(expectedToken(prompt, 2)));
    REQUIRE(where.statSum("held") == 1);
    where.entry(2).kill();
    if (comesBack)
        where.startEntry(2);
    CHECK(eventually([&] { return where.statSum("held") == 0; }));
    CHECK(eventually([&] { return where.command({ "status" }).out.find("policy=reserve endpoints=4 in_flight=0 ") != std::string::npos; }));
}
