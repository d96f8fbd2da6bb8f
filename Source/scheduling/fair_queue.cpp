#include "scheduling/fair_queue.h"

#include <algorithm>
#include <cstdlib>

namespace pistachiolatch {

namespace {
    /// A request overtakes an earlier one of its organisation that is more than this many times as long.
    constexpr std::uint32_t overtakeFactor = 4;
    /// A request is not overtaken by requests that arrive later than this after it.
    constexpr milliseconds overtakeWindow { 300 };
    /// Number of flows beyond which those of organisations without queued requests are removed.
    constexpr std::size_t maxIdleFlows = 1024;
    /// Upper bound of the credit, so that after a quiet period late requests don't overtake all at once.
    constexpr double maxLateCredit = 50000;

    double tokensOf(const pool_request& request)
    {
        return static_cast<double>(std::max<std::uint32_t>(request.totalTokens(), 1));
    }

    double cost(const pool_request& request)
    {
        return tokensOf(request) / request.weight;
    }

    bool isFurtherAttempt(const pool_request& request)
    {
        return request.place.attempt() > 0;
    }

    auto findIn(std::list<pool_request>& waiting, const std::string& requestId, std::uint32_t attempt)
    {
        return std::find_if(waiting.begin(), waiting.end(), [&](const pool_request& request) {
            return request.place.request_id() == requestId && request.place.attempt() == attempt;
        });
    }
}

const std::string& fair_queue::flowKey(const pool_request& request) const
{
    static const std::string shared;
    return m_rules.fair ? request.place.organisation() : shared;
}

void fair_queue::push(pool_request request)
{
    auto& source = m_flows[flowKey(request)];
    // A flow that was idle starts at the current virtual time: it has neither credit nor debt from the past.
    if (source.empty())
        source.virtualTime = std::max(source.virtualTime, m_virtualTime);
    source.weight = request.weight;
    ++m_size;
    m_promptTokens += request.place.prompt_tokens();
    source.promptTokens += request.place.prompt_tokens();
    // A further attempt has waited before, and its caller may have received part of the answer.
    if (isFurtherAttempt(request)) {
        source.onTime.push_front(std::move(request));
        return;
    }
    auto position = source.onTime.end();
    while (m_rules.fair && position != source.onTime.begin()) {
        const auto& before = *std::prev(position);
        bool isMuchLonger = before.totalTokens() > request.totalTokens() * overtakeFactor && !isFurtherAttempt(before);
        if (!isMuchLonger || request.arrived - before.arrived > overtakeWindow)
            break;
        --position;
    }
    source.onTime.insert(position, std::move(request));
    removeIdleFlows();
}

void fair_queue::removeIdleFlows()
{
    if (m_flows.size() > maxIdleFlows)
        std::erase_if(m_flows, [this](const auto& item) { return item.second.empty() && item.second.virtualTime <= m_virtualTime; });
}

std::vector<fair_queue::tagged_head> fair_queue::sortedHeads(bool late) const
{
    std::vector<tagged_head> order;
    for (const auto& [name, source] : m_flows) {
        const auto& waiting = late ? source.late : source.onTime;
        if (!waiting.empty())
            order.push_back({ source.virtualTime + cost(waiting.front()), &waiting.front() });
    }
    std::sort(order.begin(), order.end(), [](const tagged_head& a, const tagged_head& b) { return a.tag < b.tag; });
    return order;
}

std::vector<const pool_request*> fair_queue::heads() const
{
    auto first = sortedHeads(false);
    auto second = sortedHeads(true);
    // The share keeps late requests from starving while the pool is always busy.
    if (!second.empty() && m_lateCredit >= tokensOf(*second.front().request))
        first.swap(second);
    std::vector<const pool_request*> requests;
    requests.reserve(first.size() + second.size());
    for (const auto& head : first)
        requests.push_back(head.request);
    for (const auto& head : second)
        requests.push_back(head.request);
    return requests;
}

void fair_queue::subtractFromTotals(flow& source, const pool_request& request)
{
    --m_size;
    m_lateCount -= request.late ? 1 : 0;
    m_promptTokens -= request.place.prompt_tokens();
    source.promptTokens -= request.place.prompt_tokens();
}

void fair_queue::charge(flow& source, const pool_request& request)
{
    constexpr double percent = 100;
    // Late requests are charged to their credit and not to virtual time. They are taken out of turn, so charging them
    // would advance virtual time far, and an organisation that becomes active would wait behind the backlog of all
    // others.
    if (request.late) {
        m_lateCredit = std::max(0.0, m_lateCredit - tokensOf(request));
        return;
    }
    m_virtualTime = std::max(m_virtualTime, source.virtualTime);
    source.virtualTime += cost(request);
    m_lateCredit = std::min(maxLateCredit, m_lateCredit + tokensOf(request) * m_rules.lateSharePercent / percent);
}

pool_request fair_queue::take(const std::string& requestId, std::uint32_t attempt)
{
    for (auto& [name, source] : m_flows) {
        for (auto* waiting : { &source.onTime, &source.late }) {
            if (waiting->empty() || findIn(*waiting, requestId, attempt) != waiting->begin())
                continue;
            auto request = std::move(waiting->front());
            waiting->pop_front();
            subtractFromTotals(source, request);
            charge(source, request);
            return request;
        }
    }
    std::abort(); // Precondition violated: the request is not a head.
}

void fair_queue::demote(const std::string& requestId, std::uint32_t attempt)
{
    for (auto& [name, source] : m_flows) {
        if (source.onTime.empty() || findIn(source.onTime, requestId, attempt) != source.onTime.begin())
            continue;
        source.onTime.front().late = true;
        source.late.splice(source.late.end(), source.onTime, source.onTime.begin());
        ++m_lateCount;
        return;
    }
    std::abort(); // Precondition violated: the request is not a head.
}

bool fair_queue::updateCall(const pool_request& request)
{
    auto found = m_flows.find(flowKey(request));
    if (found == m_flows.end())
        return false;
    for (auto* waiting : { &found->second.onTime, &found->second.late }) {
        auto queued = findIn(*waiting, request.place.request_id(), request.place.attempt());
        if (queued == waiting->end())
            continue;
        queued->call = request.call;
        return true;
    }
    return false;
}

bool fair_queue::remove(const std::string& requestId)
{
    return !removeIf([&](const pool_request& request) { return request.place.request_id() == requestId; }).empty();
}

double fair_queue::tokensAhead(const std::string& organisation, std::uint32_t weight, std::uint32_t tokens) const
{
    if (!m_rules.fair)
        return static_cast<double>(m_promptTokens);
    auto own = m_flows.find(organisation);
    double ownTokens = own == m_flows.end() ? 0 : static_cast<double>(own->second.promptTokens);
    double share = (ownTokens + tokens) / std::max(1U, weight);
    double ahead = ownTokens;
    // While this organisation's queue drains, each other one gets at most the share that its weight entitles it to.
    for (const auto& [name, source] : m_flows) {
        if (name != organisation)
            ahead += std::min(static_cast<double>(source.promptTokens), share * source.weight);
    }
    return ahead;
}

} // namespace pistachiolatch
