#pragma once
#include "scheduling/pool_types.h"
#include <list>
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// The order in which a queue serves requests.
struct queue_rules {
    /// Weighted fair queueing between organisations; otherwise first come, first served.
    bool fair = true;
    /// Percentage of the work that goes to late requests while others can still be on time.
    std::uint32_t lateSharePercent = 10;
};

/// Queue of requests with weighted fair queueing between organisations: each request gets a virtual finish tag of its
/// tokens over its organisation's weight, and the lowest tag goes first. An organisation that floods the pool only
/// lengthens its own queue. Within an organisation short requests overtake long ones for a limited time. A request
/// that can no longer meet its first-token target is late: it yields to those that can, except for a fixed share of
/// the work.
/// Not thread-safe.
class fair_queue {
public:
    explicit fair_queue(queue_rules rules)
        : m_rules(rules)
    {
    }

    void push(pool_request request);
    /// The next request of each organisation, in the order in which they should be tried.
    std::vector<const pool_request*> heads() const;
    /// Dequeues a request and charges its organisation. Precondition: it is one of heads().
    pool_request take(const std::string& requestId, std::uint32_t attempt);
    /// Marks a head as late, so that it yields to requests that can be on time. Precondition: it is one of heads() and
    /// not late.
    void demote(const std::string& requestId, std::uint32_t attempt);
    /// If the attempt is queued already, keeps its position, directs the reply to the newer call and returns true.
    bool updateCall(const pool_request& request);
    /// Removes a request without charge. Returns whether it was queued.
    bool remove(const std::string& requestId);
    /// Removes and returns the requests that match the predicate, without charge.
    template <typename Predicate>
    std::vector<pool_request> removeIf(Predicate predicate);

    std::size_t size() const { return m_size; }
    std::size_t lateCount() const { return m_lateCount; }
    /// Prompt tokens that would be served before a new request of the organisation.
    double tokensAhead(const std::string& organisation, std::uint32_t weight, std::uint32_t tokens) const;
    std::size_t organisationCount() const { return m_flows.size(); }

private:
    /// The requests of one organisation.
    struct flow {
        std::list<pool_request> onTime;
        std::list<pool_request> late;
        double virtualTime = 0;
        std::uint64_t promptTokens = 0;
        std::uint32_t weight = 1;

        bool empty() const { return onTime.empty() && late.empty(); }
    };
    struct tagged_head {
        double tag;
        const pool_request* request;
    };
    const std::string& flowKey(const pool_request& request) const;
    std::vector<tagged_head> sortedHeads(bool late) const;
    void subtractFromTotals(flow& source, const pool_request& request);
    void charge(flow& source, const pool_request& request);
    void removeIdleFlows();

    queue_rules m_rules;
    std::map<std::string, flow> m_flows;
    double m_virtualTime = 0;
    /// Tokens that late requests may take out of turn.
    double m_lateCredit = 0;
    std::size_t m_size = 0;
    std::size_t m_lateCount = 0;
    std::uint64_t m_promptTokens = 0;
};

template <typename Predicate>
std::vector<pool_request> fair_queue::removeIf(Predicate predicate)
{
    std::vector<pool_request> removed;
    for (auto& [name, source] : m_flows) {
        for (auto* waiting : { &source.onTime, &source.late }) {
            for (auto it = waiting->begin(); it != waiting->end();) {
                if (!predicate(*it)) {
                    ++it;
                    continue;
                }
                subtractFromTotals(source, *it);
                removed.push_back(std::move(*it));
                it = waiting->erase(it);
            }
        }
    }
    return removed;
}

} // namespace pistachiolatch
