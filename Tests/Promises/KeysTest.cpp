#include "Support/fleet.h"

#include <boost/beast.hpp>
#include <catch2/catch.hpp>
#include <csignal>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
namespace asio = boost::asio;
namespace http = boost::beast::http;

/// A connection that is kept open across requests.
class persistent_connection {
public:
    persistent_connection(const fleet& testFleet, int entry, std::string key)
        : m_socket(m_context)
        , m_key(std::move(key))
    {
        auto address = testFleet.callerAddress(entry);
        auto colon = address.find(':');
        m_socket.connect({ asio::ip::make_address_v4(address.substr(0, colon)), 8080 });
    }
    /// Requests the model list and returns the HTTP status.
    unsigned requestModels()
    {
        http::request<http::empty_body> request(http::verb::get, "/v1/models", 11);
        request.set(http::field::authorization, "Bearer " + m_key);
        request.set(http::field::host, "x");
        http::write(m_socket, request);
        http::response<http::string_body> response;
        http::read(m_socket, m_buffer, response);
        return response.result_int();
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::string m_key;
};

std::string extractField(const std::string& text, const std::string& name)
{
    auto begin = text.find(name + "=") + name.size() + 1;
    return text.substr(begin, text.find('\n', begin) - begin);
}
}

// Guards against accepting a withdrawn key on connections opened earlier. No entry may accept it once the command has
// returned.
TEST_CASE("A withdrawn key is rejected on open connections at all entries", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    auto issued = testFleet.command({ "key", "issue", "alpha" }).out;
    std::vector<std::unique_ptr<persistent_connection>> callers;
    for (int n = 1; n <= 3; ++n) {
        callers.push_back(std::make_unique<persistent_connection>(testFleet, n, extractField(issued, "key")));
        CHECK(callers.back()->requestModels() == 200);
    }
    auto withdrawn = testFleet.command({ "key", "withdraw", extractField(issued, "id") });
    CHECK(withdrawn.out.find("in force everywhere") != std::string::npos);
    for (auto& caller : callers)
        CHECK(caller->requestModels() == 401);
}

// Guards against reporting a withdrawal as in force while an isolated entry still accepts the key. The entry refuses
// all new work once its lease has expired, and only then is the withdrawal in force.
TEST_CASE("A withdrawn key is rejected at an isolated entry", "[promise]")
{
    fleet_options options;
    options.proxied = true;
    fleet testFleet(options);
    testFleet.start();
    auto issued = testFleet.command({ "key", "issue", "alpha" }).out;
    persistent_connection caller(testFleet, 3, extractField(issued, "key"));
    CHECK(caller.requestModels() == 200);
    // VM 3 also has a control replica; the other two of three form a quorum.
    testFleet.proxy().isolate(testFleet.ip(3), true);
    auto withdrawn = testFleet.command({ "key", "withdraw", extractField(issued, "id") });
    INFO(withdrawn.out << withdrawn.err);
    CHECK(withdrawn.out.find("in force everywhere") != std::string::npos);
    CHECK(caller.requestModels() == 503);
    testFleet.proxy().isolate(testFleet.ip(3), false);
    CHECK(eventually([&] { return testFleet.isReady(testFleet.entryAdminAddress(3)); }));
    CHECK(caller.requestModels() == 401);
}

// Guards against forwarding a caller's key to an endpoint in any header.
TEST_CASE("No endpoint receives a caller's key", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    CHECK(testFleet.complete(1, "hello", 5).status == 200);
    CHECK(testFleet.book(1, "b1", "{}").status == 200);
    http_headers headers { { "Authorization", "Bearer " + testFleet.key("alpha") }, { "X-Api-Key", testFleet.key("alpha") }, { "Cookie", testFleet.key("alpha") } };
    CHECK(testFleet.call(testFleet.callerAddress(2), "GET", "/services/orderdesk/stock", headers, "").status == 200);
    CHECK(testFleet.stat("prefill-1", "key_seen") == 0);
}

// Guards against access to models and services that the key's organisation doesn't list.
TEST_CASE("An organisation can use only its own models and services", "[promise]")
{
    fleet testFleet({});
    testFleet.start();
    auto records = testFleet.file("narrow.toml", "[[organisation]]\nname = \"beta\"\nversion = 1\nmodels = []\nservices = []\n");
    CHECK(testFleet.command({ "apply", records }).code == 0);
    auto refused = testFleet.complete(1, "hello", 5, "beta");
    CHECK(refused.status == 403);
    CHECK(refused.body.find("\"run\":\"not_run\"") != std::string::npos);
    CHECK(testFleet.book(2, "b1", "{}", "beta").status == 403);
    CHECK(testFleet.book(2, "b1", "{}", "alpha").status == 200);
    CHECK(testFleet.stat("orderdesk-1", "service_runs") == 1);
}
