#include "load/expected_output.h"
#include "Support/fleet.h"

#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
const std::string prompt = "Summarise the safety data sheet of degreaser K-7";

std::string decodeOf(fleet& where)
{
    return where.stat("decode-1", "batch") > 0 ? "decode-1" : "decode-2";
}

/// Asks for several completions, each with a prompt of its own, and checks that each answer is whole and its prompt's.
void checkWholeAnswers(fleet& where, const std::string& label, int count, std::uint32_t maxTokens)
{
    for (int i = 0; i < count; ++i) {
        auto unique = prompt + label + std::to_string(i);
        auto answer = where.complete(1, unique, maxTokens);
        CHECK(answer.status == 200);
        CHECK(answer.body.find(expectedText(unique, maxTokens)) != std::string::npos);
    }
}
}

// The caller sees one whole answer. Its decode endpoint dies in the middle of the stream; the entry has part of the
// tokens. Another engine resumes behind the last index, so nothing is missing and nothing comes twice.
TEST_CASE("A stream survives the death of its decode endpoint", "[promise]")
{
    fleet where({});
    where.start();
    streaming_caller caller(where, 1, prompt, 60);
    REQUIRE(caller.readUntil(expectedToken(prompt, 5)));
    where.setFaults(decodeOf(where), R"({"crash":true})");
    caller.readAll();
    CHECK(caller.isComplete());
    CHECK(caller.text() == expectedText(prompt, 60));
    CHECK(where.metric(where.entryAdminAddress(1), "pistachiolatch_retries_total{reason=\"decode_lost\"}") == "1");
}

// The engine sends every token twice, as after a reconnect of its own. The caller must see each index once.
TEST_CASE("Duplicate tokens reach the caller once", "[promise]")
{
    fleet where({});
    where.start();
    for (const char* endpoint : { "decode-1", "decode-2" })
        where.setFaults(endpoint, R"({"duplicate_tokens":true})");
    auto answer = where.complete(2, prompt, 40);
    CHECK(answer.status == 200);
    CHECK(answer.body.find(expectedText(prompt, 40)) != std::string::npos);
}

// An engine loses a token of its stream. Waiting can't mend it; the entry must not pass on an answer with a hole, so
// another engine resumes at the missing index.
TEST_CASE("A lost token is made up by another engine", "[promise]")
{
    fleet where({});
    where.start();
    where.setFaults("decode-1", R"({"lose_token":true})");
    checkWholeAnswers(where, " hole ", 6, 30);
    CHECK(where.metric(where.entryAdminAddress(1), "pistachiolatch_events_total{event=\"token_gap\"}") != "");
}

// An engine mixes up two streams and sends another request's tokens. Nobody may read a neighbour's answer: the
// entry finds the foreign tag, drops the stream and asks another engine.
TEST_CASE("A crossed answer never reaches the caller", "[promise]")
{
    fleet where({});
    where.start();
    where.setFaults("decode-1", R"({"cross_answers":true})");
    checkWholeAnswers(where, "", 6, 30);
    CHECK(where.metric(where.entryAdminAddress(1), "pistachiolatch_retries_total{reason=\"answer_crossed\"}") != "");
}

// Every engine that could serve is gone mid-stream. A cut answer must not look whole: the caller gets an error event
// and no end mark.
TEST_CASE("An answer that can't be finished never looks whole", "[promise]")
{
    fleet_options shape;
    shape.decode = 1;
    fleet where(shape);
    where.start();
    where.setFaults("decode-1", R"({"break_after_tokens":5})");
    streaming_caller caller(where, 1, prompt, 60);
    caller.readAll();
    CHECK(!caller.isComplete());
    CHECK(caller.received().find("\"run\":\"may_have_run\"") != std::string::npos);
    CHECK(caller.received().find("\r\n0\r\n\r\n") == std::string::npos);
}

// The link to one decode endpoint stalls in the middle of a transfer. The request must not hang on it, and neither
// end may go on holding its KV cache.
TEST_CASE("A stalled transfer is given up, freed at both ends and made elsewhere", "[promise]")
{
    fleet where({});
    where.start();
    where.setFaults("decode-1", R"({"stall_transfers":true})");
    checkWholeAnswers(where, " stall ", 4, 20);
    CHECK(where.metric(where.entryAdminAddress(1), "pistachiolatch_retries_total{reason=\"transfer_stalled\"}") != "");
    CHECK(eventually([&] { return where.statSum("held") == 0; }));
}
