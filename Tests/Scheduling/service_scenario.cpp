#include "Scheduling/service_scenario.h"

#include <algorithm>
#include <cmath>

namespace pistachiolatch::test {

namespace {
    constexpr const char* serviceName = "desk";
    constexpr milliseconds tick { 1 };
    constexpr milliseconds reportInterval { 500 };
    constexpr milliseconds retryDelayAlone { 700 };

    std::string endpointId(std::size_t index)
    {
        return "e" + std::to_string(index);
    }

    struct call {
        std::uint64_t id = 0;
        std::string entry;
        std::string organisation;
        time_point firstSentAt;
        time_point arrivedAt;
        milliseconds serviceTime { 0 };
        bool cameBack = false;
    };

    struct simulated_endpoint {
        bool serving = true;
        /// Calls with the time that they still take at the usual speed, in milliseconds.
        std::list<std::pair<call, double>> running;
        std::list<call> waiting;
        double slowdown = 1;
        std::size_t load() const { return running.size() + waiting.size(); }
    };

    class simulation {
    public:
        simulation(const service_scenario& scenario, bool withOwner)
            : m_scenario(scenario)
            , m_withOwner(withOwner)
            , m_random(scenario.seed)
            , m_endpoints(scenario.endpointCount())
            , m_reportedLoads(m_endpoints.size())
        {
        }

        scenario_outcome run()
        {
            for (const auto& phase : m_scenario.phases) {
                setEndpoints(phase.endpoints);
                for (auto end = m_clock.now() + phase.duration; m_clock.now() < end; m_clock.advance(tick))
                    step(phase.callsPerSecond);
            }
            for (auto end = m_clock.now() + m_scenario.deadline; m_clock.now() < end; m_clock.advance(tick))
                step(0);
            m_outcome.lost = m_outcome.calls - m_outcome.inTime - m_outcome.late;
            m_outcome.firstOrganisationInTime = static_cast<double>(m_inTime[0]) / std::max(1U, m_calls[0]);
            m_outcome.othersInTime = static_cast<double>(m_inTime[1]) / std::max(1U, m_calls[1]);
            return m_outcome;
        }

    private:
        void setEndpoints(unsigned serving)
        {
            for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
                m_endpoints[i].serving = i < serving;
                wire::endpoint_row row;
                auto& report = *row.mutable_report();
                report.set_id(endpointId(i));
                report.set_service(serviceName);
                report.set_slots(m_scenario.slots);
                report.set_state(i < serving ? wire::ENDPOINT_SERVING : wire::ENDPOINT_LEAVING);
                m_planner.updateEndpoint(row);
            }
        }

        void changeSpeeds()
        {
            if (m_scenario.slowShare == 0)
                return;
            std::bernoulli_distribution changes(static_cast<double>(tick.count()) / static_cast<double>(m_scenario.speedChangeInterval.count()));
            std::bernoulli_distribution slow(m_scenario.slowShare);
            for (auto& endpoint : m_endpoints) {
                if (changes(m_speedRandom))
                    endpoint.slowdown = slow(m_speedRandom) ? m_scenario.slowFactor : 1;
            }
        }

        void step(double callsPerSecond)
        {
            changeSpeeds();
            completeCalls();
            deliverMessages();
            auto arrivals = std::poisson_distribution<unsigned>(callsPerSecond * static_cast<double>(tick.count()) / 1000)(m_random);
            for (unsigned i = 0; i < arrivals; ++i)
                submit(makeCall());
            while (!m_returning.empty() && m_returning.begin()->first <= m_clock.now()) {
                auto next = m_returning.begin()->second;
                m_returning.erase(m_returning.begin());
                next.arrivedAt = m_clock.now();
                submit(next);
            }
            if (m_withOwner)
                placeQueued();
            else if (m_clock.now() - m_reportedAt >= reportInterval)
                reportLoads();
        }

        call makeCall()
        {
            call next;
            next.id = ++m_lastId;
            next.entry = "entry" + std::to_string(m_random() % m_scenario.entries);
            bool first = std::bernoulli_distribution(m_scenario.firstOrganisationShare)(m_random);
            next.organisation = "org" + std::to_string(first ? 0 : 1 + m_random() % (m_scenario.organisations - 1));
            next.firstSentAt = next.arrivedAt = m_clock.now();
            constexpr double sigma = 0.5;
            auto mean = static_cast<double>(m_scenario.meanServiceTime.count());
            next.serviceTime = milliseconds(std::lround(std::lognormal_distribution<double>(std::log(mean) - sigma * sigma / 2, sigma)(m_random)));
            ++m_outcome.calls;
            ++m_calls[first ? 0 : 1];
            return next;
        }

        void submit(const call& next)
        {
            if (!m_withOwner) {
                send(next, chooseAlone());
                return;
            }
            queued_request queued;
            queued.ticket = ++m_lastTicket;
            queued.entry = next.entry;
            queued.organisation = next.organisation;
            queued.fingerprint = next.id;
            queued.request.callId = queued.ticket;
            queued.request.service = serviceName;
            queued.waitDeadline = m_clock.now() + m_scenario.target * 7 / 10;
            queued.firstEventDeadline = m_clock.now() + m_scenario.target;
            m_queued[queued.ticket] = next;
            m_queue.add(queued, m_clock.now());
        }

        void placeQueued()
        {
            for (const auto& result : m_queue.step(m_planner, m_clock.now())) {
                auto next = m_queued[result.ticket];
                m_queued.erase(result.ticket);
                if (result.placement.full) {
                    refuse(next, result.retryAfter);
                    continue;
                }
                m_tickets[next.id] = result.ticket;
                auto index = static_cast<std::size_t>(std::stoul(result.placement.decode.substr(1)));
                later([this, next, index] { send(next, index); });
            }
        }

        /// Does something when a message sent now arrives.
        void later(std::function<void()> action)
        {
            if (m_scenario.messageDelay == milliseconds(0))
                action();
            else
                m_messages.emplace(m_clock.now() + m_scenario.messageDelay, std::move(action));
        }

        void deliverMessages()
        {
            while (!m_messages.empty() && m_messages.begin()->first <= m_clock.now()) {
                auto action = std::move(m_messages.begin()->second);
                m_messages.erase(m_messages.begin());
                action();
            }
        }

        std::size_t chooseAlone()
        {
            constexpr unsigned sampleSize = 3;
            std::optional<std::size_t> best;
            for (unsigned i = 0; i < sampleSize; ++i) {
                auto candidate = m_random() % m_endpoints.size();
                while (!m_endpoints[candidate].serving)
                    candidate = (candidate + 1) % m_endpoints.size();
                if (!best || m_reportedLoads[candidate] < m_reportedLoads[*best])
                    best = candidate;
            }
            return *best;
        }

        void send(const call& next, std::size_t index)
        {
            auto& endpoint = m_endpoints[index];
            if (endpoint.load() >= m_scenario.slots + m_scenario.queueLimit) {
                ++m_outcome.refusedSends;
                release(next, index, false);
                refuse(next, retryDelayAlone);
                return;
            }
            endpoint.waiting.push_back(next);
            startWaiting(endpoint);
        }

        void startWaiting(simulated_endpoint& endpoint)
        {
            while (endpoint.running.size() < m_scenario.slots && !endpoint.waiting.empty()) {
                auto next = endpoint.waiting.front();
                endpoint.waiting.pop_front();
                endpoint.running.emplace_back(next, static_cast<double>((next.serviceTime + 2 * m_scenario.networkDelay).count()));
            }
        }

        void completeCalls()
        {
            for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
                auto& endpoint = m_endpoints[i];
                for (auto& [running, left] : endpoint.running)
                    left -= static_cast<double>(tick.count()) / endpoint.slowdown;
                for (auto it = endpoint.running.begin(); it != endpoint.running.end();) {
                    if (it->second > 0) {
                        ++it;
                        continue;
                    }
                    auto done = it->first;
                    it = endpoint.running.erase(it);
                    startWaiting(endpoint);
                    finish(done, i);
                }
            }
        }

        void finish(const call& done, std::size_t index)
        {
            release(done, index, true);
            auto took = m_clock.now() - done.firstSentAt;
            if (took > m_scenario.deadline)
                return;
            bool inTime = took <= m_scenario.target;
            ++(inTime ? m_outcome.inTime : m_outcome.late);
            if (inTime)
                ++m_inTime[done.organisation == "org0" ? 0 : 1];
        }

        void release(const call& ended, std::size_t index, bool succeeded)
        {
            auto found = m_tickets.find(ended.id);
            if (found == m_tickets.end())
                return;
            auto ticket = found->second;
            m_tickets.erase(found);
            auto stated = makeStatement(m_endpoints[index]);
            later([this, entry = ended.entry, ticket, index, succeeded, stated] {
                m_planner.release(entry, ticket, succeeded, m_clock.now(), stated);
                if (succeeded)
                    m_planner.recordSuccess(endpointId(index));
                else
                    m_planner.recordRefusal(endpointId(index), m_clock.now());
            });
        }

        wire::endpoint_statement makeStatement(const simulated_endpoint& endpoint) const
        {
            wire::endpoint_statement stated;
            if (!m_scenario.statesLoad)
                return stated;
            stated.set_running(static_cast<std::uint32_t>(endpoint.running.size()));
            stated.set_waiting(static_cast<std::uint32_t>(endpoint.waiting.size()));
            stated.set_slots(m_scenario.slots);
            if (m_scenario.statesSlowdown)
                stated.set_slowdown_percent(static_cast<std::uint32_t>(std::lround(endpoint.slowdown * 100)));
            return stated;
        }

        void refuse(call refused, milliseconds retryAfter)
        {
            m_outcome.longestWaitForRefusal = std::max(m_outcome.longestWaitForRefusal, std::chrono::duration_cast<milliseconds>(m_clock.now() - refused.arrivedAt));
            m_outcome.retryDelays.push_back(retryAfter);
            if (refused.cameBack) {
                ++m_outcome.refusedAgain;
                return;
            }
            refused.cameBack = true;
            // Callers wait a third of the time that they have left at most.
            m_returning.emplace(m_clock.now() + std::min(retryAfter, m_scenario.deadline / 3), refused);
        }

        void reportLoads()
        {
            m_reportedAt = m_clock.now();
            for (std::size_t i = 0; i < m_endpoints.size(); ++i)
                m_reportedLoads[i] = m_endpoints[i].load();
        }

        const service_scenario& m_scenario;
        bool m_withOwner;
        std::mt19937_64 m_random;
        /// Speeds don't depend on what is decided.
        std::mt19937_64 m_speedRandom { m_scenario.seed };
        manual_clock_source m_clock;
        std::vector<simulated_endpoint> m_endpoints;
        std::vector<std::size_t> m_reportedLoads;
        time_point m_reportedAt {};
        slot_planner m_planner { 1 };
        placement_queue<slot_planner> m_queue;
        std::map<std::uint64_t, call> m_queued;
        std::map<std::uint64_t, std::uint64_t> m_tickets;
        std::multimap<time_point, call> m_returning;
        std::multimap<time_point, std::function<void()>> m_messages;
        std::uint64_t m_lastId = 0;
        std::uint64_t m_lastTicket = 0;
        scenario_outcome m_outcome;
        std::array<unsigned, 2> m_calls {};
        std::array<unsigned, 2> m_inTime {};
    };
}

std::size_t service_scenario::endpointCount() const
{
    unsigned count = 0;
    for (const auto& item : phases)
        count = std::max(count, item.endpoints);
    return count;
}

scenario_outcome replayWithOwner(const service_scenario& scenario)
{
    return simulation(scenario, true).run();
}

scenario_outcome replayWithEntriesAlone(const service_scenario& scenario)
{
    return simulation(scenario, false).run();
}

} // namespace pistachiolatch::test
