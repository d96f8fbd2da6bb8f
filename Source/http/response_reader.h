#pragma once
#include "http/http_exchange.h"
#include "http/message_head.h"
#include "http/response_body.h"
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace pistachiolatch {

/// What tells the response to a request from others on its connection.
struct response_expectation {
    /// The field by which responses name their requests; empty if servers name none.
    std::string idField;
    /// Id of the request. If it has none, neither has its response.
    std::string requestId;
    /// Whether responses to the request's method have no body, whatever length they announce.
    bool withoutBody = false;
    /// A response with a longer body is not read to its end.
    std::uint64_t maxBodyBytes = std::numeric_limits<std::uint64_t>::max();
};

/// Decides which bytes on a connection are the response to a request, and whether they are all of it: by its id, status, fields, framing
/// and size, by how the connection ended, and by whether the request had been sent. All that read responses use it.
/// Load pattern: servers in trouble send responses twice, late, early, cut off, without end or unlike HTTP; a caller that gets such bytes
/// takes them for its answer.
/// Used on one thread, with one read at a time.
class response_reader {
public:
    /// Expects the response to another request on the connection. The request counts as not sent.
    void expect(response_expectation expected);
    /// Records that the request was sent in full. What ends with its connection before is no whole response.
    void recordSent() { m_isSent = true; }
    /// Records that the connection has failed. A socket reports its error once; the read that follows reports an ordinary end.
    void recordFailure() { m_hasFailed = true; }
    /// Reads the head of the response, and skips interim responses and those to other requests. After operation_aborted, the next call goes
    /// on. Errors: those of the stream and the parser; bad_status, unexpected_body for a response that can't be the one expected;
    /// body_limit; bad_transfer_encoding.
    template <typename Stream, typename Token>
    task_of<boost::system::error_code> readHead(Stream& stream, Token token);
    /// Reads on until there is a part of the body, or it has ended. Precondition: readHead() succeeded. Errors: as for readHead(). After any
    /// other than operation_aborted, bodyEnd() is Reset.
    template <typename Stream, typename Token>
    task_of<boost::system::error_code> readBody(Stream& stream, Token token);
    /// Whether readBody() has to wait for data. Precondition: readHead() succeeded.
    bool needsData() const { return m_parser->get().body().empty() && bodyEnd() == body_end::Open; }
    /// Removes and returns the part of the body that was read.
    std::string takeBody();
    /// Lowers the limit on the body's size.
    void limitBody(std::uint64_t maxBytes);
    /// How the body ended, as far as it was read; Reset if it is not complete. Precondition: readHead() succeeded.
    body_end bodyEnd() const;
    /// Whether the connection can carry another request once this response is complete.
    bool isReadyForRequest() const;
    /// The head. Precondition: readHead() succeeded.
    const boost::beast::http::response_header<>& head() const { return m_parser->get().base(); }
    /// Responses to other requests that were skipped since the last expect().
    unsigned skippedResponses() const { return m_skipped; }

private:
    /// A body that grows with the data that arrives. That of the HTTP library reserves memory for the announced length.
    struct growing_body {
        using value_type = std::string;
        class reader {
        public:
            template <bool isRequest, typename Fields>
            reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
                : m_body(body)
            {
            }
            void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }
            template <typename Buffers>
            std::size_t put(const Buffers& buffers, boost::system::error_code& error)
            {
                error = {};
                auto before = m_body.size();
                m_body.resize(before + boost::asio::buffer_size(buffers));
                return boost::asio::buffer_copy(boost::asio::buffer(m_body) + before, buffers);
            }
            void finish(boost::system::error_code& error) { error = {}; }

        private:
            value_type& m_body;
        };
    };
    enum class head_kind {
        Expected,
        Interim,
        /// The response to another request on the connection.
        Other,
        Invalid,
    };

    void beginHead();
    head_kind classifyHead() const;
    bool isOther() const;
    /// Begins to skip what is no final response. Returns whether the head is the one expected. Errors: see readHead().
    bool acceptHead(boost::system::error_code& error);
    /// Counts what was read of the body. Errors: body_limit.
    boost::system::error_code countBody();

    boost::beast::flat_buffer m_buffer { maxFieldBytes };
    std::optional<boost::beast::http::response_parser<growing_body>> m_parser;
    response_expectation m_expected;
    /// Whether the response that is being read is that to another request.
    bool m_isSkipping = false;
    bool m_isSent = false;
    bool m_hasFailed = false;
    /// Whether the connection has carried a request without id before, a copy of whose response may still arrive.
    bool m_hasCarriedUnnamed = false;
    unsigned m_interim = 0;
    unsigned m_skipped = 0;
    std::uint64_t m_bodyBytes = 0;
};

template <typename Stream, typename Token>
task_of<boost::system::error_code> response_reader::readHead(Stream& stream, Token token)
{
    boost::system::error_code error;
    while (!error) {
        while (m_isSkipping && !error) {
            error = co_await readBody(stream, token);
            takeBody();
            if (!error && bodyEnd() != body_end::Open) {
                m_isSkipping = false;
                m_parser.reset();
            }
        }
        if (error)
            break;
        if (!m_parser)
            beginHead();
        auto [headError, bytes] = co_await boost::beast::http::async_read_header(stream, m_buffer, *m_parser, token);
        error = headError;
        if (!error && acceptHead(error))
            break;
    }
    co_return error;
}

template <typename Stream, typename Token>
task_of<boost::system::error_code> response_reader::readBody(Stream& stream, Token token)
{
    boost::system::error_code error;
    while (!error && needsData()) {
        auto [readError, bytes] = co_await boost::beast::http::async_read_some(stream, m_buffer, *m_parser, token);
        error = readError;
        if (!error)
            error = countBody();
        if (error && error != boost::asio::error::operation_aborted)
            m_hasFailed = true;
    }
    co_return error;
}

} // namespace pistachiolatch
