#include "forwarding/endpoint_registry.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// After a failure an endpoint is left alone, longer each time. The first pause covers a restart's refused
    /// connections; the longest keeps a dead endpoint from costing more than a call each few seconds.
    constexpr milliseconds firstPause { 250 };
    constexpr milliseconds longestPause { 4000 };
    /// A refusal tells of a queue that is full now; it drains within a few calls.
    constexpr milliseconds refusalPause { 60 };
    /// How much the newest call counts in the share of failures: the last ten or so decide.
    constexpr double failureWeight = 0.1;
    /// A failing call costs as much as a wait behind this many full endpoints, so that an endpoint that fails a part
    /// of its calls gets work only when the others are full.
    constexpr double failureCost = 4;
    /// Share of failures from which an endpoint is not planned for while others serve.
    constexpr double avoidedFailures = 0.3;
    /// Load from which another data centre is looked at; bytes between data centres cost more than a short wait.
    constexpr double remoteFrom = 0.7;
    constexpr double remoteCost = 0.15;
    /// Memory is filled up to this share: answers grow while they run, and reports of the others are half a second old.
    constexpr double memoryShare = 0.92;
    constexpr std::size_t few = 3;
    /// A success this recent outweighs silence towards control: the endpoint may be cut off from control alone.
    constexpr milliseconds recentSuccess { 1000 };
    /// An endpoint that a new leader does not know is kept this long; announcements come several times meanwhile.
    constexpr milliseconds unconfirmedKept { 6000 };

    double loadOf(unsigned requests, unsigned slots)
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

void endpoint_registry::onEndpoints(const google::protobuf::RepeatedPtrField<wire::endpoint_row>& rows, bool everything)
{
    auto now = m_clock.now();
    if (everything) {
        for (auto& [id, one] : m_endpoints) {
            if (one.unconfirmedSince == time_point {})
                one.unconfirmedSince = now;
        }
    }
    for (const auto& row : rows)
        takeRow(row);
    std::erase_if(m_endpoints, [&](const auto& item) {
        return item.second.unconfirmedSince != time_point {} && now - item.second.unconfirmedSince > unconfirmedKept;
    });
}

void endpoint_registry::takeRow(const wire::endpoint_row& row)
{
    const auto& report = row.report();
    auto found = m_endpoints.find(report.id());
    if (found != m_endpoints.end()) {
        const auto& known = found->second.report;
        bool older = report.born_ms() < known.born_ms() || (report.born_ms() == known.born_ms() && report.sequence() < known.sequence() && report.state() != wire::ENDPOINT_GONE);
        if (older)
            return;
    }
    if (report.state() == wire::ENDPOINT_GONE) {
        if (found != m_endpoints.end()) {
            logEvent("endpoint_gone", { { "endpoint", report.id() } });
            m_endpoints.erase(found);
        }
        return;
    }
    auto& one = m_endpoints[report.id()];
    bool restarted = one.report.born_ms() != report.born_ms();
    if (restarted || one.report.state() != report.state() || one.report.stage() != report.stage() || one.silent != row.silent()) {
        logEvent("endpoint_known", { { "endpoint", report.id() }, { "born", report.born_ms() }, { "address", report.address() }, { "service", report.service() }, { "leaving", report.state() == wire::ENDPOINT_LEAVING ? 1 : 0 }, { "stage", static_cast<int>(report.stage()) }, { "silent", row.silent() ? 1 : 0 } });
    }
    // A restart clears what was held against the endpoint: it is another process.
    if (restarted) {
        one.failures = 0;
        one.failuresInARow = 0;
        one.avoidUntil = {};
    }
    one.report = report;
    one.silent = row.silent();
    one.unconfirmedSince = {};
}

void endpoint_registry::onLoad(const google::protobuf::RepeatedPtrField<wire::endpoint_load>& others)
{
    for (auto& [id, one] : m_endpoints) {
        one.otherRequests = 0;
        one.otherTokens = 0;
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
    for (const auto& [id, one] : m_endpoints) {
        if (one.ownRequests == 0)
            continue;
        auto& load = *own.Add();
        load.set_id(id);
        load.set_requests(one.ownRequests);
        load.set_tokens(one.ownTokens);
    }
}

void endpoint_registry::fillCalls(google::protobuf::RepeatedPtrField<wire::running_call>& calls) const
{
    for (const auto& [id, call] : m_calls)
        *calls.Add() = call;
}

void endpoint_registry::beginCall(std::uint64_t id, const std::string& endpoint, std::uint64_t promptTokens, std::uint64_t outputTokens)
{
    auto& call = m_calls[id];
    call.set_id(id);
    call.set_endpoint(endpoint);
    call.set_prompt_tokens(promptTokens);
    call.set_output_tokens(outputTokens);
}

void endpoint_registry::noteGenerated(std::uint64_t id, std::uint64_t tokens)
{
    auto found = m_calls.find(id);
    if (found != m_calls.end())
        found->second.set_generated(tokens);
}

bool endpoint_registry::hasAny(const std::string& service, wire::endpoint_stage stage) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& item) {
        const auto& report = item.second.report;
        return report.service() == service && report.stage() == stage && report.state() == wire::ENDPOINT_SERVING;
    });
}

bool endpoint_registry::usable(const known_endpoint& one, const endpoint_query& query, time_point now) const
{
    const auto& report = one.report;
    if (report.service() != query.service || report.stage() != query.stage || report.state() != wire::ENDPOINT_SERVING)
        return false;
    if (query.exclude.count(report.id()) || (one.silent && now - one.succeededAt > recentSuccess))
        return false;
    if (query.mostRequests > 0 && one.ownRequests + one.otherRequests >= query.mostRequests)
        return false;
    if (query.memoryTokens == 0)
        return true;
    auto after = static_cast<double>(one.ownTokens + one.otherTokens + query.tokens);
    return after <= memoryShare * static_cast<double>(query.memoryTokens) || one.ownTokens + one.otherTokens == 0;
}

bool endpoint_registry::avoided(const known_endpoint& one, time_point now) const
{
    return now < one.avoidUntil;
}

double endpoint_registry::cost(const known_endpoint& one, const endpoint_query& query)
{
    double load = query.memoryTokens > 0 ? static_cast<double>(one.ownTokens + one.otherTokens) / static_cast<double>(query.memoryTokens)
                                         : loadOf(one.ownRequests + one.otherRequests, query.fullAt > 0 ? query.fullAt : one.report.slots());
    double cold = one.report.cold_ms() > 0 ? 1 : 0;
    return load + failureCost * one.failures + cold;
}

const endpoint_registry::known_endpoint* endpoint_registry::bestOfFew(const std::vector<const known_endpoint*>& candidates, const endpoint_query& query)
{
    const known_endpoint* best = nullptr;
    double bestCost = 0;
    auto offset = candidates.empty() ? 0 : m_random() % candidates.size();
    auto stride = candidates.size() > few ? 1 + m_random() % (candidates.size() - 1) : 1;
    for (std::size_t i = 0; i < std::min(few, candidates.size()); ++i) {
        const auto* one = candidates[(offset + i * stride) % candidates.size()];
        auto price = cost(*one, query);
        if (best && price >= bestCost)
            continue;
        best = one;
        bestCost = price;
    }
    return best;
}

std::optional<picked_endpoint> endpoint_registry::pick(const endpoint_query& query)
{
    auto now = m_clock.now();
    const auto& preferred = query.nearTo.empty() ? m_dataCentre : query.nearTo;
    std::vector<const known_endpoint*> near;
    std::vector<const known_endpoint*> far;
    std::vector<const known_endpoint*> lastResort;
    for (const auto& [id, one] : m_endpoints) {
        if (!usable(one, query, now))
            continue;
        if (avoided(one, now))
            lastResort.push_back(&one);
        else if (one.report.data_centre() == preferred)
            near.push_back(&one);
        else
            far.push_back(&one);
    }
    const auto* best = bestOfFew(near, query);
    if (!best || cost(*best, query) > remoteFrom) {
        const auto* remote = bestOfFew(far, query);
        if (remote && (!best || cost(*remote, query) + remoteCost < cost(*best, query)))
            best = remote;
    }
    if (!best)
        best = bestOfFew(lastResort, query);
    if (!best)
        return std::nullopt;
    return picked_endpoint { best->report.id(), best->report.address(), best->report.data_centre(), best->report.born_ms() };
}

std::optional<picked_endpoint> endpoint_registry::find(const std::string& id) const
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || found->second.report.state() != wire::ENDPOINT_SERVING)
        return std::nullopt;
    const auto& report = found->second.report;
    return picked_endpoint { report.id(), report.address(), report.data_centre(), report.born_ms() };
}

std::vector<std::string> endpoint_registry::avoided(const std::string& service) const
{
    auto now = m_clock.now();
    std::vector<std::string> ids;
    for (const auto& [id, one] : m_endpoints) {
        if (one.report.service() == service && (avoided(one, now) || one.failures > avoidedFailures))
            ids.push_back(id);
    }
    return ids;
}

bool endpoint_registry::failsNow(const std::string& id) const
{
    auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && (avoided(found->second, m_clock.now()) || found->second.failures > avoidedFailures);
}

void endpoint_registry::begin(const std::string& id, std::uint64_t tokens)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    ++found->second.ownRequests;
    found->second.ownTokens += tokens;
}

void endpoint_registry::end(const std::string& id, std::uint64_t tokens)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    auto& one = found->second;
    // An endpoint may have been dropped and come back between begin and end; its counts then started anew.
    one.ownRequests -= std::min(one.ownRequests, 1U);
    one.ownTokens -= std::min(one.ownTokens, tokens);
}

void endpoint_registry::judge(const std::string& id, endpoint_verdict verdict)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    auto& one = found->second;
    auto now = m_clock.now();
    if (verdict == endpoint_verdict::Refused) {
        one.avoidUntil = std::max(one.avoidUntil, now + refusalPause);
        return;
    }
    bool bad = verdict != endpoint_verdict::Good;
    one.failures += failureWeight * ((bad ? 1.0 : 0.0) - one.failures);
    if (!bad) {
        one.failuresInARow = 0;
        one.avoidUntil = {};
        one.succeededAt = now;
        return;
    }
    ++one.failuresInARow;
    // A single error of a live endpoint is priced by the share of failures alone; a lost one is left alone at once.
    if (verdict == endpoint_verdict::Failed && one.failuresInARow < 2)
        return;
    auto doublings = std::min(one.failuresInARow - 1, 4U);
    one.avoidUntil = now + std::min(firstPause * (1 << doublings), longestPause);
}

void endpoint_registry::noteHeard(const std::string& id)
{
    auto found = m_endpoints.find(id);
    if (found != m_endpoints.end())
        found->second.heardAt = m_clock.now();
}

time_point endpoint_registry::heardAt(const std::string& id) const
{
    auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? time_point {} : found->second.heardAt;
}

void endpoint_registry::noteLoad(const std::string& id, const reported_load& load)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    auto& one = found->second;
    auto reported = load.running + load.waiting;
    // The endpoint's own word is newer than what the other entries reported through the leader.
    one.otherRequests = reported > one.ownRequests ? reported - one.ownRequests : 0;
}

} // namespace pistachiolatch
