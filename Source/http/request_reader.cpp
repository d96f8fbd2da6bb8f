#include "http/request_reader.h"

#include "http/message_head.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace pistachiolatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t headBlockBytes = 16UL * 1024;
    constexpr std::size_t bodyBlockBytes = 32UL * 1024;
    /// Data is read into one block a thread, so that connections that wait for data hold no buffers.
    thread_local std::array<char, bodyBlockBytes> readBlock;
    /// The kernel doubles it.
    constexpr int receiveBufferBytes = 64 * 1024;
    /// For a caller that sends requests ahead, which it keeps sending while it gets no answer.
    constexpr int narrowReceiveBufferBytes = 16 * 1024;
    /// What the HTTP library takes for a field besides its text.
    constexpr std::size_t fieldCost = 112;
    /// Heads that cost no more are parsed in any case, so that their refusal can name the request.
    constexpr std::size_t cheapHeadCost = 16UL * 1024;
    /// How often a body that waits for its turn is looked at again.
    constexpr milliseconds turnRetryInterval { 100 };
    /// How long holders that were ended have to release what they held.
    constexpr milliseconds releaseTime { 5 };
    constexpr int maxReleaseWaits = 3;

    void setReceiveBuffer(int socket, int bytes)
    {
        ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    }

    reason toReason(const boost::system::error_code& error)
    {
        if (error == http::error::header_limit)
            return reason::HeaderTooLarge;
        return error == http::error::body_limit ? reason::BodyTooLarge : reason::BadRequest;
    }

    read_outcome refused(reason cause, std::string error = {})
    {
        return { read_outcome::status::Refused, cause, std::move(error) };
    }
}

task_of<bool> awaitRoomFor(buffer_budget& budget, buffer_budget::holder_id holder, std::size_t bytes, const clock_source& clock)
{
    for (int waits = 0; !budget.fits(bytes); ++waits) {
        budget.makeRoom(holder, bytes, clock.now());
        if (waits == maxReleaseWaits)
            co_return false;
        asio::steady_timer timer(co_await asio::this_coro::executor, releaseTime);
        co_await timer.async_wait(asTuple);
    }
    co_return true;
}

std::size_t estimateHeadCost(std::string_view head)
{
    auto lines = static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
    // The text is held by the parsed fields, and by the head that is written for the endpoint.
    return lines * fieldCost + 2 * head.size();
}

request_reader::request_reader(asio::ip::tcp::socket& socket, buffer_budget& budget, buffer_budget::holder_id holder, const clock_source& clock)
    : m_socket(socket)
    , m_budget(budget)
    , m_holder(holder)
    , m_clock(clock)
    , m_connectionCharge(budget, holder, buffer_budget::wait_for::Turn)
    , m_bufferCharge(budget, holder, buffer_budget::wait_for::Upload)
    , m_requestCharge(budget, holder, buffer_budget::wait_for::Upload)
{
    m_connectionCharge.resize(connectionBytes, clock.now());
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
}

std::string_view request_reader::bufferedText() const
{
    return { static_cast<const char*>(m_buffer.cdata().data()), m_buffer.size() };
}

void request_reader::appendToBuffer(const char* data, std::size_t size)
{
    asio::buffer_copy(m_buffer.prepare(size), asio::buffer(data, size));
    m_buffer.commit(size);
    m_bufferCharge.resize(m_buffer.capacity(), m_clock.now());
}

void request_reader::chargeBody()
{
    const auto& body = m_parser->get().body();
    bool hasLength = m_parser->content_length().has_value();
    // Memory that was reserved for a known length isn't used before data fills it.
    auto held = hasLength ? body.size() : body.capacity();
    m_requestCharge.resize(m_headCost + held + body.size(), m_clock.now());
}

task_of<boost::system::error_code> request_reader::awaitData()
{
    auto [error] = co_await m_socket.async_wait(asio::socket_base::wait_read, asTuple);
    co_return error;
}

task_of<read_outcome> request_reader::waitForRequest()
{
    m_bufferCharge.setWait(buffer_budget::wait_for::Upload, m_clock.now());
    if (hasBegun())
        co_return read_outcome {};
    if (std::exchange(m_isNarrow, false))
        setReceiveBuffer(m_socket.native_handle(), receiveBufferBytes);
    auto error = co_await awaitData();
    co_return error ? read_outcome { read_outcome::status::Closed, reason::BadRequest, {} } : read_outcome {};
}

task_of<bool> request_reader::awaitTurn()
{
    if (m_budget.mayGrow(m_holder, m_clock.now()))
        co_return true;
    asio::steady_timer timer(m_socket.get_executor());
    do {
        bool endsOthers = m_budget.makeRoom(m_holder, bodyBlockBytes, m_clock.now()) > 0;
        timer.expires_after(endsOthers ? releaseTime : turnRetryInterval);
        co_await timer.async_wait(asTuple);
    } while (m_socket.is_open() && !m_refused && !m_budget.mayGrow(m_holder, m_clock.now()));
    co_return m_socket.is_open() && !m_refused;
}

boost::system::error_code request_reader::readIntoBuffer()
{
    boost::system::error_code error;
    auto count = m_socket.read_some(asio::buffer(readBlock, headBlockBytes), error);
    appendToBuffer(readBlock.data(), count);
    return error == asio::error::eof ? make_error_code(http::error::end_of_stream) : error;
}

boost::system::error_code request_reader::parseBuffer()
{
    boost::system::error_code error;
    m_buffer.consume(m_parser->put(m_buffer.data(), error));
    return error;
}

boost::system::error_code request_reader::readIntoBody()
{
    boost::system::error_code error;
    auto count = m_socket.read_some(asio::buffer(readBlock), error);
    if (error)
        return error == asio::error::eof ? make_error_code(http::error::end_of_stream) : error;
    if (m_buffer.size() > 0) {
        if (m_buffer.size() + count > maxFieldBytes)
            return http::error::buffer_overflow;
        appendToBuffer(readBlock.data(), count);
        return parseBuffer();
    }
    // Most data is never buffered: only what the parser leaves, such as a part of a chunk's header.
    auto parsed = m_parser->put(asio::const_buffer(readBlock.data(), count), error);
    appendToBuffer(readBlock.data() + parsed, count - parsed);
    return error;
}

read_outcome request_reader::toOutcome(boost::system::error_code error) const
{
    if (m_refused)
        return refused(reason::BuffersFull);
    if (!m_socket.is_open())
        return { read_outcome::status::Closed, reason::BadRequest, {} };
    bool isMalformed = error.category() == make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream && error != http::error::partial_message;
    if (!isMalformed)
        return { read_outcome::status::Closed, reason::BadRequest, {} };
    return refused(toReason(error), error.message());
}

task_of<read_outcome> request_reader::readHead(std::size_t maxHeadBytes)
{
    m_parser.reset();
    m_refused = false;
    while (!isHeadComplete(bufferedText())) {
        if (m_buffer.size() > maxHeadBytes)
            co_return refused(reason::HeaderTooLarge);
        bool hasRoom = co_await awaitRoomFor(m_budget, m_holder, headBlockBytes, m_clock);
        if (!hasRoom)
            co_return refused(reason::BuffersFull);
        auto error = readIntoBuffer();
        if (error == asio::error::would_block)
            error = co_await awaitData();
        if (error)
            co_return toOutcome(error);
    }
    if (auto fault = findFramingFault(bufferedText()))
        co_return refused(*fault);
    m_headCost = estimateHeadCost(bufferedText().substr(0, bufferedText().find("\r\n\r\n")));
    if (m_headCost > cheapHeadCost) {
        bool hasRoom = co_await awaitRoomFor(m_budget, m_holder, m_headCost, m_clock);
        if (!hasRoom)
            co_return refused(reason::BuffersFull);
    }
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(maxHeadBytes));
    // The server chooses the limit once the head is known.
    m_parser->body_limit(boost::none);
    m_requestCharge = buffer_charge(m_budget, m_holder, buffer_budget::wait_for::Upload);
    m_requestCharge.resize(m_headCost, m_clock.now());
    auto error = parseBuffer();
    if (error || !m_parser->is_header_done())
        co_return error ? toOutcome(error) : refused(reason::BadRequest);
    co_return read_outcome {};
}

task_of<read_outcome> request_reader::readBody(std::uint64_t maxBodyBytes)
{
    auto length = m_parser->content_length();
    if (length && *length > maxBodyBytes)
        co_return refused(reason::BodyTooLarge);
    m_parser->body_limit(maxBodyBytes);
    m_parser->eager(true);
    // Trailers are added to the fields, where they could change what the head says.
    auto head = std::move(m_parser->get().base());
    auto error = m_buffer.size() > 0 && !m_parser->is_done() ? parseBuffer() : boost::system::error_code();
    while ((!error || error == http::error::need_more) && !m_parser->is_done()) {
        chargeBody();
        bool hasTurn = co_await awaitTurn();
        if (!hasTurn) {
            error = asio::error::operation_aborted;
            break;
        }
        error = readIntoBody();
        if (error == asio::error::would_block)
            error = co_await awaitData();
    }
    chargeBody();
    m_parser->get().base() = std::move(head);
    co_return error ? toOutcome(error) : read_outcome {};
}

request_reader::request request_reader::release()
{
    auto message = m_parser->release();
    m_parser.reset();
    m_buffer.shrink_to_fit();
    m_bufferCharge.resize(m_buffer.capacity(), m_clock.now());
    if (hasBegun() && !std::exchange(m_isNarrow, true))
        setReceiveBuffer(m_socket.native_handle(), narrowReceiveBufferBytes);
    return message;
}

buffer_charge request_reader::takeCharge()
{
    // From now on, ending the connection would cut off an answer.
    m_bufferCharge.setWait(buffer_budget::wait_for::Turn, m_clock.now());
    m_requestCharge.setWait(buffer_budget::wait_for::Turn, m_clock.now());
    return std::move(m_requestCharge);
}

void request_reader::refuse()
{
    m_refused = true;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

void request_reader::drop()
{
    m_parser.reset();
    m_requestCharge.clear();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_bufferCharge.clear();
}

task_of<void> request_reader::discardInput()
{
    drop();
    boost::system::error_code error;
    while (!error) {
        m_socket.read_some(asio::buffer(readBlock), error);
        if (error == asio::error::would_block || !error)
            error = co_await awaitData();
    }
}

} // namespace pistachiolatch
