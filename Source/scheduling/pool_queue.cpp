// How a pool admits, holds back and refuses requests.
#include "scheduling/pool.h"

#include <algorithm>
#include <cmath>

namespace pistachiolatch {

namespace {
    constexpr milliseconds leastRetryAfter { 100 };
    constexpr milliseconds noEndpointRetry { 2000 };
    constexpr milliseconds poisonRetry { 0 };

    std::set<std::string> excludedBy(const pool_request& request)
    {
        return { request.place.exclude().begin(), request.place.exclude().end() };
    }
}

void pool::submit(pool_request request, time_point now)
{
    request.arrived = now;
    request.deadline = now + milliseconds(request.place.patience_ms());
    // An attempt asked for again after a lost answer keeps its place, or gets the answer it was given.
    if (m_queue.refresh(request))
        return;
    if (const auto* booked = m_endpoints.find(request.place.request_id(), request.place.attempt())) {
        answer(request, booked->endpoints);
        return;
    }
    m_queue.remove(request.place.request_id());
    if (!refusedAtOnce(request, now))
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

bool pool::refusedAtOnce(const pool_request& request, time_point now)
{
    if (m_suspects.crashCount(request.place.fingerprint()) >= crash_tracker::crashesToBlock) {
        refuse(request, reason::PoisonRequest, poisonRetry);
        return true;
    }
    if (!hasEndpoints(excludedBy(request), now)) {
        refuse(request, reason::NoEndpoint, noEndpointRetry);
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
    refuse(request, reason::DeadlineUnreachable, std::max(leastRetryAfter, wait - milliseconds(request.place.patience_ms())));
    return true;
}

milliseconds pool::expectedWait(const pool_request& request, time_point now) const
{
    auto slot = m_endpoints.nextSlot(m_kind == pool_kind::Model ? request.pieces() : 0, now);
    // Engines that can't be predicted give no ground for a refusal; the deadline in the queue decides then.
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

bool pool::mustWait(const pool_request& request) const
{
    // After one crash, copies of the request run one at a time, so that a second crash is seen before a third endpoint is risked.
    if (m_suspects.crashCount(request.place.fingerprint()) > 0 && m_endpoints.runsFingerprint(request.place.fingerprint()))
        return true;
    if (m_kind == pool_kind::Service || m_queue.organisations() < 2 || request.inFlightShare >= 100)
        return false;
    auto cap = std::max<std::uint32_t>(1, m_endpoints.slotsTotal() * request.inFlightShare / 100);
    return m_endpoints.inFlightOf(request.place.organisation()) >= cap;
}

bool pool::willBeLate(const pool_request& request, const chosen_endpoints& chosen) const
{
    if (!m_settings.deferLate || m_kind == pool_kind::Service || request.late || request.place.attempt() > 0 || chosen.ready == time_point())
        return false;
    return chosen.ready + m_targets.perToken > request.arrived + m_targets.firstToken;
}

bool pool::tryPlace(const pool_request& request, time_point now)
{
    if (m_suspects.crashCount(request.place.fingerprint()) >= crash_tracker::crashesToBlock) {
        refuse(request, reason::PoisonRequest, poisonRetry);
        m_queue.take(request.place.request_id(), request.place.attempt());
        return true;
    }
    if (mustWait(request))
        return false;
    auto exclude = excludedBy(request);
    auto chosen = std::visit([&](auto& policy) { return policy.choose(m_endpoints, request, exclude, m_settings.breaker, now); }, m_policy);
    if (!chosen)
        return false;
    if (willBeLate(request, *chosen)) {
        m_queue.demote(request.place.request_id(), request.place.attempt());
        return true;
    }
    auto taken = m_queue.take(request.place.request_id(), request.place.attempt());
    m_endpoints.reserve(taken, *chosen, now);
    answer(taken, *chosen);
    return true;
}

void pool::answer(const pool_request& request, const chosen_endpoints& chosen)
{
    static const wire::endpoint_announcement gone;
    auto endpointOf = [this](const std::string& id) -> const wire::endpoint_announcement& {
        const auto* endpoint = m_endpoints.table().find(id);
        return endpoint ? *endpoint : gone;
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

void pool::dropLate(time_point now)
{
    for (const auto& request : m_queue.removeIf([now](const pool_request& one) { return one.deadline <= now; })) {
        bool any = hasEndpoints(excludedBy(request), now);
        refuse(request, any ? reason::NoCapacity : reason::NoEndpoint, any ? std::max(leastRetryAfter, expectedWait(request, now)) : noEndpointRetry);
    }
}

} // namespace pistachiolatch
