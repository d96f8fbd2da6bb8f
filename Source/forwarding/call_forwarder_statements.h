#pragma once
// What endpoints state about themselves in their responses. Included only by call_forwarder.h.
#include "forwarding/call_forwarder.h"
#include "forwarding/call_forwarder_common.h"

namespace pistachiolatch {

namespace forwarding_detail {
    constexpr unsigned unavailable = 503;
    /// Callers are told to come back within this share of the time after the first endpoint's rest.
    constexpr double restSpread = 0.3;
}

template <call_codec Codec>
void call_forwarder<Codec>::recordCallLimit(const selected_endpoint& endpoint, const response_metadata& response, bool isAnswer)
{
    // Only a whole answer tells that a limit is withdrawn; an endpoint may leave its state out of refusals and errors.
    if (response.callLimit || (isAnswer && !response.namesCallLimit))
        m_shared.link.onResponse(endpoint.id, endpoint.incarnation, response.callLimit, m_attempt.sentAt);
}

template <call_codec Codec>
void call_forwarder<Codec>::recordStatements(const selected_endpoint& endpoint, const response_metadata& response)
{
    auto status = m_attempt.connection->status();
    // Another endpoint sent a 421.
    if (status == forwarding_detail::misdirected)
        return;
    auto rest = status == forwarding_detail::unavailable ? response.restTime.value_or(milliseconds(0)) : milliseconds(0);
    if (rest > milliseconds(0)) {
        m_shared.counters.count("endpoint_rests");
        m_shared.endpoints.recordRest(endpoint, rest);
    }
    m_shared.endpoints.recordLeaving(endpoint, response.leaves, m_attempt.sentAt);
    // The endpoint asked the entry that connected to it.
    if (!m_attempt.connection->relayAddress().empty() && (rest > milliseconds(0) || response.leaves))
        m_shared.connector.tellRelay(m_attempt.connection->relayAddress(), endpoint, rest, response.leaves);
}

template <call_codec Codec>
void call_forwarder<Codec>::recordLoad(const selected_endpoint& endpoint, const response_metadata& response, wire::endpoint_statement& stated)
{
    // Another endpoint sent a 421.
    if (!response.load || m_attempt.connection->status() == forwarding_detail::misdirected)
        return;
    m_shared.endpoints.updateLoad(endpoint.id, *response.load);
    stated.set_running(response.load->running);
    stated.set_waiting(response.load->waiting);
    stated.set_slots(response.load->slots);
    constexpr double percent = 100;
    auto slowdown = std::min(response.load->slowdown.value_or(0), slowdown_estimate::maxSlowdown);
    stated.set_slowdown_percent(saturatingCast<std::uint32_t>(std::round(slowdown * percent)));
}

template <call_codec Codec>
bool call_forwarder<Codec>::stopIfResting(reason& cause)
{
    bool hasDecode = m_shared.endpoints.hasServing(m_service->name, wire::STAGE_DECODE);
    auto left = m_shared.endpoints.restLeft(m_service->name, hasDecode ? wire::STAGE_DECODE : wire::STAGE_ANY);
    if (left == duration(0) || m_responseStarted || m_origin)
        return false;
    cause = reason::EndpointsResting;
    m_noRetryReason = no_retry_reason::NoEndpoint;
    // Callers who all come back at the same moment would make the endpoints ask for rest again.
    auto spread = std::uniform_real_distribution<double>(1, 1 + forwarding_detail::restSpread)(m_shared.random);
    m_retryAfter = std::chrono::ceil<milliseconds>(left * spread);
    return true;
}

} // namespace pistachiolatch
