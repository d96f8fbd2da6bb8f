#include "http/http_server.h"
#include "Support/fleet.h"
#include "Support/golden.h"

#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
namespace asio = boost::asio;

/// Sends raw bytes and reads until the other side closes or the answers wanted have come.
std::string exchangeRaw(const std::string& address, const std::string& bytes, int answers)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(parseAddress(address));
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string received;
    std::vector<char> block(65536);
    auto count = [&] {
        int found = 0;
        for (auto at = received.find("HTTP/1.1 "); at != std::string::npos; at = received.find("HTTP/1.1 ", at + 1))
            ++found;
        return found;
    };
    while (!error && (count() < answers || received.find("\r\n\r\n") == std::string::npos || received.back() != '}')) {
        auto size = socket.read_some(asio::buffer(block), error);
        received.append(block.data(), size);
    }
    return received;
}
}

// A caller's whole session, right and wrong: each refusal has its status, its reason and a true run state, and the
// process stays up.
TEST_CASE("A caller's session reads as expected")
{
    fleet where({});
    where.start();
    std::string session;
    auto key = where.key("alpha");
    auto send = [&](const std::string& title, const std::string& request, int answers = 1) {
        session += "# " + title + "\n" + exchangeRaw(where.callerAddress(1), request, answers) + "\n\n";
    };
    auto post = [&](const std::string& path, const std::string& body, const std::string& extra = "Content-Type: application/json\r\n") {
        return fmt::format("POST {} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n{}Content-Length: {}\r\n\r\n{}", path, key, extra, body.size(), body);
    };
    auto get = [&](const std::string& path) { return fmt::format("GET {} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\r\n", path, key); };
    send("models", get("/v1/models"));
    send("a whole completion", post("/v1/completions", R"({"model":"advisor-llm","prompt":"hello","max_tokens":4})"));
    send("a whole chat", post("/v1/chat/completions", R"({"model":"advisor-llm","messages":[{"role":"user","content":"hello"}],"max_tokens":3})"));
    send("no key", "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n");
    send("unknown key", "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer pl-none\r\n\r\n");
    send("unknown path", get("/v2/models"));
    send("not JSON", post("/v1/completions", "{\"model\":"));
    send("no prompt", post("/v1/completions", R"({"model":"advisor-llm"})"));
    send("wrong type", post("/v1/completions", R"({"model":"advisor-llm","prompt":"x","max_tokens":"many"})"));
    send("empty messages", post("/v1/chat/completions", R"({"model":"advisor-llm","messages":[]})"));
    send("unknown model", post("/v1/completions", R"({"model":"no-such","prompt":"x"})"));
    send("wrong content type", post("/v1/completions", "{}", "Content-Type: text/plain\r\n"));
    send("more than the burst", post("/v1/completions", R"({"model":"advisor-llm","prompt":"x","max_tokens":1000000})"));
    send("body too large", fmt::format("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\nContent-Type: application/json\r\nContent-Length: 5000000\r\n\r\n", key));
    send("header too large", "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(20000, 'a') + "\r\n\r\n");
    send("not HTTP", "hello there\r\n\r\n");
    send("booking without a key", post("/services/orderdesk/reserve", "{}"));
    send("booking", post("/services/orderdesk/reserve", R"({"item":1})", "Idempotency-Key: k1\r\n"));
    send("booking again", post("/services/orderdesk/reserve", R"({"item":1})", "Idempotency-Key: k1\r\n"));
    send("same key, other booking", post("/services/orderdesk/reserve", R"({"item":2})", "Idempotency-Key: k1\r\n"));
    send("stock", get("/services/orderdesk/stock?item=1"));
    send("unknown service", get("/services/nothing/stock"));
    send("two requests in one packet", get("/v1/models") + get("/v1/nothing"), 2);
    session = normalise(session, { { "\r", "" }, { "vm1\\.[0-9a-f]{24}", "REQUEST-ID" }, { "\"created\":[0-9]+", "\"created\":TIME" } });
    CHECK(compareWithExpected("Callers/expected/caller_session.txt", session) == "");
    CHECK(where.complete(1, "still here", 3).status == 200);
}

// A prompt of tens of thousands of tokens is some hundred kilobytes of JSON; it passes whole.
TEST_CASE("A large prompt passes")
{
    fleet where({});
    where.start();
    std::string prompt;
    while (prompt.size() < 200000)
        prompt += "clause \\\"4.2\\\" of the tender; ";
    auto answer = where.complete(1, prompt, 20);
    CHECK(answer.status == 200);
    CHECK(answer.body.find("\"completion_tokens\":20") != std::string::npos);
}

// A caller sends half a request and stops, another opens connections and says nothing. Neither may keep others out.
TEST_CASE("Callers that stop in the middle leave the entry unharmed")
{
    fleet where({});
    where.start();
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < 50; ++i) {
        sockets.emplace_back(context);
        sockets.back().connect(parseAddress(where.callerAddress(1)));
        if (i % 2 == 0)
            asio::write(sockets.back(), asio::buffer(std::string("POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{\"mod")));
    }
    CHECK(where.complete(1, "others go on", 3).status == 200);
    sockets.clear();
    CHECK(where.complete(1, "and on", 3).status == 200);
}
