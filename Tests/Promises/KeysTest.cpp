#include "Support/fleet.h"

#include <boost/beast.hpp>
#include <catch2/catch.hpp>
#include <csignal>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
namespace asio = boost::asio;
namespace http = boost::beast::http;

/// A caller that keeps one connection open for many requests.
class kept_connection {
public:
    kept_connection(const fleet& where, int entry, std::string key)
        : m_socket(m_context)
        , m_key(std::move(key))
    {
        auto address = where.callerAddress(entry);
        auto colon = address.find(':');
        m_socket.connect({ asio::ip::make_address_v4(address.substr(0, colon)), 8080 });
    }
    unsigned ask()
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

std::string fieldOf(const std::string& text, const std::string& name)
{
    auto begin = text.find(name + "=") + name.size() + 1;
    return text.substr(begin, text.find('\n', begin) - begin);
}
}

// An operator withdraws a key whose callers stay connected. From the moment the command returns, no entry may accept
// it, also on connections opened before.
TEST_CASE("A withdrawn key stops on open connections everywhere", "[promise]")
{
    fleet where({});
    where.start();
    auto issued = where.command({ "key", "issue", "alpha" }).out;
    std::vector<std::unique_ptr<kept_connection>> callers;
    for (int n = 1; n <= 3; ++n) {
        callers.push_back(std::make_unique<kept_connection>(where, n, fieldOf(issued, "key")));
        CHECK(callers.back()->ask() == 200);
    }
    auto withdrawn = where.command({ "key", "withdraw", fieldOf(issued, "id") });
    CHECK(withdrawn.out.find("in force everywhere") != std::string::npos);
    for (auto& caller : callers)
        CHECK(caller->ask() == 401);
}

// An entry is cut off from control without a sign, and a key is withdrawn meanwhile. The entry can't learn of it;
// its lease ends, and from then on it refuses all new work, and the withdrawal counts as in force only after that.
TEST_CASE("A withdrawn key stops at an entry that is cut off", "[promise]")
{
    fleet_options shape;
    shape.proxied = true;
    fleet where(shape);
    where.start();
    auto issued = where.command({ "key", "issue", "alpha" }).out;
    kept_connection caller(where, 3, fieldOf(issued, "key"));
    CHECK(caller.ask() == 200);
    // VM 3 holds a control replica too; the quorum of three holds without it.
    where.proxy().isolate(where.ip(3), true);
    auto withdrawn = where.command({ "key", "withdraw", fieldOf(issued, "id") });
    INFO(withdrawn.out << withdrawn.err);
    CHECK(withdrawn.out.find("in force everywhere") != std::string::npos);
    CHECK(caller.ask() == 503);
    where.proxy().isolate(where.ip(3), false);
    CHECK(eventually([&] { return where.isReady(where.entryAdminAddress(3)); }));
    CHECK(caller.ask() == 401);
}

// No endpoint may learn a caller's key, whatever headers the caller sends along.
TEST_CASE("No endpoint sees a key", "[promise]")
{
    fleet where({});
    where.start();
    CHECK(where.complete(1, "hello", 5).status == 200);
    CHECK(where.book(1, "b1", "{}").status == 200);
    http_headers headers { { "Authorization", "Bearer " + where.key("alpha") }, { "X-Api-Key", where.key("alpha") }, { "Cookie", where.key("alpha") } };
    CHECK(where.call(where.callerAddress(2), "GET", "/services/orderdesk/stock", headers, "").status == 200);
    CHECK(where.stat("prefill-1", "key_seen") == 0);
}

// A request runs for the organisation of its key and for no other.
TEST_CASE("An organisation gets only its own models and services", "[promise]")
{
    fleet where({});
    where.start();
    auto records = where.file("narrow.toml", "[[organisation]]\nname = \"beta\"\nversion = 1\nmodels = []\nservices = []\n");
    CHECK(where.command({ "apply", records }).code == 0);
    auto refused = where.complete(1, "hello", 5, "beta");
    CHECK(refused.status == 403);
    CHECK(refused.body.find("\"run\":\"not_run\"") != std::string::npos);
    CHECK(where.book(2, "b1", "{}", "beta").status == 403);
    CHECK(where.book(2, "b1", "{}", "alpha").status == 200);
    CHECK(where.stat("orderdesk-1", "service_runs") == 1);
}
