// Guards against odd values in responses that stop the router or make it ignore or exaggerate what endpoints ask for.
#include "platform_call_codec.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
response_metadata parse(std::initializer_list<std::pair<const char*, const char*>> headers)
{
    header_fields fields;
    for (const auto& [name, value] : headers)
        fields.insert(name, value);
    return platform_call_codec::parseResponse(fields);
}

std::optional<milliseconds> restOf(const char* value)
{
    return parse({ { "Retry-After", value } }).restTime;
}
}

TEST_CASE("The time for which an endpoint wants no requests is read from all spellings", "[promise]")
{
    CHECK_FALSE(parse({}).restTime);
    CHECK(restOf("3") == milliseconds(3000));
    CHECK(restOf("0.25") == milliseconds(250));
    CHECK(restOf("0") == milliseconds(0));
    CHECK(restOf("-5") == milliseconds(0));
    constexpr std::chrono::hours longest { 24 };
    CHECK(restOf("1e300") == milliseconds(longest));
    CHECK(restOf("inf") == milliseconds(longest));
    CHECK(parse({ { "Retry-After", "1" }, { "Retry-After", "4" }, { "Retry-After", "2" } }).restTime == milliseconds(4000));
}

TEST_CASE("An endpoint that states an unreadable time is left alone for a second", "[promise]")
{
    for (const auto* value : { "", "soon", "nan", "3s", "Fri, 04 Dec 2026 10:00:00 GMT", "999999999999999999999999x" }) {
        INFO(value);
        CHECK(restOf(value) == milliseconds(1000));
    }
}

TEST_CASE("Only its documented value says that an endpoint leaves", "[promise]")
{
    CHECK(parse({ { "Server-Leaving", "1" } }).leaves);
    CHECK(parse({ { "server-leaving", "1" } }).leaves);
    CHECK(parse({ { "Server-Leaving", "0" }, { "Server-Leaving", "1" } }).leaves);
    for (const auto* value : { "", "0", "no", "11", "1, 0" }) {
        INFO(value);
        CHECK_FALSE(parse({ { "Server-Leaving", value } }).leaves);
    }
}

namespace {
std::optional<reported_load> loadOf(const char* value)
{
    return parse({ { "Pistachiolatch-Instance-Load", value } }).load;
}
}

// A fourth number once made the whole report vanish.
TEST_CASE("Of a load report, all that can be read is used", "[promise]")
{
    auto plain = loadOf("3,1,8");
    REQUIRE(plain);
    CHECK(plain->running == 3);
    CHECK(plain->waiting == 1);
    CHECK(plain->slots == 8);
    CHECK_FALSE(plain->slowdown);
    for (const auto* value : { "3,1,8,250", " 3 , 1, 8 ,250", "3,1,8,250,7", "3,1,8,250.0,x" }) {
        INFO(value);
        auto load = loadOf(value);
        REQUIRE(load);
        CHECK(load->running == 3);
        CHECK(load->slowdown == Approx(2.5));
    }
    for (const auto* value : { "3,1,8,", "3,1,8,fast", "3,1,8,-4", "3,1,8,0", "3,1,8,nan", "3,1,8,inf" }) {
        INFO(value);
        auto load = loadOf(value);
        REQUIRE(load);
        CHECK(load->slots == 8);
        CHECK_FALSE(load->slowdown);
    }
    for (const auto* value : { "", ",", "3", "3,1", "3,1,x", "-1,0,8", "3,1,99999999999999", "three" }) {
        INFO(value);
        CHECK_FALSE(loadOf(value));
    }
}
