#include "scheduling/fair_queue.h"

#include <algorithm>
#include <cstdlib>

namespace pistachiolatch {

namespace {
    /// How much longer a request may be than a later one that overtakes it inside one organisation.
    constexpr std::uint32_t overtakeFactor = 4;
    /// A request that waited this long is overtaken no more.
    constexpr milliseconds overtakeLimit { 300 };
    constexpr const char* sharedLane = "";

    double cost(const pool_request& request)
    {
        return static_cast<double>(std::max<std::uint32_t>(request.totalTokens(), 1)) / request.weight;
    }
}

void fair_queue::push(pool_request request)
{
    auto& one = m_lanes[m_fair ? request.place.organisation() : sharedLane];
    // A lane that was idle starts at the present: it neither saved up credit nor owes for the past.
    if (one.waiting.empty())
        one.virtualTime = std::max(one.virtualTime, m_virtualTime);
    one.weight = request.weight;
    ++m_size;
    m_promptTokens += request.place.prompt_tokens();
    one.promptTokens += request.place.prompt_tokens();
    auto position = one.waiting.end();
    while (m_fair && position != one.waiting.begin()) {
        const auto& before = *std::prev(position);
        bool muchLonger = before.totalTokens() > request.totalTokens() * overtakeFactor;
        if (!muchLonger || request.arrived - before.arrived > overtakeLimit)
            break;
        --position;
    }
    one.waiting.insert(position, std::move(request));
}

std::vector<const pool_request*> fair_queue::heads() const
{
    struct tagged {
        double tag;
        const pool_request* request;
    };
    std::vector<tagged> order;
    for (const auto& [name, one] : m_lanes) {
        if (!one.waiting.empty())
            order.push_back({ one.virtualTime + cost(one.waiting.front()), &one.waiting.front() });
    }
    std::sort(order.begin(), order.end(), [](const tagged& a, const tagged& b) { return a.tag < b.tag; });
    std::vector<const pool_request*> requests;
    requests.reserve(order.size());
    for (const auto& one : order)
        requests.push_back(one.request);
    return requests;
}

void fair_queue::forget(lane& one, const pool_request& request)
{
    --m_size;
    m_promptTokens -= request.place.prompt_tokens();
    one.promptTokens -= request.place.prompt_tokens();
}

pool_request fair_queue::take(const std::string& requestId, std::uint32_t attempt)
{
    for (auto it = m_lanes.begin(); it != m_lanes.end(); ++it) {
        auto& one = it->second;
        if (one.waiting.empty() || one.waiting.front().place.request_id() != requestId || one.waiting.front().place.attempt() != attempt)
            continue;
        auto request = std::move(one.waiting.front());
        one.waiting.pop_front();
        forget(one, request);
        m_virtualTime = std::max(m_virtualTime, one.virtualTime);
        one.virtualTime += cost(request);
        return request;
    }
    std::abort(); // The caller took a request that is no head: a broken invariant.
}

bool fair_queue::refresh(const pool_request& request)
{
    auto found = m_lanes.find(m_fair ? request.place.organisation() : sharedLane);
    if (found == m_lanes.end())
        return false;
    for (auto& waiting : found->second.waiting) {
        if (waiting.place.request_id() != request.place.request_id() || waiting.place.attempt() != request.place.attempt())
            continue;
        waiting.call = request.call;
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
    if (!m_fair)
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
