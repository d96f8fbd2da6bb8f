#pragma once
#include "scheduling/pool_types.h"
#include <list>
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// How a queue orders what waits.
struct queue_rules {
    /// Weighted fair queueing between organisations; off means first come, first served.
    bool fair = true;
    /// Percent of the work that goes to late requests while others can still be on time.
    std::uint32_t lateSharePercent = 10;
};

/// Waiting requests, served by weighted fair queueing between organisations: each request gets a virtual finish
/// tag of its tokens over its organisation's weight, and the lowest tag goes first. An organisation that floods
/// the pool only lengthens its own queue. Within an organisation short requests overtake long ones for a while.
/// A request that can't meet its first-token target any more is late: it yields to those that can, but for a share.
/// Not thread-safe.
class fair_queue {
public:
    explicit fair_queue(queue_rules rules)
        : m_rules(rules)
    {
    }

    void push(pool_request request);
    /// The requests in the order in which they should be tried: the next one of each organisation.
    std::vector<const pool_request*> heads() const;
    /// Takes a request out, charging its organisation. Precondition: it is one of heads().
    pool_request take(const std::string& requestId, std::uint32_t attempt);
    /// Puts a head that can't be on time any more behind those that can. Precondition: it is one of heads() and not late.
    void demote(const std::string& requestId, std::uint32_t attempt);
    /// Whether that attempt waits already; then its place is kept and later answers go to the newer call.
    bool refresh(const pool_request& request);
    /// Takes out a request without charge, if it is there.
    bool remove(const std::string& requestId);
    /// Takes out every request for which the test holds.
    template <typename Test>
    std::vector<pool_request> removeIf(Test test);

    std::size_t size() const { return m_size; }
    std::size_t late() const { return m_late; }
    /// Prompt tokens that would be served before a new request of that organisation.
    double tokensAhead(const std::string& organisation, std::uint32_t weight, std::uint32_t tokens) const;
    std::size_t organisations() const { return m_lanes.size(); }

private:
    struct lane {
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
    const std::string& laneOf(const pool_request& request) const;
    std::vector<tagged_head> sortedHeads(bool late) const;
    void forget(lane& one, const pool_request& request);
    void charge(lane& one, const pool_request& request);
    void dropIdleLanes();

    queue_rules m_rules;
    std::map<std::string, lane> m_lanes;
    double m_virtualTime = 0;
    /// What late requests have earned, in tokens.
    double m_lateCredit = 0;
    std::size_t m_size = 0;
    std::size_t m_late = 0;
    std::uint64_t m_promptTokens = 0;
};

template <typename Test>
std::vector<pool_request> fair_queue::removeIf(Test test)
{
    std::vector<pool_request> removed;
    for (auto& [name, one] : m_lanes) {
        for (auto* waiting : { &one.onTime, &one.late }) {
            for (auto it = waiting->begin(); it != waiting->end();) {
                if (!test(*it)) {
                    ++it;
                    continue;
                }
                forget(one, *it);
                removed.push_back(std::move(*it));
                it = waiting->erase(it);
            }
        }
    }
    return removed;
}

} // namespace pistachiolatch
