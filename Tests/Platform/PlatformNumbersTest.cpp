#include "membership/membership.h"
#include "platform_call_codec.h"
#include "platform_documents.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <regex>

using namespace pistachiolatch;

namespace {
constexpr std::uint64_t firstInexact = 9007199254740992;
constexpr std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();

constexpr const char* document = R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","routeType":"safe","timeoutMs":1000,"targetLatencyMs":100,"trafficSplit":[{"service":"s","weight":1}]}],)"
                                 R"("services":[{"name":"s","engine":{"slots":8,"handleTtlS":0.5}}],"tenants":[{"name":"t","apiKeys":["k"],"ratePerS":10,"burst":20}]})";

std::string replace(const std::string& text, const std::string& field, const std::string& value)
{
    return std::regex_replace(text, std::regex("\"" + field + "\":[0-9.]+"), "\"" + field + "\":" + value);
}

std::string reportWith(const std::string& field, const std::string& value)
{
    return replace(R"({"service":"s","address":"127.0.0.1:9","zone":"a","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1,"born":5})", field, value);
}

caller_request makeRequest(const char* header, const std::string& value)
{
    caller_request request;
    request.set(header, value);
    return request;
}
}

// Guards against a change that is acknowledged and dropped because its version and the one before are read as the same.
TEST_CASE("Versions, sequences and start times are read exactly")
{
    for (auto number : { firstInexact, firstInexact + 1, largest - 1, largest }) {
        auto text = std::to_string(number);
        REQUIRE(decodeSubmission(replace(document, "version", text)));
        CHECK(decodeSubmission(replace(document, "version", text)).value().version == number);
        CHECK(decodeConfiguration(replace(document, "version", text)).value().version == number);
        CHECK(decodeReport("i", reportWith("sequence", text)).value().sequence() == number);
        CHECK(decodeReport("i", reportWith("born", text)).value().born_ms() == number);
        CHECK(decodeDeregistration("i", fmt::format(R"({{"born":{}}})", number)).value().born_ms() == number);
    }
    CHECK(decodeSubmission(replace(document, "version", "8.0")).value().version == 8);
}

// Guards against numbers that are taken for others: no exact version can be made of these.
TEST_CASE("Numbers that aren't exact are refused with the field and the value")
{
    for (const auto* number : { "18446744073709551616", "9007199254740993.0", "1e300", "-1", "7.5", "\"7\"" }) {
        auto decoded = decodeSubmission(replace(document, "version", number));
        INFO(number);
        REQUIRE_FALSE(decoded);
        CHECK(decoded.error().message.starts_with("version: must be an integer from 0 to 18446744073709551615, "));
        CHECK_FALSE(decodeReport("i", reportWith("sequence", number)));
        CHECK_FALSE(decodeReport("i", reportWith("born", number)));
        CHECK_FALSE(decodeReport("i", reportWith("slots", number)));
    }
    auto weight = decodeSubmission(replace(document, "weight", "-3"));
    REQUIRE_FALSE(weight);
    CHECK(weight.error().message == "routes[0].trafficSplit[0].weight: must be an integer from 0 to 18446744073709551615, in digits from 9007199254740992 on, not -3");
    CHECK(decodeSubmission(replace(document, "targetLatencyMs", "-5")).error().message == "routes[0].targetLatencyMs: must be a number that is not negative, not -5");
}

// Guards against entries that refuse all requests after an upgrade because they can't read the stored configuration.
TEST_CASE("Numbers in a stored configuration that earlier versions accepted are read")
{
    CHECK(decodeConfiguration(replace(document, "targetLatencyMs", "-5")).value().routes[0].latencyTarget == milliseconds(0));
    CHECK(decodeConfiguration(replace(document, "version", "9007199254740994.0")).value().version == firstInexact + 2);
    CHECK(decodeConfiguration(replace(document, "weight", "1e300")).value().routes[0].services[0].weight == largest);
    CHECK(decodeConfiguration(replace(document, "ratePerS", "-1")).value().organisations[0].rate == 0);
}

namespace {
std::string nested(int levels)
{
    return std::string(static_cast<std::size_t>(levels), '[') + std::string(static_cast<std::size_t>(levels), ']');
}

std::string withField(const std::string& object, const std::string& name, const std::string& value)
{
    return fmt::format("{},\"{}\":{}}}", object.substr(0, object.size() - 1), name, value);
}
}

// Guards against processes that end over a deeply nested document of another writer.
TEST_CASE("Documents that are nested too deeply are refused")
{
    auto levels = GENERATE(33, 1000, 100000);
    auto value = nested(levels);
    CHECK_FALSE(decodeReport("i", value));
    CHECK_FALSE(decodeReport("i", withField(reportWith("slots", "4"), "other", value)));
    CHECK_FALSE(decodeReport("i", withField(reportWith("slots", "4"), "slots", value)));
    CHECK_FALSE(decodeReport("i", std::string(static_cast<std::size_t>(levels), '{')));
    CHECK_FALSE(decodeDeregistration("i", value));
    CHECK_FALSE(decodeSubmission(withField(document, "other", value)));
    CHECK_FALSE(decodeConfiguration(withField(document, "other", value)));
    CHECK_FALSE(platform_call_codec::parsePrefillHandle(withField(R"({"kvHandle":"h"})", "tokens", value)));
    CHECK_FALSE(platform_call_codec::parseStatusIncarnation(withField(R"({"born":5})", "other", value)));
}

// Guards against processes that end over a number that no type holds, in fields that are read and in others.
TEST_CASE("Numbers of any size are read or refused")
{
    auto number = GENERATE(std::string("1e400"), std::string("-1e400"), std::string("-0"), std::string("-0.0"), std::string("1e99999999999999999999"), std::string("1e-99999999999"),
        std::string(20, '9'), std::string(400, '9'), "-" + std::string(400, '9'), "0." + std::string(400, '9'));
    INFO(number);
    for (const auto* field : { "sequence", "born", "slots", "coldRemainingMs", "other" }) {
        auto body = field == std::string("other") ? withField(reportWith("slots", "4"), field, number) : reportWith(field, number);
        auto report = decodeReport("i", body);
        if (!report)
            CHECK((report.error().message.starts_with(std::string(field) + ": ") || report.error().message.starts_with("the body is not valid JSON: ")));
        else
            CHECK(checkReport(report.value()));
    }
    auto cold = decodeReport("i", reportWith("coldRemainingMs", number));
    CHECK((!cold || cold.value().cold_ms() <= milliseconds(std::chrono::hours(24 * 7)).count()));
    for (const auto* field : { "sequence", "born", "slots" }) {
        auto report = decodeReport("i", reportWith(field, number));
        CHECK((!report || (report.value().sequence() <= 1 && report.value().born_ms() <= 5 && report.value().slots() <= 4)));
    }
    (void)decodeSubmission(replace(document, "version", number));
    (void)decodeConfiguration(replace(document, "ratePerS", number));
    (void)platform_call_codec::parseStatusIncarnation(fmt::format(R"({{"born":{}}})", number));
    (void)platform_call_codec::parsePrefillHandle(fmt::format(R"({{"kvHandle":"h","tokens":{}}})", number));
}

// Guards against an address in a report that becomes headers of the requests to other endpoints.
TEST_CASE("A report's address with more than an address and a port is refused with its value")
{
    for (const auto* address : { R"(127.0.0.1\u0000\r\nX: y:9)", "127.0.0.1:0", "127.0.0.1:73616", "127.0.0.1:99999999999999999999", "127.0.0.1:09" }) {
        INFO(address);
        auto body = std::regex_replace(reportWith("slots", "4"), std::regex("127.0.0.1:9"), address);
        auto report = decodeReport("i", body);
        CHECK_FALSE(report);
        if (report)
            continue;
        CHECK(report.error().message.starts_with("address: must be an IPv4 address with a port from 1 to 65535, not 127.0.0.1"));
        CHECK(isPlainText(report.error().message));
    }
}

// Guards against valid numbers that become others where they are narrowed: a timeout that is over at once, a weight or a limit of 0.
TEST_CASE("Large numbers keep their meaning")
{
    constexpr auto longest = std::chrono::hours(24 * 7);
    for (const auto* number : { "4294967296", "9223372036854775808", "18446744073709551615" }) {
        INFO(number);
        auto timeout = decodeSubmission(replace(document, "timeoutMs", number)).value();
        CHECK(timeout.routes[0].timeout == longest);
        CHECK(validateConfiguration(timeout));
        auto weight = decodeSubmission(replace(document, "weight", number)).value();
        CHECK(weight.routes[0].services[0].weight == std::stoull(number));
        CHECK(validateConfiguration(weight));
        CHECK(decodeSubmission(replace(document, "targetLatencyMs", number)).value().routes[0].latencyTarget == longest);
        CHECK(decodeSubmission(replace(document, "slots", number)).value().services[0].engine->slots >= 100000);
        CHECK(decodeSubmission(replace(document, "handleTtlS", number)).value().services[0].engine->handleLifetime == longest);
        CHECK(decodeSubmission(replace(document, "ratePerS", number)).value().organisations[0].rate >= 4294967296);
        CHECK(decodeReport("i", reportWith("slots", number)).value().slots() >= 100000);
        CHECK(decodeReport("i", reportWith("coldRemainingMs", number)).value().cold_ms() == milliseconds(longest).count());
    }
    // The sum of these is 0 in 64 bits.
    auto split = std::regex_replace(std::string(document), std::regex(R"(\{"service":"s","weight":1\})"), R"({"service":"s","weight":9223372036854775808},{"service":"s","weight":9223372036854775808})");
    CHECK(validateConfiguration(decodeSubmission(split).value()));
    // A rate of 0 means no limit.
    CHECK(decodeSubmission(replace(document, "ratePerS", "0.5")).value().organisations[0].rate == 1);
}

// Guards against callers that get past the limit of their organisation: the sum of the tokens that they declare must not wrap around.
TEST_CASE("Numbers that callers declare are bounded")
{
    for (const auto* usage : { "18446744073709551615,1", "18446744073709551616,1", "99999999999999999999999,99999999999999999999999" }) {
        auto tokens = platform_call_codec::parseRequest(makeRequest(platform_names::tokenUsage, usage)).tokens;
        INFO(usage);
        REQUIRE(tokens);
        CHECK(tokens->prompt + tokens->output > 1'000'000'000);
    }
    CHECK_FALSE(platform_call_codec::parseRequest(makeRequest(platform_names::tokenUsage, "-1,5")).tokens);
    CHECK(platform_call_codec::parseRequest(makeRequest(platform_names::deadlineMs, "1e300")).deadline == std::chrono::hours(24 * 7));
    CHECK(platform_call_codec::parseRequest(makeRequest(platform_names::deadlineMs, "-1e300")).deadline == milliseconds(0));
    CHECK_FALSE(platform_call_codec::parseRequest(makeRequest(platform_names::deadlineMs, "nan")).deadline);
    CHECK(platform_call_codec::parseRequest(makeRequest(platform_names::lengthHint, "inf")).outputTokensHint < largest);
    auto load = platform_call_codec::parseResponse(makeRequest(platform_names::endpointLoad, "4294967295,4294967295,4294967295,1e300")).load;
    REQUIRE(load);
    CHECK(load->running + load->waiting > load->running);
    CHECK(load->slowdown.value_or(0) < 1e6);
    CHECK(platform_call_codec::parseResponse(makeRequest(platform_names::requestLimit, "1e300")).callLimit.value_or(0) < 1e6);
}

// Guards against values that wrap around, or are undefined, where a message holds fewer bits.
TEST_CASE("Numbers beyond a type become its limits")
{
    CHECK(saturatingCast<std::uint32_t>(std::int64_t(4294967296)) == 4294967295U);
    CHECK(saturatingCast<std::uint32_t>(std::int64_t(-1)) == 0);
    CHECK(saturatingCast<std::int64_t>(1e300) == std::numeric_limits<std::int64_t>::max());
    CHECK(saturatingCast<std::int64_t>(-1e300) == std::numeric_limits<std::int64_t>::min());
    CHECK(saturatingCast<std::uint64_t>(18446744073709551616.0) == largest);
    CHECK(saturatingCast<std::uint64_t>(std::nan("")) == 0);
    CHECK(saturatingCast<unsigned>(7.9) == 7);
}
