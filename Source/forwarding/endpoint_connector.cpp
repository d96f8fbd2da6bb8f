#include "forwarding/endpoint_connector.h"

#include <boost/asio.hpp>

namespace pistachiolatch {

namespace asio = boost::asio;

namespace {
    /// Connecting within a region takes milliseconds. A lost SYN is retransmitted only after one second, which is too
    /// long for callers with a latency target of 100 ms.
    constexpr milliseconds connectTimeout { 250 };
    /// Covers the relay's own connection to the endpoint and the way there and back.
    constexpr milliseconds relayTimeout { 400 };
    /// Entries that are asked for one connection, and for how long: some may be cut off or leave without being known to.
    constexpr std::size_t maxRelaysTried = 4;
    constexpr milliseconds relayTryTime { 500 };
    /// Entries that have to fail before an endpoint is taken for unreachable.
    constexpr std::size_t relaysToBelieve = 2;
    constexpr milliseconds probeCheckInterval { 250 };

    /// Closes a connection unless its object is destroyed within a time.
    class close_timer {
    public:
        close_timer(asio::io_context& context, const std::shared_ptr<endpoint_connection>& connection, milliseconds timeout)
            : m_timer(context, timeout)
        {
            m_timer.async_wait([connection, done = m_done](boost::system::error_code error) {
                if (!error && !*done)
                    connection->close();
            });
        }
        ~close_timer() { *m_done = true; }
        close_timer(const close_timer&) = delete;
        close_timer& operator=(const close_timer&) = delete;

    private:
        asio::steady_timer m_timer;
        std::shared_ptr<bool> m_done = std::make_shared<bool>(false);
    };
}

endpoint_connector::endpoint_connector(asio::io_context& context, const clock_source& clock, metrics& counters, endpoint_registry& endpoints,
    connection_pool& pool, endpoint_paths& paths, relay_choice& relays, unreachable_handler onUnreachable)
    : m_context(context)
    , m_clock(clock)
    , m_metrics(counters)
    , m_endpoints(endpoints)
    , m_pool(pool)
    , m_paths(paths)
    , m_relays(relays)
    , m_onUnreachable(std::move(onUnreachable))
    , m_probeTimer(context)
{
}

task_of<bool> endpoint_connector::open(const selected_endpoint& endpoint, const std::string& requestId, bool idempotent, std::shared_ptr<endpoint_connection>& connection, const std::function<bool()>& isAborted)
{
    if (m_paths.choose(endpoint.id) == connection_path::Direct) {
        connection = m_pool.acquire(endpoint.id, requestId, idempotent);
        if (connection)
            co_return true;
        connection = std::make_shared<endpoint_connection>(m_context.get_executor());
        auto startedAt = m_clock.now();
        bool connected = co_await connectDirect(endpoint, connection);
        if (isAborted())
            co_return false;
        if (connected) {
            onDirectSuccess(endpoint.id);
            co_return true;
        }
        m_paths.recordDirectFailure(endpoint.id);
        bool timedOut = m_clock.now() - startedAt >= connectTimeout;
        if (timedOut && !m_paths.suspectsOwnLinks(endpoint.id)) {
            // Probably the endpoint is down. The call is retried elsewhere without waiting for another entry's attempt.
            verify(endpoint);
            co_return false;
        }
    }
    auto status = co_await connectThroughRelay(endpoint, false, connection, isAborted);
    if (isAborted())
        co_return false;
    applyRelayStatus(endpoint, status);
    co_return status == wire::RELAY_OPENED;
}

task_of<bool> endpoint_connector::connectDirect(selected_endpoint endpoint, std::shared_ptr<endpoint_connection> connection)
{
    close_timer timer(m_context, connection, connectTimeout);
    bool connected = co_await connection->connect(endpoint.address);
    if (!connected)
        connection->close();
    co_return connected;
}

task_of<wire::relay_status> endpoint_connector::connectThroughRelay(const selected_endpoint& endpoint, bool isProbe, std::shared_ptr<endpoint_connection>& connection, const std::function<bool()>& isAborted)
{
    std::set<std::string> tried;
    std::size_t unreachable = 0;
    bool moreRelays = true;
    auto tryUntil = m_clock.now() + relayTryTime;
    while (tried.size() < maxRelaysTried && m_clock.now() < tryUntil && !isAborted()) {
        auto relay = m_relays.choose(tried);
        moreRelays = relay.has_value();
        if (!relay)
            break;
        tried.insert(relay->address());
        wire::relay_open request;
        request.set_token(relay->token());
        request.set_endpoint(endpoint.id);
        request.set_born_ms(endpoint.incarnation);
        request.set_probe(isProbe);
        connection = std::make_shared<endpoint_connection>(m_context.get_executor());
        wire::relay_status status {};
        {
            close_timer timer(m_context, connection, relayTimeout);
            status = co_await connection->connectThrough(relay->address(), request);
        }
        if (status == wire::RELAY_OPENED)
            co_return status;
        connection->close();
        if (status == wire::RELAY_ENDPOINT_UNREACHABLE)
            ++unreachable;
        if (status == wire::RELAY_UNAVAILABLE) {
            m_relays.recordUnavailable(relay->address());
            m_metrics.count("relay_unavailable");
        }
    }
    // Where there are no further entries to ask, what this one and those that were asked found is all that can be known.
    bool isUnreachable = unreachable >= relaysToBelieve || (!moreRelays && (unreachable > 0 || m_relays.empty()));
    co_return isUnreachable ? wire::RELAY_ENDPOINT_UNREACHABLE : wire::RELAY_UNAVAILABLE;
}

void endpoint_connector::tellRelay(const std::string& relayAddress, const selected_endpoint& endpoint, milliseconds rest, bool leaves)
{
    auto relay = m_relays.find(relayAddress);
    if (!relay)
        return;
    wire::relay_open statement;
    statement.set_token(relay->token());
    statement.set_endpoint(endpoint.id);
    statement.set_born_ms(endpoint.incarnation);
    statement.set_rest_ms(saturatingCast<std::uint32_t>(rest.count()));
    statement.set_leaves(leaves);
    asio::co_spawn(m_context, sendStatement(relayAddress, std::move(statement)), asio::detached);
}

task_of<void> endpoint_connector::sendStatement(std::string relayAddress, wire::relay_open statement)
{
    auto connection = std::make_shared<endpoint_connection>(m_context.get_executor());
    close_timer timer(m_context, connection, relayTimeout);
    co_await connection->connectThrough(relayAddress, statement);
    connection->close();
}

void endpoint_connector::verify(const selected_endpoint& endpoint)
{
    if (m_verifying.insert(endpoint.id).second)
        asio::co_spawn(m_context, probeThroughRelay(endpoint), asio::detached);
}

task_of<void> endpoint_connector::probeThroughRelay(selected_endpoint endpoint)
{
    std::shared_ptr<endpoint_connection> connection;
    std::function<bool()> isAborted = [] { return false; };
    auto status = co_await connectThroughRelay(endpoint, true, connection, isAborted);
    if (connection)
        connection->close();
    m_verifying.erase(endpoint.id);
    applyRelayStatus(endpoint, status);
}

void endpoint_connector::applyRelayStatus(const selected_endpoint& endpoint, wire::relay_status status)
{
    if (status == wire::RELAY_ENDPOINT_UNREACHABLE)
        m_onUnreachable(endpoint);
    if (status != wire::RELAY_OPENED)
        return;
    m_metrics.count("connection_relayed");
    m_endpoints.recordReachable(endpoint.id);
    m_pool.discard(endpoint.id);
    bool wasBlocked = m_paths.isBlocked(endpoint.id);
    bool isCutOffNow = m_paths.recordReachedByRelay(endpoint.id);
    if (!wasBlocked)
        logEvent("endpoint_blocked", { { "endpoint", endpoint.id }, { "address", endpoint.address }, { "blocked", m_paths.blockedCount() } });
    if (isCutOffNow) {
        logEvent("endpoints_cut_off", { { "blocked", m_paths.blockedCount() }, { "endpoints", m_endpoints.size() } });
        m_metrics.count("endpoints_cut_off");
    }
    updateGauges();
    if (!std::exchange(m_probing, true))
        scheduleProbe();
}

void endpoint_connector::onDirectSuccess(const std::string& endpoint)
{
    auto blockedBefore = m_paths.blockedCount();
    bool wasCutOff = m_paths.isCutOff();
    m_paths.recordDirectSuccess(endpoint);
    if (m_paths.blockedCount() == blockedBefore)
        return;
    logEvent("endpoints_reached", { { "endpoint", endpoint }, { "was_cut_off", wasCutOff ? 1 : 0 }, { "blocked_before", blockedBefore }, { "blocked", m_paths.blockedCount() } });
    updateGauges();
}

void endpoint_connector::updateGauges()
{
    m_metrics.gauge("endpoints_blocked", static_cast<double>(m_paths.blockedCount()));
    m_metrics.gauge("endpoints_cut_off", m_paths.isCutOff() ? 1 : 0);
}

void endpoint_connector::scheduleProbe()
{
    m_probeTimer.expires_after(probeCheckInterval);
    m_probeTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        if (auto id = m_paths.nextProbe()) {
            auto endpoint = m_endpoints.find(*id);
            if (endpoint)
                asio::co_spawn(m_context, probe(*endpoint), asio::detached);
            else
                m_paths.forget(*id);
        }
        m_probing = m_paths.blockedCount() > 0;
        if (m_probing)
            scheduleProbe();
        else
            updateGauges();
    });
}

task_of<void> endpoint_connector::probe(selected_endpoint endpoint)
{
    auto connection = std::make_shared<endpoint_connection>(m_context.get_executor());
    bool connected = co_await connectDirect(endpoint, connection);
    if (!connected)
        co_return;
    onDirectSuccess(endpoint.id);
    connection->close();
}

} // namespace pistachiolatch
