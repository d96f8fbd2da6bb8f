#include "forwarding/endpoint_registry.h"

#include <algorithm>
#include <cmath>

namespace pistachiolatch {

namespace {
    /// Exponential backoff after failures. The initial value covers refused connections during a restart; the maximum
    /// limits the cost of a dead endpoint to one call every few seconds.
    constexpr milliseconds initialBackoff { 250 };
    constexpr milliseconds maxBackoff { 4000 };
    /// An endpoint that refuses has a full queue, which drains within a few calls.
    constexpr milliseconds refusalBackoff { 60 };
    /// Weight of the latest call in the failure rate, which therefore reflects about the last ten calls.
    constexpr double failureSmoothing = 0.1;
    /// A failure rate of 1 costs as much as this many times a full load, so that an endpoint that fails some of its
    /// calls is selected only when the others are full.
    constexpr double failureCost = 4;
    /// Above this failure rate an endpoint is unhealthy, and the planner avoids it while others serve.
    constexpr double unhealthyFailureRate = 0.3;
    /// Load above which other data centres are considered, and the penalty for selecting one: traffic between data
    /// centres costs more than a short wait.
    constexpr double remoteLoadThreshold = 0.7;
    constexpr double remotePenalty = 0.15;
    /// Maximum share of memory to fill: outputs grow while calls run, and reports of other entries are half a second old.
    constexpr double maxMemoryShare = 0.92;
    constexpr std::size_t sampleSize = 3;
    /// A success this recent overrides that control reports the endpoint as silent: it may be partitioned from control
    /// only.
    constexpr milliseconds recentSuccessPeriod { 1000 };
    /// Endpoints report about every second.
    constexpr milliseconds maxReportAge { 1500 };
    /// Older reports of slowdowns are worth nothing to the leader.
    constexpr milliseconds maxSlowdownAge { 1000 };
    constexpr double percent = 100;
    /// How long an endpoint that a new leader doesn't know is kept; it announces itself several times in this period.
    constexpr milliseconds unconfirmedTimeout { 6000 };

    double loadRatio(unsigned requests, unsigned slots)
    {
        return slots > 0 ? static_cast<double>(requests) / slots : 0;
    }
}

endpoint_registry::endpoint_registry(const clock_source& clock, std::string dataCentre, std::uint64_t seed)
    : m_clock(clock)
    , m_dataCentre(std::move(dataCentre))
    , m_random(seed)
{
}

void endpoint_registry::onEndpoints(const google::protobuf::RepeatedPtrField<wire::endpoint_row>& rows, bool complete)
{
    auto now = m_clock.now();
    if (complete) {
        ++m_directory;
        for (auto& [id, endpoint] : m_endpoints) {
            endpoint.earlierSince = {};
            if (endpoint.unconfirmedSince == time_point {})
                endpoint.unconfirmedSince = now;
        }
    }
    for (const auto& row : rows)
        applyRow(row);
    applyEarlierRows();
    std::erase_if(m_endpoints, [&](const auto& item) {
        return item.second.unconfirmedSince != time_point {} && now - item.second.unconfirmedSince > unconfirmedTimeout;
    });
}

void endpoint_registry::applyRow(const wire::endpoint_row& row)
{
    const auto& report = row.report();
    if (auto valid = checkReport(report); !valid) {
        logEvent("endpoint_invalid", { { "error", valid.error().message } });
        return;
    }
    if (isStale(row))
        return;
    auto found = m_endpoints.find(report.id());
    if (report.state() == wire::ENDPOINT_GONE) {
        if (found != m_endpoints.end()) {
            logEvent("endpoint_gone", { { "endpoint", report.id() } });
            m_statements.forget(report.id());
            m_endpoints.erase(found);
        }
        return;
    }
    auto& endpoint = m_endpoints[report.id()];
    bool restarted = endpoint.report.born_ms() != report.born_ms();
    if (restarted || endpoint.report.state() != report.state() || endpoint.report.stage() != report.stage() || endpoint.silent != row.silent()) {
        logEvent("endpoint_known", { { "endpoint", report.id() }, { "born", report.born_ms() }, { "address", report.address() }, { "service", report.service() }, { "software_version", report.software_version() }, { "leaving", report.state() == wire::ENDPOINT_LEAVING ? 1 : 0 }, { "stage", static_cast<int>(report.stage()) }, { "silent", row.silent() ? 1 : 0 } });
    }
    // A restarted endpoint is a new process, so earlier failures don't count.
    if (restarted) {
        endpoint.failureRate = 0;
        endpoint.consecutiveFailures = 0;
        endpoint.failedLast = false;
        endpoint.backoffUntil = {};
        endpoint.slowdown = {};
    }
    if (restarted || report.sequence() != endpoint.report.sequence())
        endpoint.coldUntil = m_clock.now() + milliseconds(report.cold_ms());
    bool isLeaving = report.state() == wire::ENDPOINT_LEAVING;
    if (restarted || !isLeaving || endpoint.leavingSince == time_point {})
        endpoint.leavingSince = isLeaving ? m_clock.now() - milliseconds(row.leaving_ms()) : time_point {};
    endpoint.report = report;
    endpoint.silent = row.silent();
    endpoint.unconfirmedSince = {};
    endpoint.directory = m_directory;
    endpoint.earlierSince = {};
}

bool endpoint_registry::isStale(const wire::endpoint_row& row)
{
    const auto& report = row.report();
    auto found = m_endpoints.find(report.id());
    if (found == m_endpoints.end())
        return false;
    auto& endpoint = found->second;
    const auto& known = endpoint.report;
    bool isGone = report.state() == wire::ENDPOINT_GONE;
    bool countsAsEarlier = report.born_ms() < known.born_ms() || (report.born_ms() == known.born_ms() && report.sequence() < known.sequence() && !isGone);
    if (!countsAsEarlier || isGone)
        return countsAsEarlier;
    // A directory sends its rows in the order of its changes: it replaces a run that another writer reported.
    if (endpoint.directory == m_directory)
        return false;
    if (endpoint.earlierSince == time_point {})
        endpoint.earlierSince = m_clock.now();
    endpoint.earlierRow = row;
    return true;
}

void endpoint_registry::applyEarlierRows()
{
    auto now = m_clock.now();
    std::vector<wire::endpoint_row> rows;
    for (auto& [id, endpoint] : m_endpoints) {
        if (endpoint.earlierSince == time_point {} || now - endpoint.earlierSince <= unconfirmedTimeout)
            continue;
        endpoint.directory = m_directory;
        rows.push_back(endpoint.earlierRow);
    }
    for (const auto& row : rows)
        applyRow(row);
}

void endpoint_registry::onLoad(const google::protobuf::RepeatedPtrField<wire::endpoint_load>& others)
{
    applyEarlierRows();
    for (auto& [id, endpoint] : m_endpoints) {
        endpoint.otherRequests = 0;
        endpoint.otherTokens = 0;
    }
    for (const auto& load : others) {
        auto found = m_endpoints.find(load.id());
        if (found == m_endpoints.end())
            continue;
        found->second.otherRequests = load.requests();
        found->second.otherTokens = load.tokens();
    }
}

void endpoint_registry::fillLoad(google::protobuf::RepeatedPtrField<wire::endpoint_load>& own) const
{
    auto now = m_clock.now();
    for (const auto& [id, endpoint] : m_endpoints) {
        auto slowdownAge = now - endpoint.slowdown.reportedAt();
        bool tellsSlowdown = endpoint.slowdown.isKnown() && slowdownAge <= maxSlowdownAge;
        if (endpoint.ownRequests == 0 && !tellsSlowdown)
            continue;
        auto& load = *own.Add();
        load.set_id(id);
        load.set_requests(endpoint.ownRequests);
        load.set_tokens(endpoint.ownTokens);
        if (!tellsSlowdown)
            continue;
        load.set_slowdown_percent(saturatingCast<std::uint32_t>(std::round(percent * endpoint.slowdown.last())));
        load.set_slowdown_age_ms(saturatingCast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(slowdownAge).count()));
    }
}

void endpoint_registry::fillCalls(google::protobuf::RepeatedPtrField<wire::running_call>& calls) const
{
    for (const auto& [id, call] : m_runningCalls)
        *calls.Add() = call;
}

void endpoint_registry::addRunningCall(std::uint64_t id, const std::string& endpoint, std::uint64_t promptTokens, std::uint64_t outputTokens)
{
    auto& call = m_runningCalls[id];
    call.set_id(id);
    call.set_endpoint(endpoint);
    call.set_prompt_tokens(promptTokens);
    call.set_output_tokens(outputTokens);
}

void endpoint_registry::updateGeneratedTokens(std::uint64_t id, std::uint64_t tokens)
{
    auto found = m_runningCalls.find(id);
    if (found != m_runningCalls.end())
        found->second.set_generated(tokens);
}

bool endpoint_registry::hasServing(const std::string& service, wire::endpoint_stage stage) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& item) {
        const auto& report = item.second.report;
        return report.service() == service && report.stage() == stage && report.state() == wire::ENDPOINT_SERVING && !isEvacuated(item.second);
    });
}

bool endpoint_registry::isServing(const endpoint_record& endpoint, milliseconds maxLeavingTime, time_point now) const
{
    // What the endpoint says in its responses comes earlier than the report that control passes on.
    auto saidAt = m_statements.leavingSince(endpoint.report.id(), endpoint.report.born_ms());
    if (endpoint.report.state() == wire::ENDPOINT_SERVING && saidAt == time_point {})
        return true;
    auto since = endpoint.leavingSince == time_point {} || (saidAt != time_point {} && saidAt < endpoint.leavingSince) ? saidAt : endpoint.leavingSince;
    return since != time_point {} && now - since < maxLeavingTime;
}

void endpoint_registry::recordRest(const selected_endpoint& endpoint, milliseconds rest)
{
    logEvent("endpoint_rests", { { "endpoint", endpoint.id }, { "born", endpoint.incarnation }, { "rest_ms", rest.count() } });
    m_statements.recordRest(endpoint.id, endpoint.incarnation, m_clock.now() + rest);
}

void endpoint_registry::recordLeaving(const selected_endpoint& endpoint, bool leaves, time_point sentAt)
{
    bool saidBefore = saidLeaving(endpoint.id);
    m_statements.recordLeaving(endpoint.id, endpoint.incarnation, leaves, sentAt, m_clock.now());
    if (saidLeaving(endpoint.id) != saidBefore)
        logEvent("endpoint_said_leaving", { { "endpoint", endpoint.id }, { "born", endpoint.incarnation }, { "leaves", leaves ? 1 : 0 } });
}

bool endpoint_registry::isResting(const std::string& id) const
{
    auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && isResting(found->second, m_clock.now());
}

bool endpoint_registry::saidLeaving(const std::string& id) const
{
    auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && m_statements.leavingSince(id, found->second.report.born_ms()) != time_point {};
}

duration endpoint_registry::restLeft(const std::string& service, wire::endpoint_stage stage) const
{
    auto now = m_clock.now();
    auto shortest = duration::max();
    for (const auto& [id, endpoint] : m_endpoints) {
        const auto& report = endpoint.report;
        bool mayServe = report.service() == service && report.stage() == stage && isServing(endpoint, milliseconds(0), now) && !isEvacuated(endpoint) && !endpoint.silent;
        if (mayServe)
            shortest = std::min(shortest, m_statements.restsUntil(id, report.born_ms()) - now);
    }
    return shortest == duration::max() ? duration(0) : std::max(duration(0), shortest);
}

bool endpoint_registry::isLeavingLongerThan(const std::string& id, milliseconds time) const
{
    auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && !isServing(found->second, time, m_clock.now());
}

bool endpoint_registry::hasVersion(const std::string& service, const std::string& version, milliseconds maxLeavingTime) const
{
    auto now = m_clock.now();
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& item) {
        const auto& report = item.second.report;
        return report.service() == service && report.software_version() == version && report.stage() != wire::STAGE_PREFILL && isServing(item.second, maxLeavingTime, now) && !isEvacuated(item.second);
    });
}

void endpoint_registry::onEvacuated(const std::set<std::string>& dataCentres)
{
    // Endpoints may have become cold while their data centre was evacuated; their next reports tell.
    for (auto& [id, endpoint] : m_endpoints) {
        if (isEvacuated(endpoint) && !dataCentres.count(endpoint.report.data_centre()))
            endpoint.coldUntil = std::max(endpoint.coldUntil, m_clock.now() + maxReportAge);
    }
    m_evacuated = dataCentres;
}

bool endpoint_registry::isEvacuated(const std::string& id) const
{
    auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && isEvacuated(found->second);
}

bool endpoint_registry::isServiceEvacuated(const std::string& service) const
{
    if (m_evacuated.empty())
        return false;
    bool anyEvacuated = false;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.report.service() != service || endpoint.report.state() != wire::ENDPOINT_SERVING)
            continue;
        if (!isEvacuated(endpoint))
            return false;
        anyEvacuated = true;
    }
    return anyEvacuated;
}

bool endpoint_registry::isEligible(const endpoint_record& endpoint, const endpoint_query& query, time_point now) const
{
    const auto& report = endpoint.report;
    if (report.service() != query.service || report.stage() != query.stage || !isServing(endpoint, query.maxLeavingTime, now) || isEvacuated(endpoint))
        return false;
    if (isResting(endpoint, now))
        return false;
    if (!query.version.allows(report) || query.exclude.count(report.id()) || (endpoint.silent && now - endpoint.lastSuccessAt > recentSuccessPeriod))
        return false;
    if (query.excludeCold && now < endpoint.coldUntil)
        return false;
    if (query.maxRequests > 0 && endpoint.ownRequests + endpoint.otherRequests >= query.maxRequests)
        return false;
    if (query.memoryTokens == 0)
        return true;
    auto projectedTokens = static_cast<double>(endpoint.ownTokens + endpoint.otherTokens + query.tokens);
    return projectedTokens <= maxMemoryShare * static_cast<double>(query.memoryTokens) || endpoint.ownTokens + endpoint.otherTokens == 0;
}

bool endpoint_registry::isInBackoff(const endpoint_record& endpoint, time_point now) const
{
    return now < endpoint.backoffUntil;
}

double endpoint_registry::cost(const endpoint_record& endpoint, const endpoint_query& query, time_point now)
{
    double load = query.memoryTokens > 0 ? static_cast<double>(endpoint.ownTokens + endpoint.otherTokens) / static_cast<double>(query.memoryTokens)
                                         : loadRatio(endpoint.ownRequests + endpoint.otherRequests, query.requestCapacity > 0 ? query.requestCapacity : endpoint.report.slots());
    double cold = endpoint.report.cold_ms() > 0 ? 1 : 0;
    bool hasEngines = query.memoryTokens > 0 || query.stage != wire::STAGE_ANY;
    // The time until the call is done, in usual times beyond the first.
    double time = hasEngines ? load : load + (endpoint.slowdown.at(now) - 1) * (1 + load);
    return time + failureCost * endpoint.failureRate + cold;
}

const endpoint_registry::endpoint_record* endpoint_registry::selectFromSample(const std::vector<const endpoint_record*>& candidates, const endpoint_query& query)
{
    const endpoint_record* best = nullptr;
    double bestCost = 0;
    auto now = m_clock.now();
    auto offset = candidates.empty() ? 0 : m_random() % candidates.size();
    auto stride = candidates.size() > sampleSize ? 1 + m_random() % (candidates.size() - 1) : 1;
    for (std::size_t i = 0; i < std::min(sampleSize, candidates.size()); ++i) {
        const auto* endpoint = candidates[(offset + i * stride) % candidates.size()];
        auto candidateCost = cost(*endpoint, query, now);
        if (best && candidateCost >= bestCost)
            continue;
        best = endpoint;
        bestCost = candidateCost;
    }
    return best;
}

std::optional<selected_endpoint> endpoint_registry::select(endpoint_query query)
{
    const auto* best = selectBest(query);
    while (best && query.limits && !query.limits->tryTake(best->report.id(), query.entries, m_clock.now())) {
        query.exclude.insert(best->report.id());
        best = selectBest(query);
    }
    if (!best)
        return std::nullopt;
    return makeSelected(best->report);
}

const endpoint_registry::endpoint_record* endpoint_registry::selectBest(const endpoint_query& query)
{
    auto now = m_clock.now();
    const auto& preferred = query.preferredDataCentre.empty() ? m_dataCentre : query.preferredDataCentre;
    std::vector<const endpoint_record*> localCandidates;
    std::vector<const endpoint_record*> remoteCandidates;
    std::vector<const endpoint_record*> inBackoff;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!isEligible(endpoint, query, now))
            continue;
        if (isInBackoff(endpoint, now))
            inBackoff.push_back(&endpoint);
        else if (endpoint.report.data_centre() == preferred)
            localCandidates.push_back(&endpoint);
        else
            remoteCandidates.push_back(&endpoint);
    }
    const auto* best = selectFromSample(localCandidates, query);
    if (!best || cost(*best, query, now) > remoteLoadThreshold) {
        const auto* remote = selectFromSample(remoteCandidates, query);
        if (remote && (!best || cost(*remote, query, now) + remotePenalty < cost(*best, query, now)))
            best = remote;
    }
    return best ? best : selectFromSample(inBackoff, query);
}

std::optional<selected_endpoint> endpoint_registry::find(const std::string& id) const
{
    auto found = m_endpoints.find(id);
    auto now = m_clock.now();
    if (found == m_endpoints.end() || !isServing(found->second, milliseconds(0), now) || isResting(found->second, now) || isEvacuated(found->second))
        return std::nullopt;
    return makeSelected(found->second.report);
}

selected_endpoint endpoint_registry::makeSelected(const wire::endpoint_report& report)
{
    return { report.id(), report.address(), report.data_centre(), report.born_ms(), report.software_version() };
}

std::vector<std::string> endpoint_registry::unhealthyEndpoints(const std::string& service) const
{
    auto now = m_clock.now();
    std::vector<std::string> ids;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.report.service() == service && (isInBackoff(endpoint, now) || endpoint.failureRate > unhealthyFailureRate))
            ids.push_back(id);
    }
    return ids;
}

bool endpoint_registry::isUnhealthy(const std::string& id) const
{
    auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && (isInBackoff(found->second, m_clock.now()) || found->second.failureRate > unhealthyFailureRate);
}

bool endpoint_registry::mayFail(const std::string& id) const
{
    auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && (found->second.failedLast || isUnhealthy(id));
}

void endpoint_registry::addRequest(const std::string& id, std::uint64_t tokens)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    ++found->second.ownRequests;
    found->second.ownTokens += tokens;
}

void endpoint_registry::removeRequest(const std::string& id, std::uint64_t tokens)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    auto& endpoint = found->second;
    // The endpoint may have been removed and added again since addRequest(), which resets its counters.
    endpoint.ownRequests -= std::min(endpoint.ownRequests, 1U);
    endpoint.ownTokens -= std::min(endpoint.ownTokens, tokens);
}

void endpoint_registry::recordOutcome(const std::string& id, endpoint_outcome outcome)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    auto& endpoint = found->second;
    auto now = m_clock.now();
    endpoint.failedLast = outcome != endpoint_outcome::Succeeded;
    if (outcome == endpoint_outcome::Refused) {
        endpoint.backoffUntil = std::max(endpoint.backoffUntil, now + refusalBackoff);
        return;
    }
    bool failed = outcome != endpoint_outcome::Succeeded;
    endpoint.failureRate += failureSmoothing * ((failed ? 1.0 : 0.0) - endpoint.failureRate);
    if (!failed) {
        endpoint.consecutiveFailures = 0;
        endpoint.backoffUntil = {};
        endpoint.lastSuccessAt = now;
        return;
    }
    ++endpoint.consecutiveFailures;
    // A single error of a live endpoint only raises its failure rate; an unreachable one is backed off at once.
    if (outcome == endpoint_outcome::Failed && endpoint.consecutiveFailures < 2)
        return;
    auto doublings = std::min(endpoint.consecutiveFailures - 1, 4U);
    endpoint.backoffUntil = now + std::min(initialBackoff * (1 << doublings), maxBackoff);
}

void endpoint_registry::recordReachable(const std::string& id)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    found->second.consecutiveFailures = 0;
    found->second.backoffUntil = {};
}

void endpoint_registry::recordActivity(const std::string& id)
{
    auto found = m_endpoints.find(id);
    if (found != m_endpoints.end())
        found->second.lastActivityAt = m_clock.now();
}

time_point endpoint_registry::lastActivityAt(const std::string& id) const
{
    auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? time_point {} : found->second.lastActivityAt;
}

void endpoint_registry::updateLoad(const std::string& id, const reported_load& load)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    auto& endpoint = found->second;
    auto reported = load.running + load.waiting;
    // The endpoint's own report is newer than the reports of other entries, which arrive through the leader.
    endpoint.otherRequests = reported > endpoint.ownRequests ? reported - endpoint.ownRequests : 0;
    endpoint.slowdown.record(load.slowdown.value_or(0), m_clock.now());
}

} // namespace pistachiolatch
