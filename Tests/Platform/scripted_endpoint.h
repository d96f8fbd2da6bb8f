#pragma once
#include "http/http.h"
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pistachiolatch::test {

/// How a scripted response announces the end of its body.
enum class body_framing {
    Length,
    Chunked,
    /// Neither a length nor chunks: the body ends with the connection.
    None,
};

/// What happens to the connection after the body.
enum class connection_end {
    KeepOpen,
    Close,
    /// Closed with a TCP reset.
    Reset,
};

/// A response that is written byte by byte, also one that no conforming server would send.
struct scripted_response {
    unsigned status = 200;
    body_framing framing = body_framing::None;
    connection_end end = connection_end::Close;
    std::string body;
    /// How long after the body a reset comes. What is unread then is lost, so that the peer needs time to read it.
    milliseconds resetDelay { 60 };
    /// Bytes that the framing announces beyond the body: a larger length, or a missing last chunk.
    bool truncated = false;
    http_headers headers;
    /// The body is written again and again until the peer closes the connection.
    bool endless = false;
    /// The same for the last header's value, so that the head never ends.
    bool endlessHead = false;
    /// A copy of the response follows on its connection once the next request has arrived there, before the response to that.
    bool repeatedLate = false;
    /// A copy precedes the next response on its connection, also if that is to a status request.
    bool repeatedBeforeNext = false;
    /// Written in place of the status number, if not empty.
    std::string statusText;
    /// Written in place of the whole response, if not empty.
    std::string raw;
};

/// A request that reached a scripted endpoint, status requests included.
struct scripted_arrival {
    time_point at;
    /// The address of the machine that sent it.
    std::string from;
    std::string requestId;
    unsigned status = 0;
};

/// An endpoint of the users' platform whose responses a test writes, with framing that fake_endpoint doesn't produce.
class scripted_endpoint {
public:
    using script = std::function<scripted_response(const http_exchange::request&)>;
    /// Responds to a head before the body is read, or doesn't.
    using early_script = std::function<std::optional<scripted_response>(const http_exchange::request&)>;

    /// Precondition: the script may be called on another thread until the endpoint is destroyed.
    scripted_endpoint(const std::string& address, script respond);
    ~scripted_endpoint();
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;

    /// Responds to status requests, in place of a report. Precondition: called before the endpoint gets requests.
    void setStatusScript(script respond) { m_respondToStatus = std::move(respond); }
    /// Responds to requests before their bodies have arrived. Precondition: called before the endpoint gets requests.
    void setEarlyScript(early_script respond) { m_respondEarly = std::move(respond); }
    /// The number of requests that arrived, by request ID.
    std::map<std::string, int> requestCounts() const;
    /// All requests in the order in which they were answered.
    std::vector<scripted_arrival> arrivals() const;

private:
    task_of<void> accept();
    task_of<void> serve(boost::asio::ip::tcp::socket socket);
    /// Writes a response. Returns whether the connection is used on.
    task_of<bool> write(boost::asio::ip::tcp::socket& socket, const scripted_response& response, const std::string& before);

    script m_respond;
    script m_respondToStatus;
    early_script m_respondEarly;
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_requestCounts;
    std::vector<scripted_arrival> m_arrivals;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace pistachiolatch::test
