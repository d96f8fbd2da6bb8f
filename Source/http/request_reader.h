#pragma once
#include "http/buffer_budget.h"
#include "http/http_exchange.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace pistachiolatch {

/// How reading a request, or a part of it, ended.
struct read_outcome {
    enum class status {
        Received,
        /// The connection ended or was closed, so that nobody can be answered.
        Closed,
        /// The request must be refused for this cause; the connection can't be used for another one.
        Refused,
    };
    status end = status::Received;
    reason cause = reason::BadRequest;
    std::string error;

    bool isReceived() const { return end == status::Received; }
};

/// Reads the requests on one connection for the servers of a process. All that it reads into is accounted to the connection's holder
/// in the budget: it looks for room before it takes data from the socket, and never reads ahead of that. Callers that send
/// requests ahead get a small receive buffer meanwhile. Used on the socket's thread.
class request_reader {
public:
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    /// What a connection costs besides the data that it carries.
    static constexpr std::size_t connectionBytes = 10UL * 1024;
    /// The most that a connection can have received without being read, on which the number of connections is based.
    static constexpr std::size_t maxUnreadBytes = 64UL * 1024;

    /// Precondition: the socket, the budget and the clock outlive the reader.
    request_reader(boost::asio::ip::tcp::socket& socket, buffer_budget& budget, buffer_budget::holder_id holder, const clock_source& clock);

    /// Whether a part of the next request has been read already.
    bool hasBegun() const { return m_buffer.size() > 0; }
    /// Waits until a byte of the next request has arrived. Errors: Closed.
    task_of<read_outcome> waitForRequest();
    /// Reads a head. Errors: Closed; Refused if it is too long or malformed, if its length is unclear, or if there is no room for it.
    task_of<read_outcome> readHead(std::size_t maxHeadBytes);
    /// The head that was read. Precondition: readHead() received it and release() was not called.
    const request& head() const { return m_parser->get(); }
    /// Whether a part of the body has not been read. Precondition: as for head().
    bool hasUnreadBody() const { return !m_parser->is_done(); }
    /// Reads the body; its trailers are dropped. Errors: Closed; Refused if it is longer or malformed, or if refuse() was called.
    /// Precondition: as for head().
    task_of<read_outcome> readBody(std::uint64_t maxBodyBytes);
    /// Has readHead() or readBody() give up with BuffersFull, whatever it waits for.
    void refuse();
    /// Returns the request and drops what the parser held. Precondition: as for head().
    request release();
    /// Passes on what is accounted for the request that was read.
    buffer_charge takeCharge();
    /// Frees what was read of a request that is refused.
    void drop();
    /// Reads and drops data until the connection ends. Closing a connection with unread data would reset it before the caller has
    /// read the answer.
    task_of<void> discardInput();

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Waits for data without reading it.
    task_of<boost::system::error_code> awaitData();
    /// Waits until the holder may take in more of a body. Returns false if it should not wait any longer.
    task_of<bool> awaitTurn();
    /// Appends what has arrived to the buffer. Errors: would_block if nothing has, and others of the socket.
    boost::system::error_code readIntoBuffer();
    /// Parses what has arrived of a body. Errors: those of the socket and the parser; need_more.
    boost::system::error_code readIntoBody();
    boost::system::error_code parseBuffer();
    std::string_view bufferedText() const;
    void appendToBuffer(const char* data, std::size_t size);
    void chargeBody();
    read_outcome toOutcome(boost::system::error_code error) const;

    boost::asio::ip::tcp::socket& m_socket;
    buffer_budget& m_budget;
    buffer_budget::holder_id m_holder;
    const clock_source& m_clock;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    buffer_charge m_connectionCharge;
    buffer_charge m_bufferCharge;
    /// The head with its fields, and the body with the copy that may be made of it.
    buffer_charge m_requestCharge;
    std::size_t m_headCost = 0;
    bool m_isNarrow = false;
    bool m_refused = false;
};

/// Waits briefly until holders that are ended have made room for a small amount. Returns whether it fits. Precondition: the budget and
/// the clock outlive the task.
task_of<bool> awaitRoomFor(buffer_budget& budget, buffer_budget::holder_id holder, std::size_t bytes, const clock_source& clock);

/// What a parsed head takes in memory. Each field costs more than its text. Thread safety: any thread.
std::size_t estimateHeadCost(std::string_view head);

} // namespace pistachiolatch
