#pragma once
#include "scheduling/pool_types.h"
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Waiting requests, served by weighted fair queueing between organisations: each request gets a virtual finish
/// tag of its tokens over its organisation's weight, and the lowest tag goes first. An organisation that floods
/// the pool only lengthens its own queue. Within an organisation short requests overtake long ones for a while.
/// Not thread-safe.
class fair_queue {
public:
    explicit fair_queue(bool fair)
        : m_fair(fair)
    {
    }

    void push(pool_request request);
    /// The requests in the order in which they should be tried: the next one of each organisation.
    std::vector<const pool_request*> heads() const;
    /// Takes a request out, charging its organisation. Precondition: it is one of heads().
    pool_request take(const std::string& requestId, std::uint32_t attempt);
    /// Whether that attempt waits already; then its place is kept and later answers go to the newer call.
    bool refresh(const pool_request& request);
    /// Takes out a request without charge, if it is there.
    bool remove(const std::string& requestId);
    /// Takes out every request for which the test holds.
    template <typename Test>
    std::vector<pool_request> removeIf(Test test);

    std::size_t size() const { return m_size; }
    std::uint64_t waitingPromptTokens() const { return m_promptTokens; }
    /// Prompt tokens that would be served before a new request of that organisation.
    double tokensAhead(const std::string& organisation, std::uint32_t weight, std::uint32_t tokens) const;
    std::size_t organisations() const { return m_lanes.size(); }

private:
    struct lane {
        std::list<pool_request> waiting;
        double virtualTime = 0;
        std::uint64_t promptTokens = 0;
        std::uint32_t weight = 1;
    };
    void forget(lane& one, const pool_request& request);

    bool m_fair;
    std::map<std::string, lane> m_lanes;
    double m_virtualTime = 0;
    std::size_t m_size = 0;
    std::uint64_t m_promptTokens = 0;
};

template <typename Test>
std::vector<pool_request> fair_queue::removeIf(Test test)
{
    std::vector<pool_request> removed;
    for (auto& [name, one] : m_lanes) {
        for (auto it = one.waiting.begin(); it != one.waiting.end();) {
            if (!test(*it)) {
                ++it;
                continue;
            }
            forget(one, *it);
            removed.push_back(std::move(*it));
            it = one.waiting.erase(it);
        }
    }
    return removed;
}

} // namespace pistachiolatch
