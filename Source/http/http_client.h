#pragma once
#include "http/http_exchange.h"
#include "http/response_reader.h"

namespace pistachiolatch {

/// Stage at which an HTTP request failed. Only NotSent guarantees that the server did not process the request.
enum class call_failure {
    None,
    /// No byte of the request was sent.
    NotSent,
    /// The connection closed or failed before the response was complete.
    Broken,
    /// The peer made no progress before the timeout.
    Stalled,
};

struct http_request {
    std::string method = "POST";
    std::string target;
    http_headers headers;
    std::string body;
    /// A response with a longer body is given up.
    std::uint64_t maxResponseBytes = 16ULL * 1024 * 1024;
};

struct http_response {
    call_failure failed = call_failure::None;
    unsigned status = 0;
    std::string contentType;
    http_headers headers;
    std::string body;

    bool succeeded() const { return failed == call_failure::None && status >= 200 && status < 300; }
};

/// HTTP client for a single request over its own connection. Connections are not reused, because a server may close an
/// idle connection just as a request is sent, and NotSent could then not be guaranteed.
/// Not thread-safe.
class http_client {
public:
    explicit http_client(const boost::asio::any_io_executor& executor)
        : m_stream(executor)
    {
    }

    /// Connects and sends the request.
    task_of<call_failure> send(const std::string& address, const http_request& request, milliseconds connectTimeout, milliseconds sendTimeout);
    /// Reads the status line and headers.
    task_of<call_failure> readHead(milliseconds timeout);
    unsigned status() const { return m_reader.head().result_int(); }
    std::string header(std::string_view name) const;
    http_headers headers() const;
    /// Reads the next part of the body; empty at the end. Precondition: readHead() succeeded.
    task_of<call_failure> readPiece(std::string& piece, milliseconds timeout);
    /// How the body ended, as far as it was read. Precondition: readHead() succeeded.
    body_end bodyEnd() const { return m_reader.bodyEnd(); }

    /// Sends a request and reads the whole response. The timeout is for each of the request, the head and the body, so that a server that
    /// never ends its response holds the connection no longer.
    static task_of<http_response> fetch(const std::string& address, const http_request& request, milliseconds connectTimeout, milliseconds timeout);

private:
    /// readPiece() with the timeout that runs already.
    task_of<call_failure> readNextPiece(std::string& piece);

    boost::beast::tcp_stream m_stream;
    response_reader m_reader;
};

} // namespace pistachiolatch
