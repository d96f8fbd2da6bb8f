#pragma once
#include "forwarding/call_forwarder.h"
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <set>

namespace pistachiolatch {

struct gateway_settings {
    std::string listen;
    /// After the order to shut down, new connections are still taken for this long: whoever sends callers here needs
    /// a moment to notice that this entry is no longer ready.
    milliseconds acceptWhileDraining { 2500 };
};

/// The listening side of an entry: reads callers' requests and hands each to a forward_call.
/// Used on the context's thread.
template <call_codec Dialect>
class call_gateway {
public:
    call_gateway(forwarding_context shared, gateway_settings settings);

    /// Errors: address in use.
    result<void> listen();
    /// Begins to shut down: every answer closes its connection, new connections are taken for a while longer.
    void drain();
    /// Whether nothing is left to do after drain().
    bool isDrained() const { return !m_acceptor.is_open() && m_active == 0; }
    void stop();

private:
    struct caller_state {
        std::shared_ptr<caller_channel> channel;
        /// When the connection began to wait for a request, or to receive one.
        time_point phaseSince;
        bool receiving = false;
        bool inCall = false;
        /// The call being served, or null between calls.
        forward_call<Dialect>* call = nullptr;
    };
    using caller_handle = std::shared_ptr<caller_state>;

    void accept();
    task_of<void> serve(caller_handle caller);
    task_of<std::optional<caller_request>> readRequest(caller_handle caller);
    task_of<void> refuseUnreadable(const caller_handle& caller, boost::system::error_code error);
    /// Whether so much of the time for shutting down has passed that a call taken now might be cut off by its end.
    bool endsSoon() const { return m_shared.draining && m_shared.clock.now() - m_drainingSince > m_settings.acceptWhileDraining; }
    void sweep();
    void scheduleSweep();
    caller_limits limits() const;

    forwarding_context m_shared;
    gateway_settings m_settings;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_sweepTimer;
    std::set<caller_handle> m_callers;
    time_point m_drainingSince {};
    unsigned m_active = 0;
    bool m_stopped = false;
};

namespace gateway_detail {
    constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    /// How often waiting connections are looked at; idle limits are seconds long.
    constexpr milliseconds sweepInterval { 500 };
    /// A caller that takes nothing for this long is given up; its endpoint works for nobody.
    constexpr milliseconds mostWriteTime { 10000 };
    constexpr milliseconds acceptPause { 20 };
}

template <call_codec Dialect>
call_gateway<Dialect>::call_gateway(forwarding_context shared, gateway_settings settings)
    : m_shared(shared)
    , m_settings(std::move(settings))
    , m_acceptor(shared.context)
    , m_sweepTimer(shared.context)
{
}

template <call_codec Dialect>
result<void> call_gateway<Dialect>::listen()
{
    BOOST_OUTCOME_TRYV(listenOn(m_acceptor, m_settings.listen));
    accept();
    scheduleSweep();
    return ok();
}

template <call_codec Dialect>
void call_gateway<Dialect>::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
        if (m_stopped || !m_acceptor.is_open())
            return;
        if (error) {
            // Out of file descriptors, most likely: a pause lets connections end.
            auto pause = std::make_shared<boost::asio::steady_timer>(m_shared.context, gateway_detail::acceptPause);
            pause->async_wait([this, pause](boost::system::error_code) { accept(); });
            return;
        }
        auto caller = std::make_shared<caller_state>();
        caller->channel = std::make_shared<caller_channel>(std::move(socket), m_shared.clock);
        m_callers.insert(caller);
        boost::asio::co_spawn(m_shared.context, serve(caller), boost::asio::detached);
        accept();
    });
}

template <call_codec Dialect>
caller_limits call_gateway<Dialect>::limits() const
{
    const auto& table = m_shared.link.table();
    return table ? table->source().limits : caller_limits {};
}

template <call_codec Dialect>
task_of<void> call_gateway<Dialect>::serve(caller_handle caller)
{
    while (!caller->channel->isClosed()) {
        auto request = co_await readRequest(caller);
        if (!request)
            break;
        caller->inCall = true;
        ++m_active;
        bool goesOn = false;
        bool tooLate = endsSoon();
        {
            forward_call<Dialect> call(m_shared, caller->channel, std::move(*request));
            if (tooLate) {
                co_await call.refuseAtShutdown();
            } else {
                caller->call = &call;
                goesOn = co_await call.run();
                caller->call = nullptr;
            }
        }
        --m_active;
        caller->inCall = false;
        if (!goesOn)
            break;
    }
    caller->channel->close();
    m_callers.erase(caller);
}

template <call_codec Dialect>
task_of<std::optional<caller_request>> call_gateway<Dialect>::readRequest(caller_handle caller)
{
    namespace http = boost::beast::http;
    auto bounds = limits();
    auto& channel = *caller->channel;
    http::request_parser<http::string_body> parser;
    parser.header_limit(bounds.headerBytes);
    parser.body_limit(bounds.bodyBytes);
    caller->phaseSince = m_shared.clock.now();
    caller->receiving = false;
    auto [headError, headBytes] = co_await http::async_read_header(channel.socket(), channel.buffer(), parser, gateway_detail::asTuple);
    auto error = headError;
    caller->receiving = true;
    caller->phaseSince = m_shared.clock.now();
    if (!error && parser.get()[http::field::expect] == "100-continue") {
        std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        bool written = co_await channel.write(std::move(interim));
        if (!written)
            co_return std::nullopt;
    }
    if (!error && !parser.is_done()) {
        auto [bodyError, bodyBytes] = co_await http::async_read(channel.socket(), channel.buffer(), parser, gateway_detail::asTuple);
        error = bodyError;
    }
    if (!error)
        co_return parser.release();
    co_await refuseUnreadable(caller, error);
    co_return std::nullopt;
}

template <call_codec Dialect>
task_of<void> call_gateway<Dialect>::refuseUnreadable(const caller_handle& caller, boost::system::error_code error)
{
    namespace http = boost::beast::http;
    bool isFaultOfMessage = error.category() == make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream && error != http::error::partial_message;
    if (!isFaultOfMessage || caller->channel->isClosed())
        co_return;
    auto why = error == http::error::header_limit ? reason::HeaderTooLarge : error == http::error::body_limit ? reason::BodyTooLarge
                                                                                                              : reason::BadRequest;
    m_shared.counters.countRefusal(why);
    logEvent("request_unreadable", { { "why", reasonName(why) }, { "error", error.message() } });
    auto bytes = Dialect::encodeErrorResponse({}, { why, httpStatus(why), std::nullopt }, true);
    bool written = co_await caller->channel->write(std::move(bytes));
    if (!written)
        co_return;
    // Closing with bytes unread would reset the connection before the caller has the answer.
    boost::system::error_code ignored;
    caller->channel->socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    std::array<char, 4096> dropped {};
    caller->phaseSince = m_shared.clock.now();
    while (true) {
        auto [readError, bytes] = co_await caller->channel->socket().async_read_some(boost::asio::buffer(dropped), gateway_detail::asTuple);
        if (readError)
            co_return;
    }
}

template <call_codec Dialect>
void call_gateway<Dialect>::scheduleSweep()
{
    m_sweepTimer.expires_after(gateway_detail::sweepInterval);
    m_sweepTimer.async_wait([this](boost::system::error_code error) {
        if (error || m_stopped)
            return;
        sweep();
        scheduleSweep();
    });
}

template <call_codec Dialect>
void call_gateway<Dialect>::sweep()
{
    auto now = m_shared.clock.now();
    auto bounds = limits();
    bool stopsAccepting = endsSoon();
    if (stopsAccepting && m_acceptor.is_open()) {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }
    for (const auto& caller : std::set<caller_handle>(m_callers)) {
        auto& channel = *caller->channel;
        bool stuck = channel.writingSince() != time_point {} && now - channel.writingSince() > gateway_detail::mostWriteTime;
        bool begun = caller->receiving || channel.buffer().size() > 0;
        auto allowed = begun ? bounds.headerTimeout * 2 : bounds.idleTimeout;
        bool late = !caller->inCall && now - caller->phaseSince > allowed;
        bool idleAtEnd = stopsAccepting && !caller->inCall && !begun;
        if (stuck)
            logEvent("caller_write_timeout", { { "request", caller->call ? caller->call->requestId() : std::string() }, { "writing_ms", std::chrono::duration_cast<milliseconds>(now - channel.writingSince()).count() } });
        if (stuck || late || idleAtEnd)
            channel.close();
    }
    m_shared.pool.dropStale();
}

template <call_codec Dialect>
void call_gateway<Dialect>::drain()
{
    m_drainingSince = m_shared.clock.now();
}

template <call_codec Dialect>
void call_gateway<Dialect>::stop()
{
    m_stopped = true;
    m_sweepTimer.cancel();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& caller : std::set<caller_handle>(m_callers)) {
        if (caller->call)
            caller->call->cutAtShutdown();
        caller->channel->close();
    }
}

} // namespace pistachiolatch
