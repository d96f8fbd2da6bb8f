#include "http/response_reader.h"

#include "http/transfer_coding.h"
#include <algorithm>
#include <utility>

namespace pistachiolatch {

namespace http = boost::beast::http;

namespace {
    constexpr std::uint32_t maxHeadBytes = 32 * 1024;
    constexpr unsigned firstFinalStatus = 200;
    constexpr unsigned switchingProtocols = 101;
    constexpr unsigned firstInterimStatus = 100;
    constexpr unsigned lastStatus = 599;
    /// A server that sends more of them never answers.
    constexpr unsigned maxInterimResponses = 32;
    /// Responses to other requests that are skipped before the expected one, and the longest of them.
    constexpr unsigned maxSkippedResponses = 2;
    constexpr std::uint64_t maxSkippedBytes = 16ULL * 1024 * 1024;
}

void response_reader::expect(response_expectation expected)
{
    m_hasCarriedUnnamed = m_hasCarriedUnnamed || (!m_expected.idField.empty() && m_expected.requestId.empty());
    m_expected = std::move(expected);
    m_parser.reset();
    m_isSkipping = false;
    m_isSent = false;
    m_interim = 0;
    m_skipped = 0;
}

void response_reader::beginHead()
{
    m_parser.emplace();
    m_parser->header_limit(maxHeadBytes);
    m_parser->body_limit(boost::none);
    m_bodyBytes = 0;
}

bool response_reader::isOther() const
{
    if (m_expected.idField.empty())
        return false;
    auto found = head().find(m_expected.idField);
    if (found == head().end())
        return m_hasCarriedUnnamed && !m_expected.requestId.empty();
    return found->value() != m_expected.requestId;
}

response_reader::head_kind response_reader::classifyHead() const
{
    auto status = head().result_int();
    if (status < firstInterimStatus || status > lastStatus || status == switchingProtocols || hasUnknownTransferCoding(head()))
        return head_kind::Invalid;
    if (status < firstFinalStatus)
        return m_interim < maxInterimResponses ? head_kind::Interim : head_kind::Invalid;
    if (isOther())
        return m_skipped < maxSkippedResponses ? head_kind::Other : head_kind::Invalid;
    // A response that names no request may be that to any, unless the request has no id either.
    bool isNamed = m_expected.idField.empty() || m_expected.requestId.empty() || head().count(m_expected.idField) > 0;
    return isNamed ? head_kind::Expected : head_kind::Invalid;
}

bool response_reader::acceptHead(boost::system::error_code& error)
{
    auto announced = m_parser->content_length().value_or(0);
    switch (classifyHead()) {
    case head_kind::Expected:
        if (announced > m_expected.maxBodyBytes && !m_expected.withoutBody)
            error = http::error::body_limit;
        return !error;
    case head_kind::Interim:
        ++m_interim;
        m_parser.reset();
        return false;
    case head_kind::Other:
        ++m_skipped;
        m_isSkipping = true;
        if (announced > maxSkippedBytes)
            error = http::error::body_limit;
        return false;
    case head_kind::Invalid:
        break;
    }
    error = http::error::bad_status;
    return false;
}

boost::system::error_code response_reader::countBody()
{
    m_bodyBytes += m_parser->get().body().size();
    bool isTooLong = m_bodyBytes > (m_isSkipping ? maxSkippedBytes : m_expected.maxBodyBytes);
    return isTooLong ? make_error_code(http::error::body_limit) : boost::system::error_code();
}

std::string response_reader::takeBody()
{
    return std::exchange(m_parser->get().body(), {});
}

void response_reader::limitBody(std::uint64_t maxBytes)
{
    m_expected.maxBodyBytes = std::min(m_expected.maxBodyBytes, maxBytes);
}

body_end response_reader::bodyEnd() const
{
    if (m_expected.withoutBody && !m_isSkipping)
        return body_end::Length;
    auto end = parsedBodyEnd(*m_parser);
    // The server may have broken off the request, and its response with it.
    bool isBrokenOff = end == body_end::Close && (!m_isSent || m_hasFailed);
    return isBrokenOff || (end == body_end::Open && m_hasFailed) ? body_end::Reset : end;
}

bool response_reader::isReadyForRequest() const
{
    // The length that a response without body announces can't be checked against what follows.
    return m_isSent && !m_hasFailed && !m_expected.withoutBody && m_parser && !m_isSkipping && m_parser->is_done() && m_parser->keep_alive() && m_buffer.size() == 0;
}

} // namespace pistachiolatch
