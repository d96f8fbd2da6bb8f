// Admission, queueing and refusal of a pool's requests.
#include "scheduling/pool.h"

#include <algorithm>
#include <cmath>

namespace pistachiolatch {

namespace {
    constexpr milliseconds minRetryAfter { 100 };
    constexpr milliseconds noEndpointRetry { 2000 };
    constexpr milliseconds poisonRetry { 0 };

    std::set<std::string> excludedEndpoints(const pool_request& request)
    {
        return { request.place.exclude().begin(), request.place.exclude().end() };
    }
}

void pool::submit(pool_request request, time_point now)
{
    request.arrived = now;
    request.deadline = now + milliseconds(request.place.patience_ms());
    // A repeated request, sent because the response was lost, keeps its place in the queue or gets the same response.
    if (m_queue.updateCall(request))
        return;
    if (const auto* reserved = m_endpoints.find(request.place.request_id(), request.place.attempt())) {
        accept(request, reserved->endpoints);
        return;
    }
    m_queue.remove(request.place.request_id());
    if (!refuseOnArrival(request, now))
        m_queue.push(std::move(request));
}

void pool::refuse(const pool_request& request, reason why, milliseconds retryAfter)
{
    pool_decision decision;
    decision.entryAddress = request.entryAddress;
    decision.entryIncarnation = request.entryIncarnation;
    decision.call = request.call;
    auto& placement = decision.placement;
    placement.set_shard(m_shard);
    placement.set_request_id(request.place.request_id());
    placement.set_attempt(request.place.attempt());
    placement.set_refused(std::string(reasonName(why)));
    placement.set_retry_after_ms(static_cast<std::uint32_t>(retryAfter.count()));
    m_decisions.push_back(std::move(decision));
}

bool pool::hasEndpoints(const std::set<std::string>& exclude, time_point now) const
{
    if (m_kind == pool_kind::Service)
        return !m_endpoints.usable("service", exclude, false, now).empty();
    return !m_endpoints.usable("prefill", exclude, false, now).empty() && !m_endpoints.usable("decode", exclude, false, now).empty();
}

bool pool::refuseOnArrival(const pool_request& request, time_point now)
{
    if (m_crashes.crashCount(request.place.fingerprint()) >= crash_tracker::crashesToBlock) {
        refuse(request, reason::PoisonRequest, poisonRetry);
        return true;
    }
    if (!hasEndpoints(excludedEndpoints(request), now)) {
        refuse(request, missingEndpointsReason(), noEndpointRetry);
        return true;
    }
    if (request.place.attempt() > 0 && !m_budget.tryRetry()) {
        refuse(request, reason::RetryBudgetSpent, noEndpointRetry);
        return true;
    }
    bool queues = std::visit([](const auto& policy) { return policy.queues; }, m_policy);
    if (!m_settings.admission || !queues || request.place.attempt() > 0)
        return false;
    auto wait = expectedWait(request, now);
    if (wait <= milliseconds(request.place.patience_ms()))
        return false;
    refuse(request, reason::DeadlineUnreachable, std::max(minRetryAfter, wait - milliseconds(request.place.patience_ms())));
    return true;
}

milliseconds pool::expectedWait(const pool_request& request, time_point now) const
{
    auto slot = m_endpoints.nextFreeSlot(m_kind == pool_kind::Model ? request.pieces() : 0, now);
    // Without a prediction the request is not refused here but at its deadline.
    auto slotWait = slot == time_point::max() ? milliseconds(0) : std::chrono::ceil<milliseconds>(slot - now);
    if (m_kind == pool_kind::Service)
        return m_queue.size() == 0 ? milliseconds(0) : slotWait;
    auto rate = m_endpoints.prefillRate(now);
    if (rate <= 0)
        return milliseconds(0);
    auto ahead = m_queue.tokensAhead(request.place.organisation(), request.weight, request.place.prompt_tokens());
    auto prefillWait = milliseconds(static_cast<std::int64_t>(std::ceil(1000.0 * ahead / rate)));
    return std::max(prefillWait, m_queue.size() == 0 ? milliseconds(0) : slotWait);
}

bool pool::isHeldBack(const pool_request& request) const
{
    // After one crash, copies of the request run one at a time, so that a second crash is detected before a third
    // endpoint is at risk.
    if (m_crashes.crashCount(request.place.fingerprint()) > 0 && m_endpoints.isRunning(request.place.fingerprint()))
        return true;
    if (m_kind == pool_kind::Service || m_queue.organisationCount() < 2 || request.inFlightShare >= 100)
        return false;
    auto cap = std::max<std::uint32_t>(1, m_endpoints.totalSlots() * request.inFlightShare / 100);
    return m_endpoints.inFlightCount(request.place.organisation()) >= cap;
}

bool pool::willBeLate(const pool_request& request, const chosen_endpoints& chosen) const
{
    if (!m_settings.deferLate || m_kind == pool_kind::Service || request.late || request.place.attempt() > 0 || chosen.ready == time_point())
        return false;
    return chosen.ready + m_targets.perToken > request.arrived + m_targets.firstToken;
}

bool pool::tryPlace(const pool_request& request, time_point now)
{
    if (m_crashes.crashCount(request.place.fingerprint()) >= crash_tracker::crashesToBlock) {
        refuse(request, reason::PoisonRequest, poisonRetry);
        m_queue.take(request.place.request_id(), request.place.attempt());
        return true;
    }
    if (isHeldBack(request))
        return false;
    auto exclude = excludedEndpoints(request);
    auto chosen = std::visit([&](auto& policy) { return policy.choose(m_endpoints, request, exclude, m_settings.breaker, now); }, m_policy);
    if (!chosen)
        return false;
    if (willBeLate(request, *chosen)) {
        m_queue.demote(request.place.request_id(), request.place.attempt());
        return true;
    }
    auto taken = m_queue.take(request.place.request_id(), request.place.attempt());
    m_endpoints.reserve(taken, *chosen, now);
    accept(taken, *chosen);
    return true;
}

void pool::accept(const pool_request& request, const chosen_endpoints& chosen)
{
    static const wire::endpoint_announcement unknown;
    auto endpointOf = [this](const std::string& id) -> const wire::endpoint_announcement& {
        const auto* endpoint = m_endpoints.table().find(id);
        return endpoint ? *endpoint : unknown;
    };
    pool_decision decision;
    decision.entryAddress = request.entryAddress;
    decision.entryIncarnation = request.entryIncarnation;
    decision.call = request.call;
    auto& placement = decision.placement;
    placement.set_shard(m_shard);
    placement.set_request_id(request.place.request_id());
    placement.set_attempt(request.place.attempt());
    placement.set_decode_id(chosen.decode);
    placement.set_decode_address(endpointOf(chosen.decode).address());
    placement.set_decode_incarnation(endpointOf(chosen.decode).incarnation());
    placement.set_prefill_id(chosen.prefill);
    placement.set_prefill_address(endpointOf(chosen.prefill).address());
    placement.set_prefill_incarnation(endpointOf(chosen.prefill).incarnation());
    m_decisions.push_back(std::move(decision));
}

void pool::refuseExpired(time_point now)
{
    // An evacuation ends when an operator says so, hardly while callers wait.
    bool evacuated = m_endpoints.isEvacuated();
    for (const auto& request : m_queue.removeIf([=](const pool_request& request) { return evacuated || request.deadline <= now; })) {
        bool available = hasEndpoints(excludedEndpoints(request), now);
        refuse(request, available ? reason::NoCapacity : missingEndpointsReason(), available ? std::max(minRetryAfter, expectedWait(request, now)) : noEndpointRetry);
    }
}

} // namespace pistachiolatch
