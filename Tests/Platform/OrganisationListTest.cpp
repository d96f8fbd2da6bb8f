// Guards against routes that open to everybody once the last organisation is removed from the configuration.
#include "Platform/platform_fleet.h"
#include "platform_documents.h"
#include "platform_names.h"
#include "routing/routing.h"
#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;
namespace json = boost::json;

namespace {
constexpr const char* organisations = "tenants";

/// The example with another list of organisations, or none, and with /book/ as a public route.
std::string makeConfiguration(std::uint64_t version, const std::optional<json::value>& list)
{
    auto document = json::parse(exampleConfiguration(version)).as_object();
    document.erase(organisations);
    if (list)
        document[organisations] = *list;
    document["routes"].as_array()[1].as_object()["public"] = true;
    return json::serialize(document);
}
}

TEST_CASE("Keys are required if the configuration has a list of organisations, also an empty one")
{
    auto requiresKeys = [](const result<configuration>& decoded) { return route_table(decoded.value()).requiresKeys(); };
    for (const auto& list : { json::value(json::array {}), json::value(nullptr), json::parse(R"([{"name":"org-1","apiKeys":[]}])") }) {
        INFO(json::serialize(list));
        CHECK(requiresKeys(decodeSubmission(makeConfiguration(7, list))));
        CHECK(requiresKeys(decodeConfiguration(makeConfiguration(7, list))));
    }
    CHECK_FALSE(requiresKeys(decodeSubmission(makeConfiguration(7, std::nullopt))));
    CHECK_FALSE(requiresKeys(decodeConfiguration(makeConfiguration(7, std::nullopt))));
}

TEST_CASE("No key is valid once the last organisation is removed", "[promise]")
{
    platform_fleet platform;
    platform.start();
    REQUIRE(platform.submitConfiguration(exampleConfiguration(7)) == 200);
    fake_endpoint app("app-1", platform.endpointAddress(1), "app", "");
    REQUIRE(platform.sendReport(app).status == 200);
    endpoint_reporter reporter(platform, { &app });
    auto statusOf = [&](const std::string& method, const std::string& target, const std::string& key) {
        http_headers headers { { "Host", "h.example" } };
        if (!key.empty())
            headers.emplace_back(platform_names::authorization, "Token " + key);
        return platform.call(platform.entryAddress(1), method, target, headers, {}, milliseconds(2000)).status;
    };
    REQUIRE(eventually([&] { return statusOf("GET", "/read/x", "key-1") == 200; }));
    CHECK(statusOf("GET", "/read/x", "") == 401);

    REQUIRE(platform.submitConfiguration(makeConfiguration(8, json::array {})) == 200);
    // An entry may still answer by the configuration before for a moment.
    CHECK(eventually([&] { return statusOf("GET", "/read/x", "key-1") == 401; }));
    CHECK(statusOf("GET", "/read/x", "never-issued") == 401);
    CHECK(statusOf("GET", "/read/x", "") == 401);
    CHECK(statusOf("POST", "/book/x", "") == 200);

    platform.restartEntry(1);
    REQUIRE(eventually([&] { return platform.isEntryReady(1); }));
    CHECK(statusOf("GET", "/read/x", "key-1") == 401);

    REQUIRE(platform.submitConfiguration(makeConfiguration(9, std::nullopt)) == 200);
    CHECK(eventually([&] { return statusOf("GET", "/read/x", "") == 200; }));
}
