#pragma once
#include "http/http_exchange.h"
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace pistachiolatch {

/// How far a call came before it failed. Only NotSent proves that the other side did nothing.
enum class call_failure {
    None,
    /// Not one byte of the request left.
    NotSent,
    /// The connection ended or broke before the whole answer.
    Broken,
    /// Nothing came within the time allowed.
    Stalled,
};

struct http_request {
    std::string method = "POST";
    std::string target;
    http_headers headers;
    std::string body;
};

struct http_response {
    call_failure failed = call_failure::None;
    unsigned status = 0;
    std::string contentType;
    http_headers headers;
    std::string body;

    bool succeeded() const { return failed == call_failure::None && status >= 200 && status < 300; }
};

/// One call to an address over a connection of its own. A connection of its own keeps NotSent true: a connection
/// kept from an earlier call may be closed by the other side just as the request leaves.
/// Used on one thread.
class http_client {
public:
    explicit http_client(const boost::asio::any_io_executor& executor)
        : m_stream(executor)
    {
    }

    /// Connects and sends the request. Returns None on success.
    task_of<call_failure> send(const std::string& address, const http_request& call, milliseconds connectTimeout, milliseconds sendTimeout);
    /// Reads status and headers.
    task_of<call_failure> readHead(milliseconds timeout);
    unsigned status() const { return m_parser->get().result_int(); }
    std::string header(std::string_view name) const;
    http_headers headers() const;
    /// Reads the next bytes of the body; empty at its end. Precondition: readHead() succeeded.
    task_of<call_failure> readPiece(std::string& piece, milliseconds timeout);
    /// Whether the whole answer was read.
    bool isComplete() const { return m_parser && m_parser->is_done(); }

    /// Makes a whole call.
    static task_of<http_response> fetch(const std::string& address, const http_request& call, milliseconds connectTimeout, milliseconds timeout);

private:
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
};

} // namespace pistachiolatch
