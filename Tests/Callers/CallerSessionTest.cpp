#include "http/http_server.h"
#include "Support/fleet.h"
#include "Support/golden.h"

#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
namespace asio = boost::asio;

/// Sends raw bytes and reads until the connection closes or the expected number of responses has arrived.
std::string exchangeBytes(const std::string& address, const std::string& bytes, int responses)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(parseAddress(address));
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string received;
    std::vector<char> block(65536);
    auto countResponses = [&] {
        int found = 0;
        for (auto at = received.find("HTTP/1.1 "); at != std::string::npos; at = received.find("HTTP/1.1 ", at + 1))
            ++found;
        return found;
    };
    while (!error && (countResponses() < responses || received.find("\r\n\r\n") == std::string::npos || received.back() != '}')) {
        auto size = socket.read_some(asio::buffer(block), error);
        received.append(block.data(), size);
    }
    return received;
}
}

// A session of valid and invalid requests: each refusal has the right status, reason and run state, and the process
// stays up.
TEST_CASE("A caller's session gets the expected responses")
{
    fleet cluster({});
    cluster.start();
    std::string session;
    auto key = cluster.key("alpha");
    auto send = [&](const std::string& title, const std::string& request, int responses = 1) {
        session += "# " + title + "\n" + exchangeBytes(cluster.callerAddress(1), request, responses) + "\n\n";
    };
    auto post = [&](const std::string& path, const std::string& body, const std::string& extra = "Content-Type: application/json\r\n") {
        return fmt::format("POST {} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n{}Content-Length: {}\r\n\r\n{}", path, key, extra, body.size(), body);
    };
    auto get = [&](const std::string& path) { return fmt::format("GET {} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\r\n", path, key); };
    send("models", get("/v1/models"));
    send("completion", post("/v1/completions", R"({"model":"advisor-llm","prompt":"hello","max_tokens":4})"));
    send("chat completion", post("/v1/chat/completions", R"({"model":"advisor-llm","messages":[{"role":"user","content":"hello"}],"max_tokens":3})"));
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
    send("repeated booking", post("/services/orderdesk/reserve", R"({"item":1})", "Idempotency-Key: k1\r\n"));
    send("same key, different booking", post("/services/orderdesk/reserve", R"({"item":2})", "Idempotency-Key: k1\r\n"));
    send("stock", get("/services/orderdesk/stock?item=1"));
    send("unknown service", get("/services/nothing/stock"));
    send("two requests in one packet", get("/v1/models") + get("/v1/nothing"), 2);
    session = normalise(session, { { "\r", "" }, { "vm1\\.[0-9a-f]{24}", "REQUEST-ID" }, { "\"created\":[0-9]+", "\"created\":TIME" } });
    CHECK(compareWithExpected("Callers/expected/caller_session.txt", session) == "");
    CHECK(cluster.complete(1, "still here", 3).status == 200);
}

// A prompt of tens of thousands of tokens makes a body of about 200 kB; it must be accepted in full.
TEST_CASE("A large prompt is accepted")
{
    fleet cluster({});
    cluster.start();
    std::string prompt;
    while (prompt.size() < 200000)
        prompt += "clause \\\"4.2\\\" of the tender; ";
    auto response = cluster.complete(1, prompt, 20);
    CHECK(response.status == 200);
    CHECK(response.body.find("\"completion_tokens\":20") != std::string::npos);
}

// Some callers send half a request and stop, others open connections and send nothing. Neither may block other callers.
TEST_CASE("Callers that send incomplete requests don't block others")
{
    fleet cluster({});
    cluster.start();
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < 50; ++i) {
        sockets.emplace_back(context);
        sockets.back().connect(parseAddress(cluster.callerAddress(1)));
        if (i % 2 == 0)
            asio::write(sockets.back(), asio::buffer(std::string("POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{\"mod")));
    }
    CHECK(cluster.complete(1, "others go on", 3).status == 200);
    sockets.clear();
    CHECK(cluster.complete(1, "and on", 3).status == 200);
}
