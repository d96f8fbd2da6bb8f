#include "forwarding/relay_server.h"

#include "forwarding/acknowledgement_watch.h"
#include <boost/asio.hpp>
#include <openssl/crypto.h>
#include <random>

namespace pistachiolatch {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    /// An entry sends its request as soon as it is connected.
    constexpr milliseconds requestTimeout { 1000 };
    /// Shorter than the time for which the other entry waits, so that it learns that the endpoint didn't answer.
    constexpr milliseconds connectTimeout { 250 };
    /// After the endpoint's data has ended, the other entry closes within a round trip.
    constexpr milliseconds closeTimeout { 1000 };
    /// Entries identify themselves within a round trip. If more connections are open that have not, the oldest are closed.
    constexpr std::size_t maxUnidentified = 64;
    constexpr std::size_t copyBufferBytes = 16UL * 1024;
    /// A buffer for each direction, and the connections.
    constexpr std::size_t sessionBytes = 2 * copyBufferBytes + request_reader::connectionBytes;
    constexpr milliseconds acceptRetryDelay { 20 };

    std::string generateToken()
    {
        std::random_device random;
        std::string token;
        for (int i = 0; i < 4; ++i)
            token += fmt::format("{:08x}", random());
        return token;
    }
}

struct relay_server::session {
    tcp::socket entry;
    tcp::socket endpoint;
    asio::steady_timer timer;
    acknowledgement_watch entryAcknowledgements;
    acknowledgement_watch endpointAcknowledgements;
    asio::steady_timer acknowledgementTimer;
    buffer_charge charge;
    /// Whether some of the entry's data could not be sent to the endpoint, and whether some is being sent.
    bool hasEndpointFailed = false;
    bool isSending = false;

    explicit session(tcp::socket accepted)
        : entry(std::move(accepted))
        , endpoint(entry.get_executor())
        , timer(entry.get_executor())
        , acknowledgementTimer(entry.get_executor())
    {
    }

    /// Whether the endpoint has got all that the entry has sent so far.
    bool isRequestSent()
    {
        boost::system::error_code ignored;
        return !hasEndpointFailed && !isSending && entry.available(ignored) == 0;
    }

    void close()
    {
        boost::system::error_code ignored;
        timer.cancel();
        acknowledgementTimer.cancel();
        entry.close(ignored);
        endpoint.close(ignored);
    }

    /// Closes both connections after a delay, unless the timer is cancelled before.
    static void startTimer(const std::shared_ptr<session>& relayed, milliseconds delay)
    {
        relayed->timer.expires_after(delay);
        relayed->timer.async_wait([relayed](boost::system::error_code error) {
            if (!error)
                relayed->close();
        });
    }

    /// Closes both connections if the host at the end of one of them vanishes.
    static void watchAcknowledgements(const std::shared_ptr<session>& relayed)
    {
        relayed->acknowledgementTimer.expires_after(acknowledgement_watch::checkInterval);
        relayed->acknowledgementTimer.async_wait([relayed](boost::system::error_code error) {
            if (error || !relayed->entry.is_open())
                return;
            bool isEntryLost = relayed->entryAcknowledgements.isLost(relayed->entry);
            if (isEntryLost || relayed->endpointAcknowledgements.isLost(relayed->endpoint))
                relayed->close();
            else
                watchAcknowledgements(relayed);
        });
    }
};

relay_server::relay_server(asio::io_context& context, const clock_source& clock, metrics& counters, buffer_budget& budget, endpoint_registry& endpoints, endpoint_paths& paths, relay_settings settings, unreachable_handler onUnreachable)
    : m_context(context)
    , m_clock(clock)
    , m_metrics(counters)
    , m_budget(budget)
    , m_endpoints(endpoints)
    , m_paths(paths)
    , m_settings(std::move(settings))
    , m_onUnreachable(std::move(onUnreachable))
    , m_token(generateToken())
    , m_acceptor(context)
{
}

result<void> relay_server::listen()
{
    if (m_settings.listen.empty())
        return ok();
    BOOST_OUTCOME_TRYV(listenOn(m_acceptor, m_settings.listen));
    accept();
    return ok();
}

void relay_server::stop()
{
    m_stopped = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& relayed : std::set<session_ptr>(m_sessions))
        relayed->close();
}

wire::relay_offer relay_server::offer(const std::string& dataCentre) const
{
    wire::relay_offer offer;
    if (m_settings.listen.empty() || m_draining)
        return offer;
    offer.set_address(m_settings.listen);
    offer.set_token(m_token);
    offer.set_data_centre(dataCentre);
    offer.set_cut_off(m_paths.isCutOff());
    return offer;
}

bool relay_server::isAuthorised(const std::string& token) const
{
    return token.size() == m_token.size() && CRYPTO_memcmp(token.data(), m_token.data(), token.size()) == 0;
}

void relay_server::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (m_stopped)
            return;
        if (error) {
            // Probably out of file descriptors: retry after other connections had time to close.
            auto timer = std::make_shared<asio::steady_timer>(m_context, acceptRetryDelay);
            timer->async_wait([this, timer](boost::system::error_code) { accept(); });
            return;
        }
        if (m_unidentified.size() >= maxUnidentified) {
            m_unidentified.front()->close();
            m_unidentified.pop_front();
            m_metrics.count("relay_unidentified_closed");
        }
        m_unidentified.push_back(std::make_shared<session>(std::move(socket)));
        asio::co_spawn(m_context, serve(m_unidentified.back()), asio::detached);
        accept();
    });
}

task_of<bool> relay_server::readRequest(session_ptr relayed, wire::relay_open& request)
{
    session::startTimer(relayed, requestTimeout);
    bool received = co_await readRelayMessage(relayed->entry, request);
    relayed->timer.cancel();
    std::erase(m_unidentified, relayed);
    if (received && isAuthorised(request.token()))
        co_return true;
    m_metrics.count("relay_unauthorised");
    if (m_refusalLog.admit(m_clock.now()))
        logEvent("relay_refused", { { "why", received ? "token" : "malformed" }, { "endpoint", request.endpoint() }, { "not_logged", m_refusalLog.takeSuppressed() } });
    co_return false;
}

task_of<void> relay_server::serve(session_ptr relayed)
{
    configureEndpointSocket(relayed->entry);
    wire::relay_open request;
    bool isEntry = co_await readRequest(relayed, request);
    if (!isEntry) {
        relayed->close();
        co_return;
    }
    m_sessions.insert(relayed);
    wire::relay_opened reply;
    if (request.rest_ms() > 0 || request.leaves()) {
        recordStatement(request);
        // Neither entry needs the other for anything else on this connection.
        reply.set_status(wire::RELAY_ENDPOINT_BLOCKED);
        co_await writeRelayMessage(relayed->entry, reply);
        relayed->close();
        m_sessions.erase(relayed);
        co_return;
    }
    auto status = co_await openEndpoint(relayed, request);
    reply.set_status(status);
    m_metrics.count(status == wire::RELAY_OPENED ? "relay_opened" : "relay_not_opened");
    bool replied = co_await writeRelayMessage(relayed->entry, reply);
    if (replied && status == wire::RELAY_OPENED) {
        session::watchAcknowledgements(relayed);
        asio::co_spawn(m_context, copyToEndpoint(relayed), asio::detached);
        co_await copyToEntry(relayed);
    } else {
        relayed->close();
    }
    m_sessions.erase(relayed);
}

task_of<wire::relay_status> relay_server::openEndpoint(session_ptr relayed, wire::relay_open request)
{
    if (m_endpoints.isResting(request.endpoint()) || m_endpoints.saidLeaving(request.endpoint()))
        co_return wire::RELAY_ENDPOINT_BLOCKED;
    auto endpoint = m_endpoints.find(request.endpoint());
    bool isKnown = endpoint && endpoint->incarnation == request.born_ms();
    if (m_draining || m_stopped || m_sessions.size() > m_settings.maxSessions || !isKnown || m_paths.isCutOff())
        co_return wire::RELAY_UNAVAILABLE;
    if (m_paths.isBlocked(request.endpoint()))
        co_return wire::RELAY_ENDPOINT_BLOCKED;
    if (!m_budget.fits(sessionBytes))
        co_return wire::RELAY_UNAVAILABLE;
    relayed->charge = buffer_charge(m_budget, m_budget.addHolder(), buffer_budget::wait_for::Turn);
    relayed->charge.resize(sessionBytes, m_clock.now());
    asio::steady_timer timer(m_context, connectTimeout);
    timer.async_wait([relayed](boost::system::error_code expired) {
        boost::system::error_code ignored;
        if (!expired)
            relayed->endpoint.close(ignored);
    });
    auto [connectError] = co_await relayed->endpoint.async_connect(parseAddress(endpoint->address), asTuple);
    timer.cancel();
    if (connectError || !relayed->endpoint.is_open()) {
        m_paths.recordDirectFailure(request.endpoint());
        if (!request.probe())
            m_onUnreachable(*endpoint);
        co_return wire::RELAY_ENDPOINT_UNREACHABLE;
    }
    m_paths.recordDirectSuccess(request.endpoint());
    configureEndpointSocket(relayed->endpoint);
    co_return wire::RELAY_OPENED;
}

void relay_server::recordStatement(const wire::relay_open& statement)
{
    selected_endpoint endpoint;
    endpoint.id = statement.endpoint();
    endpoint.incarnation = statement.born_ms();
    if (statement.rest_ms() > 0)
        m_endpoints.recordRest(endpoint, milliseconds(statement.rest_ms()));
    if (statement.leaves())
        m_endpoints.recordLeaving(endpoint, true, {});
}

task_of<void> relay_server::copyToEndpoint(session_ptr relayed)
{
    std::array<char, copyBufferBytes> buffer {};
    while (true) {
        auto [readError, count] = co_await relayed->entry.async_read_some(asio::buffer(buffer), asTuple);
        if (readError) {
            // The other entry has its response or has given up; closing the endpoint's connection cancels the call.
            relayed->close();
            co_return;
        }
        // An endpoint may respond and close before it has read the whole request. The rest is read and dropped, because
        // closing a connection with unread data would reset it and lose the response.
        if (relayed->hasEndpointFailed)
            continue;
        relayed->isSending = true;
        auto [writeError, written] = co_await asio::async_write(relayed->endpoint, asio::buffer(buffer, count), asTuple);
        relayed->isSending = false;
        relayed->hasEndpointFailed = relayed->hasEndpointFailed || writeError;
    }
}

task_of<void> relay_server::copyToEntry(session_ptr relayed)
{
    std::array<char, copyBufferBytes> buffer {};
    while (true) {
        auto [readError, count] = co_await relayed->endpoint.async_read_some(asio::buffer(buffer), asTuple);
        bool ended = readError == asio::error::eof;
        if (ended && !relayed->isRequestSent()) {
            // A failed write takes the socket's error with it, so that the read after it reports an ordinary end. What was sent to the
            // entry before may still be a whole response.
            boost::system::error_code ignored;
            relayed->entry.shutdown(tcp::socket::shutdown_send, ignored);
            session::startTimer(relayed, closeTimeout);
            co_return;
        }
        if (readError && !ended) {
            // Closing without an empty frame tells the other entry that the endpoint's connection broke.
            relayed->close();
            co_return;
        }
        auto length = encodeFrameLength(ended ? 0 : count);
        std::array<asio::const_buffer, 2> frame { asio::buffer(length), asio::buffer(buffer, ended ? 0 : count) };
        auto [writeError, written] = co_await asio::async_write(relayed->entry, frame, asTuple);
        if (writeError) {
            relayed->close();
            co_return;
        }
        if (ended) {
            session::startTimer(relayed, closeTimeout);
            co_return;
        }
    }
}

} // namespace pistachiolatch
