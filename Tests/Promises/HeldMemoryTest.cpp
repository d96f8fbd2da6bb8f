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

// Guards against engines that keep decoding after the caller closed its connection mid-stream. The entry sends
// cancels to both endpoints until they confirm, also when the first cancels are lost.
TEST_CASE("A caller that disconnects mid-stream frees the engines", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    bool loseCancels = GENERATE(false, true);
    for (const char* endpoint : { "decode-1", "decode-2" })
        testFleet.setFaults(endpoint, loseCancels ? R"({"lose_cancels":3})" : "{}");
    streaming_caller caller(testFleet, 1, prompt, 100);
    REQUIRE(caller.readUntil(expectedToken(prompt, 3)));
    CHECK(testFleet.statSum("held") > 0);
    caller.disconnect();
    CHECK(eventually([&] { return testFleet.statSum("held") == 0; }));
    CHECK(testFleet.metric(testFleet.entryAdminAddress(1), "pistachiolatch_refusals_total{reason=\"caller_gone\"}") == "1");
    // A disconnect is no engine failure: the request is not retried, and no endpoint is removed from the pool as crashed.
    CHECK(testFleet.metric(testFleet.entryAdminAddress(1), "pistachiolatch_retries_total{reason=\"decode_lost\"}") == "");
    CHECK(testFleet.command({ "status" }).out.find("policy=reserve endpoints=4 ") != std::string::npos);
    // The pool's reservation is released as well.
    CHECK(eventually([&] { return testFleet.command({ "status" }).out.find("policy=reserve endpoints=4 in_flight=0 ") != std::string::npos; }));
}

// Guards against missing a disconnect during the prefill, when no data is sent and only the close signals it.
TEST_CASE("A caller that disconnects during the prefill frees the engine", "[promise]")
{
    fleet_options options;
    options.endpointLines = "prefill_tokens_per_s = 10000\n";
    fleet testFleet(options);
    testFleet.start();
    streaming_caller caller(testFleet, 1, longPrompt, 100);
    REQUIRE(eventually([&] { return testFleet.command({ "status" }).out.find(" in_flight=1 ") != std::string::npos; }));
    caller.disconnect();
    CHECK(eventually([&] { return testFleet.command({ "status" }).out.find("policy=reserve endpoints=4 in_flight=0 ") != std::string::npos; }));
    CHECK(eventually([&] { return testFleet.statSum("held") == 0 && testFleet.statSum("prefills") >= 1; }));
    CHECK(testFleet.statSum("batch") == 0);
}

// Guards against leaking engine memory when an entry is killed mid-stream and can't cancel. The scheduler that owns
// the pool cancels the requests of terminated entries, whether the entry stays down or restarts as a new incarnation.
TEST_CASE("The orphan collector frees the engine memory of a killed entry", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    bool restartEntry = GENERATE(true, false);
    streaming_caller caller(testFleet, 2, prompt, 127);
    REQUIRE(caller.readUntil(expectedToken(prompt, 2)));
    REQUIRE(testFleet.statSum("held") == 1);
    testFleet.entry(2).kill();
    if (restartEntry)
        testFleet.startEntry(2);
    CHECK(eventually([&] { return testFleet.statSum("held") == 0; }));
    CHECK(eventually([&] { return testFleet.command({ "status" }).out.find("policy=reserve endpoints=4 in_flight=0 ") != std::string::npos; }));
}
