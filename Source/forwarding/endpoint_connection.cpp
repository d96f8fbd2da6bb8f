#include "forwarding/endpoint_connection.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <sys/socket.h>
#include <utility>

namespace pistachiolatch {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    /// Requests are sent in parts of this size, so that no long one keeps others, and messages to control, waiting.
    constexpr std::size_t sendPartBytes = 8UL * 1024;
    /// Requests whose ids a connection remembers. Responses that are later than this many others are not expected.
    constexpr std::size_t maxRememberedRequests = 32;
}

endpoint_connection::endpoint_connection(const asio::any_io_executor& executor)
    : m_stream(executor)
    , m_acknowledgementTimer(executor)
{
}

task_of<bool> endpoint_connection::connect(const std::string& address)
{
    auto self = shared_from_this();
    if (!isAddress(address))
        co_return false;
    auto [error] = co_await m_stream.socket().async_connect(parseAddress(address), asTuple);
    if (error || m_closed)
        co_return false;
    configureEndpointSocket(m_stream.socket());
    co_return true;
}

task_of<wire::relay_status> endpoint_connection::connectThrough(const std::string& relayAddress, const wire::relay_open& request)
{
    auto self = shared_from_this();
    bool connected = co_await connect(relayAddress);
    if (!connected)
        co_return wire::RELAY_UNAVAILABLE;
    bool sent = co_await writeRelayMessage(m_stream.socket(), request);
    wire::relay_opened reply;
    bool received = false;
    if (sent)
        received = co_await readRelayMessage(m_stream.socket(), reply);
    if (!received || m_closed)
        co_return wire::RELAY_UNAVAILABLE;
    if (reply.status() == wire::RELAY_OPENED) {
        m_stream.startFrames();
        m_relayAddress = relayAddress;
    }
    co_return reply.status();
}

void endpoint_connection::startSend(std::string bytes, response_expectation expected, send_window& window, const clock_source& clock, buffer_charge charge)
{
    m_reader.expect(std::move(expected));
    m_sendCharge = std::move(charge);
    m_sendCharge.resize(bytes.size(), clock.now());
    m_sendBuffer = std::move(bytes);
    m_bytesSent = 0;
    m_sendProgressAt = clock.now();
    m_sendComplete = false;
    m_interrupted = false;
    sendNextPart(window, clock);
    m_acknowledgements = {};
    watchAcknowledgements();
}

void endpoint_connection::watchAcknowledgements()
{
    m_acknowledgementTimer.expires_after(acknowledgement_watch::checkInterval);
    m_acknowledgementTimer.async_wait([connection = weak_from_this()](beast::error_code error) {
        auto self = connection.lock();
        if (error || !self || self->m_closed || self->isReadyForRequest())
            return;
        if (self->m_acknowledgements.isLost(self->m_stream.socket()))
            self->close();
        else
            self->watchAcknowledgements();
    });
}

void endpoint_connection::sendNextPart(send_window& window, const clock_source& clock)
{
    auto size = std::min(sendPartBytes, m_sendBuffer.size() - m_bytesSent);
    window.acquire(size, [self = shared_from_this(), size, &window, &clock] {
        if (self->m_closed)
            return false;
        self->m_sending = true;
        asio::async_write(self->m_stream, asio::buffer(self->m_sendBuffer.data() + self->m_bytesSent, size), [self, &window, &clock](beast::error_code error, std::size_t count) {
            self->m_sending = false;
            self->m_bytesSent += count;
            self->m_sendComplete = !error && self->m_bytesSent == self->m_sendBuffer.size();
            if (self->m_sendComplete)
                self->m_reader.recordSent();
            if (count > 0) {
                self->m_sendProgressAt = clock.now();
                self->m_sendCharge.recordProgress(self->m_sendProgressAt);
            }
            if (self->m_closed || self->m_sendComplete)
                self->dropSendBuffer();
            else if (!error)
                self->sendNextPart(window, clock);
        });
        return true;
    });
}

task_of<head_result> endpoint_connection::readResponseHead()
{
    auto self = shared_from_this();
    while (true) {
        if (std::exchange(m_interrupted, false))
            co_return head_result::Interrupted;
        auto error = co_await m_reader.readHead(m_stream, asio::bind_cancellation_slot(m_readInterruption.slot(), asTuple));
        if (error == asio::error::operation_aborted && m_interrupted && !m_closed)
            continue;
        m_interrupted = false;
        co_return error || m_closed ? head_result::Failed : head_result::Received;
    }
}

task_of<body_end> endpoint_connection::readBodyChunk(std::string& chunk)
{
    auto self = shared_from_this();
    while (true) {
        if (m_reader.needsData() && std::exchange(m_interrupted, false))
            co_return body_end::Open;
        auto error = co_await m_reader.readBody(m_stream, asio::bind_cancellation_slot(m_readInterruption.slot(), asTuple));
        if (error == asio::error::operation_aborted && m_interrupted && !m_closed)
            continue;
        if (error || m_closed)
            co_return body_end::Reset;
        chunk = m_reader.takeBody();
        co_return m_reader.bodyEnd();
    }
}

void endpoint_connection::interruptRead()
{
    if (m_closed)
        return;
    m_interrupted = true;
    m_readInterruption.emit(asio::cancellation_type::terminal);
}

void endpoint_connection::watchReadable(std::function<void()> onReadable)
{
    auto watchId = ++m_watchId;
    auto handler = [self = shared_from_this(), watchId, onReadable = std::move(onReadable)](beast::error_code error) {
        if (error || self->m_closed || watchId != self->m_watchId)
            return;
        std::array<unsigned char, frameLengthBytes> bytes {};
        auto received = ::recv(self->m_stream.socket().native_handle(), bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
        if (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
            self->m_reader.recordFailure();
        bool isEmptyFrame = self->m_stream.isBetweenFrames() && received == static_cast<ssize_t>(bytes.size()) && decodeFrameLength(bytes) == 0;
        if (received > 0 && !isEmptyFrame)
            onReadable();
    };
    m_stream.socket().async_wait(asio::socket_base::wait_read, asio::bind_cancellation_slot(m_watchInterruption.slot(), std::move(handler)));
}

void endpoint_connection::stopWatching()
{
    ++m_watchId;
    m_watchInterruption.emit(asio::cancellation_type::terminal);
}

task_of<body_end> endpoint_connection::readRemainingBody(std::string& body)
{
    auto end = body_end::Open;
    while (end == body_end::Open) {
        std::string chunk;
        end = co_await readBodyChunk(chunk);
        body += chunk;
        bool isInterrupted = chunk.empty() && end == body_end::Open;
        if (isInterrupted)
            end = body_end::Reset;
    }
    if (end == body_end::Reset)
        close();
    co_return end;
}

bool endpoint_connection::isReadyForRequest() const
{
    return !m_closed && m_reader.isReadyForRequest();
}

bool endpoint_connection::isOpenAndIdle()
{
    char byte = 0;
    auto received = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void endpoint_connection::recordRequest(const std::string& requestId)
{
    if (requestId.empty())
        return;
    m_requests.push_back(std::hash<std::string>()(requestId));
    if (m_requests.size() > maxRememberedRequests)
        m_requests.pop_front();
}

bool endpoint_connection::hasCarried(const std::string& requestId) const
{
    return std::find(m_requests.begin(), m_requests.end(), std::hash<std::string>()(requestId)) != m_requests.end();
}

void endpoint_connection::dropSendBuffer()
{
    std::string().swap(m_sendBuffer);
    m_bytesSent = 0;
    m_sendCharge.clear();
}

void endpoint_connection::close()
{
    m_closed = true;
    m_acknowledgementTimer.cancel();
    beast::error_code ignored;
    m_stream.socket().close(ignored);
    // A write in progress refers to the buffer until its handler runs.
    if (!m_sending)
        dropSendBuffer();
}

} // namespace pistachiolatch
