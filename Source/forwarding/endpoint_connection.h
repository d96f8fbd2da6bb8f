#pragma once
#include "forwarding/call_types.h"
#include "http/http.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>

namespace pistachiolatch {

/// One HTTP/1.1 connection to an endpoint, which carries one call after the other. Times out by being closed.
/// Used on one thread.
class endpoint_connection : public std::enable_shared_from_this<endpoint_connection> {
public:
    explicit endpoint_connection(const boost::asio::any_io_executor& executor);

    /// Connects. Returns false when that failed or the connection was closed meanwhile.
    task_of<bool> connect(const std::string& address);
    /// Begins to send a request; reading may begin at once, since an endpoint may answer before it has read all.
    void beginSend(std::string bytes);
    /// Reads an answer's head, past interim answers. Precondition: beginSend() was called since the last answer.
    task_of<call_failure> readHead(bool bodyless);
    unsigned status() const { return m_parser->get().result_int(); }
    std::string reasonPhrase() const { return std::string(m_parser->get().reason()); }
    const header_fields& fields() const { return m_parser->get(); }
    /// Reads the next bytes of the body; empty at its end. Precondition: readHead() returned None.
    task_of<call_failure> readPiece(std::string& piece);
    /// Reads the rest of the body. Bodies over the bound count as broken.
    task_of<call_failure> readRest(std::string& body, std::size_t most);
    /// Whether the whole answer was read.
    bool whole() const { return m_parser && m_parser->is_done(); }
    /// Whether the connection can carry another call: all was sent, the answer was whole and nothing came after it.
    bool reusable() const;
    /// Whether a connection that was put aside is still open with nothing to read. Bytes that came unasked, such as a
    /// second answer, would be taken for the answer to the next call.
    bool stillQuiet();
    void close();

    /// When the connection was last put aside, and for how long after that it may be used again.
    time_point idleSince {};
    milliseconds idleAllowed { 0 };

private:
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    std::string m_sending;
    bool m_sent = false;
    bool m_closed = false;
};

} // namespace pistachiolatch
