#pragma once
#include "forwarding/acknowledgement_watch.h"
#include "forwarding/call_types.h"
#include "forwarding/endpoint_stream.h"
#include "forwarding/send_window.h"
#include "http/buffer_budget.h"
#include "http/http.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace pistachiolatch {

/// How a wait for a response head ended.
enum class head_result {
    Received,
    /// The wait was interrupted. The head may still arrive.
    Interrupted,
    Failed,
};

/// An HTTP/1.1 connection to an endpoint that carries one call at a time. It has no timeouts of its own: its user
/// closes it, unless the endpoint's host vanishes while a request is sent. Used on one thread.
class endpoint_connection : public std::enable_shared_from_this<endpoint_connection> {
public:
    explicit endpoint_connection(const boost::asio::any_io_executor& executor);

    /// Connects. Returns false if this fails, the text is no address, or close() is called meanwhile.
    task_of<bool> connect(const std::string& address);
    /// Connects to another entry and has it connect to an endpoint. Once opened, the connection is used like a direct one;
    /// it can't be reused.
    task_of<wire::relay_status> connectThrough(const std::string& relayAddress, const wire::relay_open& request);
    /// Starts to send a request, as fast as the window has room for it. The response that is expected may be read at once: an endpoint may
    /// respond before it has read everything. The bytes are accounted to a holder of the budget until they are sent.
    /// Precondition: the window, the clock and the budget outlive the context's handlers.
    void startSend(std::string bytes, response_expectation expected, send_window& window, const clock_source& clock, buffer_charge charge = {});
    /// Whether the last request was sent completely.
    bool isRequestSent() const { return m_sendComplete; }
    /// When the endpoint's host last took a part of the request, or when the request was begun.
    time_point lastSendProgress() const { return m_sendProgressAt; }
    /// Reads the head of the expected response. Returns Interrupted if interruptRead() ends the wait; the next call
    /// reads the rest of the head. Precondition: startSend() was called since the last response.
    task_of<head_result> readResponseHead();
    unsigned status() const { return m_reader.head().result_int(); }
    std::string reasonPhrase() const { return std::string(m_reader.head().reason()); }
    const header_fields& fields() const { return m_reader.head(); }
    /// Responses to other requests that came before the expected one.
    unsigned skippedResponses() const { return m_reader.skippedResponses(); }
    /// A response with a longer body is given up, as if it was reset.
    void limitBody(std::uint64_t maxBytes) { m_reader.limitBody(maxBytes); }
    /// Reads the next bytes of the body; none if it is interrupted. Returns how the body ended, or Open if more may follow.
    /// Precondition: readResponseHead() returned Received.
    task_of<body_end> readBodyChunk(std::string& chunk);
    /// Has the readResponseHead() or readBodyChunk() that waits for data, or else the next one, return Interrupted, or Open without
    /// any data. The rest of the response can still be read, and the rest of the request is still sent.
    void interruptRead();
    /// Calls a handler once data has arrived, not the end of it, unless stopWatching() is called before. Precondition: nothing is read meanwhile.
    void watchReadable(std::function<void()> onReadable);
    void stopWatching();
    /// Reads the rest of the body; never returns Open. One whose read is interrupted is given up, which is a Reset.
    task_of<body_end> readRemainingBody(std::string& body);
    /// Whether another request may be sent: the last one was sent, its response is complete and no data follows.
    bool isReadyForRequest() const;
    /// Whether the connection can carry another call.
    bool isReusable() const { return m_relayAddress.empty() && isReadyForRequest(); }
    /// Whether a pooled connection is still open and has no unread data. Unexpected data, such as a second response,
    /// would be taken for the response to the next call.
    bool isOpenAndIdle();
    /// Notes that a request of this id was sent. One without an id can't be told from others and is not noted.
    void recordRequest(const std::string& requestId);
    /// Whether one of the last requests had this id. A late copy of its response would be taken for that to a later one of the same id.
    bool hasCarried(const std::string& requestId) const;
    void close();
    bool isClosed() const { return m_closed; }
    /// Address of the entry that relays the connection; empty if it is direct.
    const std::string& relayAddress() const { return m_relayAddress; }

    /// The run of the endpoint process at the other end, if it told.
    std::optional<std::uint64_t> incarnation;
    /// When the connection was returned to the pool, and for how long it may be reused after that.
    time_point idleSince {};
    milliseconds maxIdleTime { 0 };

private:
    void sendNextPart(send_window& window, const clock_source& clock);
    void dropSendBuffer();
    /// Closes the connection if the endpoint's host vanishes before the response is complete.
    void watchAcknowledgements();

    endpoint_stream m_stream;
    response_reader m_reader;
    std::string m_sendBuffer;
    std::size_t m_bytesSent = 0;
    time_point m_sendProgressAt {};
    /// Whether a part of the buffer is being written.
    bool m_sending = false;
    buffer_charge m_sendCharge;
    acknowledgement_watch m_acknowledgements;
    boost::asio::steady_timer m_acknowledgementTimer;
    bool m_sendComplete = false;
    bool m_interrupted = false;
    /// End single operations: to cancel all of the socket would also end a write in progress, after which nothing can be sent.
    boost::asio::cancellation_signal m_readInterruption;
    boost::asio::cancellation_signal m_watchInterruption;
    /// Identifies the handler that waits for data.
    std::uint64_t m_watchId = 0;
    std::string m_relayAddress;
    /// Hashes of the ids of the last requests, the newest last.
    std::deque<std::size_t> m_requests;
    bool m_closed = false;
};

} // namespace pistachiolatch
