#include "scheduling/slot_planner.h"

#include "scheduling/candidate_groups.h"
#include "scheduling/time_units.h"
#include <algorithm>
#include <cmath>

namespace pistachiolatch {

namespace {
    /// Loads, as shares of all slots, at which a service becomes queued and ceases to be.
    constexpr double queuedAbove = 0.6;
    constexpr double calmBelow = 0.4;
    /// How long the load must stay low before entries choose by themselves again.
    constexpr milliseconds calmPeriod { 2000 };
    /// Service time of a service without completed calls.
    constexpr double defaultServiceMs = 50;
    constexpr double minSampleWeight = 0.02;
    /// Nearly all calls end within this multiple of the mean service time.
    constexpr int tailFactor = 2;
    constexpr double failureSmoothing = 0.05;
    /// An endpoint that fails all its calls is used only if all others are full.
    constexpr double failureCost = 4;
    constexpr double remoteCost = 0.02;
    /// Operators are told how many endpoints are at least as much slower than usual.
    constexpr double slowAbove = 1.5;
    constexpr double percent = 100;
    /// An endpoint that has just started and is still slow is used only if the others are nearly full.
    constexpr double coldCost = 1;
    /// Backoff after a refusal, in mean service times, doubled with each further one.
    constexpr unsigned maxBackoffDoublings = 3;
}

void slot_planner::updateEndpoint(const wire::endpoint_row& row)
{
    const auto& report = row.report();
    if (report.state() == wire::ENDPOINT_GONE) {
        removeEndpoint(report.id());
        return;
    }
    if (report.stage() != wire::STAGE_ANY || report.slots() == 0)
        return;
    auto& updated = m_endpoints[report.id()];
    if (updated.row.report().born_ms() != report.born_ms()) {
        updated.failureRate = 0;
        updated.refusals = 0;
        updated.backoffUntil = {};
        updated.window = {};
        updated.slowdown = {};
        m_breaker.reset(report.id());
    }
    updated.row = row;
    m_pacer.update(row);
}

void slot_planner::removeEndpoint(const std::string& id)
{
    m_pacer.remove(id);
    if (m_endpoints.erase(id) == 0)
        return;
    m_breaker.reset(id);
    // Otherwise its calls would take slots from an endpoint that returns under the same id.
    for (auto& [entry, calls] : m_entries) {
        std::erase_if(calls.placed, [&](const auto& item) { return item.second.endpoint == id; });
        calls.unplaced.erase(id);
    }
}

bool slot_planner::isUsable(const endpoint& candidate, const std::string& service) const
{
    const auto& report = candidate.row.report();
    return report.service() == service && report.state() == wire::ENDPOINT_SERVING && !candidate.row.silent() && !m_evacuated.count(report.data_centre());
}

unsigned slot_planner::capacityOf(const endpoint& candidate, time_point now)
{
    return candidate.window.limit(candidate.row.report().slots(), candidate.slowdown.relativeAt(now));
}

void slot_planner::recordSlowdown(endpoint& reporter, unsigned stated, time_point reportedAt)
{
    // Zero means unknown, which the estimate ignores.
    reporter.slowdown.record(stated / percent, reportedAt);
}

duration slot_planner::meanServiceTime(const std::string& service) const
{
    auto found = m_services.find(service);
    auto ms = found == m_services.end() || found->second.samples == 0 ? defaultServiceMs : found->second.meanServiceMs;
    return fromMs(ms);
}

double slot_planner::loadOf(const endpoint& candidate, time_point now) const
{
    double placed = candidate.placed;
    double unplaced = candidate.unplaced;
    const auto& service = candidate.row.report().service();
    auto found = m_services.find(service);
    // Once entries ask here, what they had placed before completes within about twice the service time.
    if (found != m_services.end() && found->second.queued)
        unplaced *= std::clamp(1 - toMs(now - found->second.queuedSince) / (tailFactor * toMs(meanServiceTime(service))), 0.0, 1.0);
    return placed + unplaced;
}

std::vector<slot_planner::endpoint*> slot_planner::candidates(const placement_request& request, time_point now)
{
    candidate_groups<endpoint> groups;
    for (auto& [id, candidate] : m_endpoints) {
        if (isUsable(candidate, request.service) && request.version.allows(candidate.row.report()) && !request.exclude.count(id) && now >= candidate.backoffUntil)
            groups.add(candidate, id, request.avoid, m_breaker, now);
    }
    return groups.preferred();
}

bool slot_planner::hasEndpoints(const placement_request& request) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& item) {
        return isUsable(item.second, request.service) && request.version.allows(item.second.row.report()) && !request.exclude.count(item.first);
    });
}

engine_placement slot_planner::place(const std::string& entry, const placement_request& request, time_point now)
{
    endpoint* best = nullptr;
    double bestCost = 0;
    for (auto* candidate : candidates(request, now)) {
        const auto& report = candidate->row.report();
        auto requests = loadOf(*candidate, now);
        if (requests + 1 > capacityOf(*candidate, now) || !m_pacer.allows(report.id(), now))
            continue;
        double tieBreak = std::uniform_real_distribution<double>(0, 0.01)(m_random);
        // The time until the call is done, in usual times beyond the first: a free slot of a slow endpoint is worth as much as a
        // place in the queue of one that is as much faster.
        double load = requests / report.slots();
        double time = load + (candidate->slowdown.at(now) - 1) * (1 + load);
        double cost = time + failureCost * candidate->failureRate + tieBreak;
        cost += report.data_centre() == request.dataCentre ? 0 : remoteCost;
        cost += report.cold_ms() > 0 ? coldCost : 0;
        if (best && cost >= bestCost)
            continue;
        best = candidate;
        bestCost = cost;
    }
    if (!best)
        return { .full = true, .decode = {}, .prefill = {} };
    const auto& id = best->row.report().id();
    ++best->placed;
    m_breaker.onSent(id, now);
    m_pacer.onSent(id, now);
    m_entries[entry].placed[request.callId] = { id, now };
    return { .decode = id, .prefill = {} };
}

void slot_planner::untrack(const entry_calls& calls)
{
    for (const auto& [id, call] : calls.placed)
        --m_endpoints[call.endpoint].placed;
    for (const auto& [id, count] : calls.unplaced)
        m_endpoints[id].unplaced -= count;
}

void slot_planner::track(const entry_calls& calls)
{
    for (const auto& [id, call] : calls.placed)
        ++m_endpoints[call.endpoint].placed;
    for (const auto& [id, count] : calls.unplaced)
        m_endpoints[id].unplaced += count;
}

void slot_planner::replaceCalls(const std::string& entry, const std::vector<wire::running_call>& calls, const std::vector<wire::endpoint_load>& load, time_point now)
{
    auto& tracked = m_entries[entry];
    entry_calls current;
    std::map<std::string, unsigned> listed;
    for (const auto& call : calls) {
        if (!m_endpoints.count(call.endpoint()))
            continue;
        auto before = tracked.placed.find(call.id());
        current.placed[call.id()] = { call.endpoint(), before == tracked.placed.end() ? now : before->second.placedAt };
        ++listed[call.endpoint()];
    }
    for (const auto& [id, call] : tracked.placed) {
        if (now - call.placedAt <= maxPlacementDelay)
            current.placed.emplace(id, call);
    }
    for (const auto& row : load) {
        auto reporter = m_endpoints.find(row.id());
        if (reporter == m_endpoints.end())
            continue;
        recordSlowdown(reporter->second, row.slowdown_percent(), now - milliseconds(row.slowdown_age_ms()));
        auto known = listed[row.id()];
        if (row.requests() > known)
            current.unplaced[row.id()] = row.requests() - known;
    }
    untrack(tracked);
    tracked = std::move(current);
    track(tracked);
}

bool slot_planner::release(const std::string& entry, std::uint64_t callId, bool succeeded, time_point now, const wire::endpoint_statement& stated)
{
    auto calls = m_entries.find(entry);
    if (calls == m_entries.end())
        return false;
    auto ended = calls->second.placed.find(callId);
    if (ended == calls->second.placed.end())
        return false;
    auto call = ended->second;
    calls->second.placed.erase(ended);
    auto& endpoint = m_endpoints[call.endpoint];
    endpoint.window.record({ stated.running(), stated.waiting(), stated.slots() }, loadOf(endpoint, now));
    recordSlowdown(endpoint, stated.slowdown_percent(), now);
    --endpoint.placed;
    m_breaker.onInconclusive(call.endpoint);
    if (!succeeded)
        return true;
    auto& service = m_services[endpoint.row.report().service()];
    auto weight = std::max(minSampleWeight, 1.0 / ++service.samples);
    service.meanServiceMs += weight * (toMs(now - call.placedAt) - service.meanServiceMs);
    service.meanSlowdown += weight * (endpoint.slowdown.at(now) - service.meanSlowdown);
    return true;
}

void slot_planner::recordSuccess(const std::string& id)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    m_breaker.onSuccess(id);
    found->second.failureRate -= failureSmoothing * found->second.failureRate;
    found->second.refusals = 0;
}

void slot_planner::recordFailure(const std::string& id, time_point now)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    m_breaker.onFailure(id, now);
    found->second.failureRate += failureSmoothing * (1 - found->second.failureRate);
}

void slot_planner::recordRefusal(const std::string& id, time_point now)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    found->second.window.recordRefusal(loadOf(found->second, now));
    if (now < found->second.backoffUntil)
        return;
    auto doublings = std::min(found->second.refusals++, maxBackoffDoublings);
    found->second.backoffUntil = now + meanServiceTime(found->second.row.report().service()) * (1 << doublings);
}

void slot_planner::removeEntry(const std::string& entry)
{
    auto found = m_entries.find(entry);
    if (found == m_entries.end())
        return;
    untrack(found->second);
    m_entries.erase(found);
}

bool slot_planner::isQueued(const std::string& service) const
{
    auto found = m_services.find(service);
    return found != m_services.end() && found->second.queued;
}

bool slot_planner::updateQueued(time_point now)
{
    struct service_load {
        double requests = 0;
        double slots = 0;
        bool limited = false;
    };
    std::map<std::string, service_load> loads;
    for (const auto& [id, candidate] : m_endpoints) {
        const auto& report = candidate.row.report();
        auto& load = loads[report.service()];
        load.requests += loadOf(candidate, now);
        if (!isUsable(candidate, report.service()))
            continue;
        load.slots += report.slots();
        load.limited = load.limited || m_pacer.isPaced(id, now);
    }
    bool changed = false;
    for (const auto& [name, load] : loads) {
        auto& service = m_services[name];
        bool busy = load.slots > 0 && (load.limited || load.requests > queuedAbove * load.slots);
        bool calm = load.slots == 0 || (!load.limited && load.requests < calmBelow * load.slots);
        if (!calm)
            service.calmSince = {};
        else if (service.calmSince == time_point {})
            service.calmSince = now;
        bool queued = service.queued ? load.slots > 0 && (!calm || now - service.calmSince < calmPeriod) : busy;
        if (queued == service.queued)
            continue;
        logEvent(queued ? "service_queued" : "service_unqueued", { { "service", name }, { "requests", std::lround(load.requests) }, { "slots", std::lround(load.slots) }, { "service_ms", std::lround(toMs(meanServiceTime(name))) }, { "slowdown_percent", std::lround(percent * meanSlowdownNow(name, now)) } });
        service.queued = queued;
        service.queuedSince = now;
        changed = true;
    }
    return changed;
}

std::vector<std::string> slot_planner::queuedServices() const
{
    std::vector<std::string> queued;
    for (const auto& [name, service] : m_services) {
        if (service.queued)
            queued.push_back(name);
    }
    return queued;
}

double slot_planner::meanSlowdownNow(const std::string& service, time_point now) const
{
    double sum = 0;
    unsigned count = 0;
    for (const auto& [id, candidate] : m_endpoints) {
        if (!isUsable(candidate, service))
            continue;
        sum += candidate.slowdown.at(now);
        ++count;
    }
    return count == 0 ? 1 : sum / count;
}

std::optional<unsigned> slot_planner::slowEndpoints(time_point now) const
{
    std::optional<unsigned> slow;
    for (const auto& [id, candidate] : m_endpoints) {
        if (candidate.slowdown.isKnown())
            slow = slow.value_or(0) + (candidate.slowdown.at(now) >= slowAbove ? 1 : 0);
    }
    return slow;
}

duration slot_planner::timeToFirstEvent(const placement_request& request) const
{
    return meanServiceTime(request.service) * tailFactor;
}

double slot_planner::expectedCompletions(const std::string& service, duration within, time_point now) const
{
    auto learnt = m_services.find(service);
    auto meanSlowdown = learnt == m_services.end() ? 1 : learnt->second.meanSlowdown;
    // Slots that would do the same at the mean speed.
    double busySlots = 0;
    double pacedCalls = 0;
    for (const auto& [id, candidate] : m_endpoints) {
        if (!isUsable(candidate, service))
            continue;
        // A cold or limited endpoint may have free slots, but takes the next call only after a pause.
        pacedCalls += m_pacer.expectedCalls(id, within, now);
        // The mean service time includes the time that calls wait ahead of the slots.
        auto countedCalls = capacityOf(candidate, now) - endpoint_window::minAhead;
        if (!m_pacer.namesLimit(id))
            busySlots += std::min(loadOf(candidate, now), static_cast<double>(countedCalls)) * meanSlowdown / candidate.slowdown.at(now + within / 2);
    }
    return pacedCalls + busySlots * toMs(within) / toMs(meanServiceTime(service));
}

} // namespace pistachiolatch
