#include "scheduling/fair_queue.h"

#include <algorithm>
#include <cstdlib>

namespace pistachiolatch {

namespace {
    /// How much longer a request may be than a later one that overtakes it inside one organisation.
    constexpr std::uint32_t overtakeFactor = 4;
    /// A request that waited this long is overtaken no more.
    constexpr milliseconds overtakeLimit { 300 };
    /// Lanes of organisations that have nothing waiting are dropped beyond this number.
    constexpr std::size_t idleLanesKept = 1024;
    /// Late requests earn no more than this ahead, so that a quiet time does not let them push in all at once.
    constexpr double mostLateCredit = 50000;

    double tokensOf(const pool_request& request)
    {
        return static_cast<double>(std::max<std::uint32_t>(request.totalTokens(), 1));
    }

    double cost(const pool_request& request)
    {
        return tokensOf(request) / request.weight;
    }

    bool isResumed(const pool_request& request)
    {
        return request.place.attempt() > 0;
    }

    auto findIn(std::list<pool_request>& waiting, const std::string& requestId, std::uint32_t attempt)
    {
        return std::find_if(waiting.begin(), waiting.end(), [&](const pool_request& one) {
            return one.place.request_id() == requestId && one.place.attempt() == attempt;
        });
    }
}

const std::string& fair_queue::laneOf(const pool_request& request) const
{
    static const std::string shared;
    return m_rules.fair ? request.place.organisation() : shared;
}

void fair_queue::push(pool_request request)
{
    auto& one = m_lanes[laneOf(request)];
    // A lane that was idle starts at the present: it neither saved up credit nor owes for the past.
    if (one.empty())
        one.virtualTime = std::max(one.virtualTime, m_virtualTime);
    one.weight = request.weight;
    ++m_size;
    m_promptTokens += request.place.prompt_tokens();
    one.promptTokens += request.place.prompt_tokens();
    // Another attempt has waited before, and its caller may be in the middle of an answer.
    if (isResumed(request)) {
        one.onTime.push_front(std::move(request));
        return;
    }
    auto position = one.onTime.end();
    while (m_rules.fair && position != one.onTime.begin()) {
        const auto& before = *std::prev(position);
        bool muchLonger = before.totalTokens() > request.totalTokens() * overtakeFactor && !isResumed(before);
        if (!muchLonger || request.arrived - before.arrived > overtakeLimit)
            break;
        --position;
    }
    one.onTime.insert(position, std::move(request));
    dropIdleLanes();
}

void fair_queue::dropIdleLanes()
{
    if (m_lanes.size() > idleLanesKept)
        std::erase_if(m_lanes, [this](const auto& item) { return item.second.empty() && item.second.virtualTime <= m_virtualTime; });
}

std::vector<fair_queue::tagged_head> fair_queue::sortedHeads(bool late) const
{
    std::vector<tagged_head> order;
    for (const auto& [name, one] : m_lanes) {
        const auto& waiting = late ? one.late : one.onTime;
        if (!waiting.empty())
            order.push_back({ one.virtualTime + cost(waiting.front()), &waiting.front() });
    }
    std::sort(order.begin(), order.end(), [](const tagged_head& a, const tagged_head& b) { return a.tag < b.tag; });
    return order;
}

std::vector<const pool_request*> fair_queue::heads() const
{
    auto first = sortedHeads(false);
    auto second = sortedHeads(true);
    // The share keeps a late request from waiting for ever behind a pool that is always busy.
    if (!second.empty() && m_lateCredit >= tokensOf(*second.front().request))
        first.swap(second);
    std::vector<const pool_request*> requests;
    requests.reserve(first.size() + second.size());
    for (const auto& one : first)
        requests.push_back(one.request);
    for (const auto& one : second)
        requests.push_back(one.request);
    return requests;
}

void fair_queue::forget(lane& one, const pool_request& request)
{
    --m_size;
    m_late -= request.late ? 1 : 0;
    m_promptTokens -= request.place.prompt_tokens();
    one.promptTokens -= request.place.prompt_tokens();
}

void fair_queue::charge(lane& one, const pool_request& request)
{
    constexpr double wholeShare = 100;
    // Late requests pay from their share and not in virtual time: they are taken out of turn, so charging them would
    // carry virtual time far ahead, and an organisation that becomes active then would wait behind everybody's backlog.
    if (request.late) {
        m_lateCredit = std::max(0.0, m_lateCredit - tokensOf(request));
        return;
    }
    m_virtualTime = std::max(m_virtualTime, one.virtualTime);
    one.virtualTime += cost(request);
    m_lateCredit = std::min(mostLateCredit, m_lateCredit + tokensOf(request) * m_rules.lateSharePercent / wholeShare);
}

pool_request fair_queue::take(const std::string& requestId, std::uint32_t attempt)
{
    for (auto& [name, one] : m_lanes) {
        for (auto* waiting : { &one.onTime, &one.late }) {
            if (waiting->empty() || findIn(*waiting, requestId, attempt) != waiting->begin())
                continue;
            auto request = std::move(waiting->front());
            waiting->pop_front();
            forget(one, request);
            charge(one, request);
            return request;
        }
    }
    std::abort(); // The caller took a request that is no head: a broken invariant.
}

void fair_queue::demote(const std::string& requestId, std::uint32_t attempt)
{
    for (auto& [name, one] : m_lanes) {
        if (one.onTime.empty() || findIn(one.onTime, requestId, attempt) != one.onTime.begin())
            continue;
        one.onTime.front().late = true;
        one.late.splice(one.late.end(), one.onTime, one.onTime.begin());
        ++m_late;
        return;
    }
    std::abort(); // The caller demoted a request that is no head: a broken invariant.
}

bool fair_queue::refresh(const pool_request& request)
{
    auto found = m_lanes.find(laneOf(request));
    if (found == m_lanes.end())
        return false;
    for (auto* waiting : { &found->second.onTime, &found->second.late }) {
        auto one = findIn(*waiting, request.place.request_id(), request.place.attempt());
        if (one == waiting->end())
            continue;
        one->call = request.call;
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
    auto own = m_lanes.find(organisation);
    double ownTokens = own == m_lanes.end() ? 0 : static_cast<double>(own->second.promptTokens);
    double share = (ownTokens + tokens) / std::max(1U, weight);
    double ahead = ownTokens;
    // While the own queue drains, every other organisation gets at most its weight's share of the pool.
    for (const auto& [name, one] : m_lanes) {
        if (name != organisation)
            ahead += std::min(static_cast<double>(one.promptTokens), share * one.weight);
    }
    return ahead;
}

} // namespace pistachiolatch
