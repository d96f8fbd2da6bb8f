// Guards against responses whose heads no conforming server sends and that reach callers as answers.
#include "Platform/scripted_fleet.h"
#include <mutex>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
const std::string body = "id: 0\ndata: piece 0\n\n";
const std::vector<std::string> paths { "/read/x", "/book/x", "/once/x", "/report/x" };

/// Endpoints of both services that send the same bytes to each request, with its id in place of "{}".
class raw_fleet {
public:
    raw_fleet()
    {
        auto respond = [this](const http_exchange::request& request) {
            std::lock_guard lock(m_mutex);
            scripted_response response;
            response.raw = fmt::format(fmt::runtime(m_bytes), std::string(request[platform_names::requestId]));
            return response;
        };
        m_fleet.addEndpoint("app", "", respond);
        m_fleet.addEndpoint("llm", "decode", respond);
    }

    simple_response send(const std::string& path, const std::string& bytes)
    {
        {
            std::lock_guard lock(m_mutex);
            m_bytes = bytes;
        }
        return m_fleet.send(path, fmt::format("call-{}", ++m_calls));
    }

private:
    scripted_fleet m_fleet;
    std::mutex m_mutex;
    std::string m_bytes;
    int m_calls = 0;
};

std::string makeResponse(const std::string& statusLine, const std::string& firstField, const std::string& lastField)
{
    return fmt::format("{}\r\n{}{}: {{}}\r\n{}: seal\r\nContent-Length: {}\r\n{}\r\n{}", statusLine, firstField, platform_names::requestId, platform_names::responseSeal, body.size(), lastField, body);
}

bool isWhole(const simple_response& answer)
{
    return answer.status == 200 && !answer.broken && answer.body == body;
}
}

TEST_CASE("A response with a status that doesn't exist isn't passed on", "[promise]")
{
    raw_fleet fleet;
    REQUIRE(isWhole(fleet.send("/book/x", makeResponse("HTTP/1.1 200 OK", "", ""))));
    for (const std::string status : { "000", "001", "099", "101", "199", "600", "999", "20", "2000", "+20", "2x0", "" }) {
        for (const auto& path : paths) {
            auto answer = fleet.send(path, makeResponse("HTTP/1.1 " + status + " Odd", "", ""));
            INFO(path << " with status '" << status << "': " << answer.status << " " << answer.body);
            CHECK(answer.status == 502);
        }
    }
}

TEST_CASE("A response whose version isn't that of the protocol isn't passed on", "[promise]")
{
    raw_fleet fleet;
    for (const std::string version : { "HTTP/2.0", "HTTP/9.1", "HTTP/0.9", "HTTP/11", "http/1.1", "HTTQ/1.1", "" }) {
        auto answer = fleet.send("/book/x", makeResponse(version + " 200 OK", "", ""));
        INFO(version << ": " << answer.status << " " << answer.body);
        CHECK(answer.status == 502);
    }
}

TEST_CASE("A response with a line that is no field isn't passed on", "[promise]")
{
    const std::vector<std::string> lines { "X Field: 1", "X\tField: 1", "X\x01Field: 1", "X\x7f: 1", std::string("X\0Y: 1", 6), "X-Field : 1", "Content-Length : 3", "Transfer-Encoding : chunked",
        "Transfer-Encoding\x0b: chunked", "no colon", ": 1", "X\x80: 1", "X-\xe9: 1", std::string("X: a\0b", 7), "X: a\rb", "X: a\x01"
                                                                                                                            "b",
        "(X): 1", "X@Y: 1", "Content-Length: 3", "Content-Length: +21", "Transfer-Encoding: chunked" };
    raw_fleet fleet;
    for (const auto& line : lines) {
        for (bool first : { true, false }) {
            for (const std::string path : { "/book/x", "/once/x" }) {
                auto answer = fleet.send(path, makeResponse("HTTP/1.1 200 OK", first ? line + "\r\n" : "", first ? "" : line + "\r\n"));
                INFO(path << " with '" << line << "': " << answer.status << " " << answer.body);
                CHECK(answer.status == 502);
            }
        }
    }
}

TEST_CASE("A response whose head is cut off is no answer, wherever it is cut", "[promise]")
{
    raw_fleet fleet;
    auto whole = makeResponse("HTTP/1.1 200 OK", "", "");
    auto headBytes = whole.find("\r\n\r\n") + 4;
    auto idAt = whole.find("{}");
    for (std::size_t count = 1; count < headBytes; count += count < 16 ? 1 : 5) {
        // A cut inside the placeholder would be no format.
        if (count == idAt + 1)
            continue;
        for (const std::string path : { "/book/x", "/once/x" }) {
            auto answer = fleet.send(path, whole.substr(0, count));
            INFO(path << " cut after " << count << " bytes: " << answer.status << " " << answer.body);
            CHECK(answer.status == 502);
        }
    }
}
