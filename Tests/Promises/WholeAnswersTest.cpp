#include "load/expected_output.h"
#include "Support/fleet.h"

#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
const std::string prompt = "Summarise the safety data sheet of degreaser K-7";

std::string findActiveDecodeEndpoint(fleet& testFleet)
{
    return testFleet.stat("decode-1", "batch") > 0 ? "decode-1" : "decode-2";
}

/// Requests several completions with distinct prompts and checks that each response is complete and matches its prompt.
void checkCompleteResponses(fleet& testFleet, const std::string& label, int count, std::uint32_t maxTokens)
{
    for (int i = 0; i < count; ++i) {
        auto unique = prompt + label + std::to_string(i);
        auto response = testFleet.complete(1, unique, maxTokens);
        CHECK(response.status == 200);
        CHECK(response.body.find(expectedText(unique, maxTokens)) != std::string::npos);
    }
}
}

// Guards against missing or repeated tokens when a decode endpoint crashes mid-stream. Another engine resumes after
// the last token index that the entry received.
TEST_CASE("A stream survives the crash of its decode endpoint", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    streaming_caller caller(testFleet, 1, prompt, 60);
    REQUIRE(caller.readUntil(expectedToken(prompt, 5)));
    testFleet.setFaults(findActiveDecodeEndpoint(testFleet), R"({"crash":true})");
    caller.readAll();
    CHECK(caller.isComplete());
    CHECK(caller.text() == expectedText(prompt, 60));
    CHECK(testFleet.metric(testFleet.entryAdminAddress(1), "pistachiolatch_retries_total{reason=\"decode_lost\"}") == "1");
}

// Guards against passing on tokens that an engine sends twice, as after a reconnect.
TEST_CASE("Duplicate tokens reach the caller once", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    for (const char* endpoint : { "decode-1", "decode-2" })
        testFleet.setFaults(endpoint, R"({"duplicate_tokens":true})");
    auto response = testFleet.complete(2, prompt, 40);
    CHECK(response.status == 200);
    CHECK(response.body.find(expectedText(prompt, 40)) != std::string::npos);
}

// Guards against a gap in the response when an engine loses a token. The token never arrives, so another engine resumes
// at the missing index.
TEST_CASE("A lost token is recovered from another engine", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    testFleet.setFaults("decode-1", R"({"lose_token":true})");
    checkCompleteResponses(testFleet, " hole ", 6, 30);
    CHECK(testFleet.metric(testFleet.entryAdminAddress(1), "pistachiolatch_events_total{event=\"token_gap\"}") != "");
}

// Guards against disclosing another caller's response when an engine mixes up two streams. The entry detects the
// wrong tag, drops the stream and retries on another engine.
TEST_CASE("Tokens of another request never reach the caller", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    testFleet.setFaults("decode-1", R"({"cross_answers":true})");
    checkCompleteResponses(testFleet, "", 6, 30);
    CHECK(testFleet.metric(testFleet.entryAdminAddress(1), "pistachiolatch_retries_total{reason=\"answer_crossed\"}") != "");
}

// Guards against a truncated response that looks complete when no engine is left mid-stream. The caller gets an error
// event and no end marker.
TEST_CASE("A response that can't be completed never looks complete", "[promise]")
{
    fleet_options options;
    options.decode = 1;
    fleet testFleet(options);
    testFleet.start();
    testFleet.setFaults("decode-1", R"({"break_after_tokens":5})");
    streaming_caller caller(testFleet, 1, prompt, 60);
    caller.readAll();
    CHECK(!caller.isComplete());
    CHECK(caller.received().find("\"run\":\"may_have_run\"") != std::string::npos);
    CHECK(caller.received().find("\r\n0\r\n\r\n") == std::string::npos);
}

// Guards against a request that hangs, or a KV cache that stays allocated at either endpoint, when the link to a decode
// endpoint stalls during a transfer.
TEST_CASE("A stalled transfer is cancelled, freed at both endpoints and retried on another", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    testFleet.setFaults("decode-1", R"({"stall_transfers":true})");
    checkCompleteResponses(testFleet, " stall ", 4, 20);
    CHECK(testFleet.metric(testFleet.entryAdminAddress(1), "pistachiolatch_retries_total{reason=\"transfer_stalled\"}") != "");
    CHECK(eventually([&] { return testFleet.statSum("held") == 0; }));
}
