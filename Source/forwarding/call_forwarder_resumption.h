#pragma once
// Streams that are continued, by their caller or within one response, at the software version that began them. Included only
// by call_forwarder.h.
#include "forwarding/call_forwarder.h"
#include "forwarding/call_forwarder_common.h"
#include <algorithm>

namespace pistachiolatch {

namespace forwarding_detail {
    /// How long an origin outlives its caller's deadline: callers' clocks start earlier or later than the entry's.
    constexpr milliseconds originRetention { 10000 };
    /// Time for an endpoint to tell its run. It takes no slot, so that only an endpoint that doesn't respond takes longer.
    constexpr milliseconds runCheckTimeout { 250 };
    /// Connections that are opened until one stays usable behind the check.
    constexpr int maxRunChecks = 2;
    /// Retry-After while no endpoint has the version that began a stream. One that crashed is back within seconds.
    constexpr milliseconds versionRetryAfter { 2000 };
}

template <call_codec Codec>
task_of<std::optional<error_response>> call_forwarder<Codec>::resolveOrigin()
{
    auto startedAt = m_shared.clock.now();
    wire::stream_origin_query query;
    query.set_stream(m_metadata.firstAttemptId.empty() ? 0 : m_stream);
    for (const auto& target : m_route->services)
        query.add_services(target.service);
    query.set_route(route_service_history::keyOf(*m_route));
    query.set_max_age_ms(saturatingCast<std::uint32_t>(m_route->timeout.count()));
    pending_reply<origin_resolution> reply(m_shared.context.get_executor());
    m_shared.link.streamOrigins().resolve(query, reply.completer());
    auto answer = co_await reply.wait(timeLeft());
    auto resolution = answer.value_or(origin_resolution {});
    bool isKnown = resolution.knowledge == origin_knowledge::Known && !resolution.origin.softwareVersion.empty();
    bool isRouted = std::any_of(m_route->services.begin(), m_route->services.end(), [&](const auto& target) { return target.weight > 0 && target.service == resolution.origin.service; });
    m_shared.counters.count(fmt::format("stream_resumed_{}", originKnowledgeName(resolution)));
    logEvent("stream_resumed", { { "request", m_metadata.id }, { "first_attempt", m_metadata.firstAttemptId }, { "origin", originKnowledgeName(resolution) }, { "service", resolution.origin.service }, { "software_version", resolution.origin.softwareVersion }, { "leader", m_shared.link.leader() }, { "ms", std::chrono::duration_cast<milliseconds>(m_shared.clock.now() - startedAt).count() } });
    if (isKnown && isRouted) {
        m_origin = resolution.origin;
        co_return std::nullopt;
    }
    if (isKnown)
        co_return error_response { reason::StreamVersionUnavailable, httpStatus(reason::StreamVersionUnavailable), forwarding_detail::versionRetryAfter };
    co_return error_response { reason::StreamOriginUnknown, httpStatus(reason::StreamOriginUnknown), forwarding_detail::defaultRetryAfter };
}

template <call_codec Codec>
bool call_forwarder<Codec>::stopIfVersionGone(reason& cause)
{
    if (!m_origin || (!m_origin->softwareVersion.empty() && m_shared.endpoints.hasVersion(m_service->name, m_origin->softwareVersion, maxLeavingTimeToSelect())))
        return false;
    cause = reason::StreamVersionUnavailable;
    m_noRetryReason = no_retry_reason::VersionUnavailable;
    m_retryAfter = forwarding_detail::versionRetryAfter;
    return true;
}

template <call_codec Codec>
bool call_forwarder<Codec>::onlyLeavingCanContinue() const
{
    return m_origin && !m_shared.endpoints.hasVersion(m_service->name, m_origin->softwareVersion, milliseconds(0));
}

template <call_codec Codec>
bool call_forwarder<Codec>::mayUse(const selected_endpoint& endpoint) const
{
    return !m_origin || (!m_origin->softwareVersion.empty() && endpoint.softwareVersion == m_origin->softwareVersion);
}

template <call_codec Codec>
void call_forwarder<Codec>::requireOrigin(endpoint_query& query) const
{
    if (!m_origin)
        return;
    query.version.required = m_origin->softwareVersion;
    query.maxLeavingTime = onlyLeavingCanContinue() ? maxLeavingTimeToSelect() : milliseconds(0);
    // The endpoint itself admits a stream that was begun as far as it has memory; leaving it out would end the stream for sure.
    query.memoryTokens = 0;
}

template <call_codec Codec>
void call_forwarder<Codec>::describeStream(wire::engine_plan_request& request)
{
    if (m_stream == 0)
        return;
    request.set_stream(m_stream);
    request.set_placement(++m_placements);
    request.set_stream_lifetime_ms(saturatingCast<std::uint32_t>(streamLifetime().count()));
}

template <call_codec Codec>
milliseconds call_forwarder<Codec>::streamLifetime() const
{
    auto allowed = std::max(m_metadata.deadline.value_or(milliseconds(0)), m_route->timeout) - age();
    return std::max(milliseconds(0), allowed) + forwarding_detail::originRetention;
}

template <call_codec Codec>
void call_forwarder<Codec>::recordPlacement()
{
    if (m_stream == 0)
        return;
    bool isKnownToLeader = m_leaderVersion && *m_leaderVersion == m_attempt.softwareVersion;
    if (!isKnownToLeader)
        ++m_placements;
    wire::stream_origin origin;
    origin.set_stream(m_stream);
    origin.set_service(m_service->name);
    origin.set_software_version(m_attempt.softwareVersion);
    origin.set_placement(m_placements);
    origin.set_lifetime_ms(saturatingCast<std::uint32_t>(streamLifetime().count()));
    m_shared.link.streamOrigins().recordPlacement(origin, isKnownToLeader);
}

template <call_codec Codec>
task_of<bool> call_forwarder<Codec>::openVerifiedConnection(const selected_endpoint& endpoint)
{
    m_attempt.softwareVersion.clear();
    for (int i = 0; i < forwarding_detail::maxRunChecks; ++i) {
        auto connection = co_await openConnection(endpoint, isIdempotent());
        if (!connection)
            co_return false;
        if (m_stream == 0 && !m_origin)
            co_return true;
        if (connection->incarnation == endpoint.incarnation) {
            m_attempt.softwareVersion = endpoint.softwareVersion;
            co_return true;
        }
        auto check = co_await checkRun(endpoint);
        // A stream that nobody has a part of may begin at an endpoint that doesn't tell its run; it can't be continued then.
        bool mayBegin = check == run_check::Untold && !m_origin;
        if ((check == run_check::Expected || mayBegin) && connection->isReadyForRequest()) {
            m_attempt.softwareVersion = check == run_check::Expected ? endpoint.softwareVersion : std::string();
            co_return true;
        }
        connection->close();
        m_attempt.connection.reset();
        if (isAborted())
            co_return false;
        // The endpoint may have dropped an idle connection, which says nothing about a new one.
        bool mayBeDropped = check == run_check::Failed && !m_attemptExpired && i == 0;
        if (mayBeDropped) {
            m_shared.pool.discard(endpoint.id);
            continue;
        }
        if (check == run_check::Failed || check == run_check::Other) {
            recordOutcome(endpoint.id, endpoint_outcome::Unreachable);
            if (check == run_check::Other)
                m_shared.link.reportUnreachable(endpoint.id, endpoint.incarnation);
            co_return false;
        }
    }
    co_return false;
}

template <call_codec Codec>
task_of<typename call_forwarder<Codec>::run_check> call_forwarder<Codec>::checkRun(const selected_endpoint& endpoint)
{
    auto connection = m_attempt.connection;
    m_attempt.sentAt = m_shared.clock.now();
    connection->startSend(Codec::encodeStatusRequest(endpoint.address), expectOwnResponse(), m_shared.sendWindow, m_shared.clock);
    startAttemptTimer(forwarding_detail::runCheckTimeout);
    std::string body;
    response_metadata response;
    auto head = co_await readHead(response);
    auto end = body_end::Reset;
    if (head == head_result::Received) {
        recordStatements(endpoint, response);
        end = co_await connection->readRemainingBody(body);
    }
    cancelAttemptTimer();
    auto result = run_check::Failed;
    if (isCompleteBody(end)) {
        // An endpoint whose reports state no start time can't be told from a later run either.
        bool tellsRun = connection->status() == 200 && endpoint.incarnation != 0;
        auto incarnation = tellsRun ? Codec::parseStatusIncarnation(body) : std::nullopt;
        result = !incarnation ? run_check::Untold : *incarnation == endpoint.incarnation ? run_check::Expected
                                                                                         : run_check::Other;
    }
    m_shared.counters.count("endpoint_run_checked");
    if (result == run_check::Expected)
        connection->incarnation = endpoint.incarnation;
    else
        logEvent("endpoint_run_unverified", { { "request", m_metadata.id }, { "endpoint", endpoint.id }, { "born", endpoint.incarnation }, { "answered", isCompleteBody(end) ? 1 : 0 }, { "other_run", result == run_check::Other ? 1 : 0 } });
    co_return result;
}

} // namespace pistachiolatch
