// Urgent and patient calls of several organisations that share the endpoints of a service.
#include "scheduling/placement_queue.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
constexpr milliseconds target { 900 };
constexpr milliseconds patience { 630 };
constexpr milliseconds tick { 10 };
constexpr int ticksPerSecond = 100;

/// Endpoints with a fixed number of slots; each call takes a second.
class slot_pool {
public:
    static constexpr double completionsPerPlacement = 1;
    static constexpr milliseconds minRetryDelay { 400 };
    static constexpr std::size_t slots = 40;
    static constexpr milliseconds serviceTime { 1000 };

    engine_placement place(const std::string&, const placement_request&, time_point now)
    {
        std::erase_if(m_ends, [now](auto end) { return end <= now; });
        if (m_ends.size() >= slots)
            return { .full = true, .decode = {}, .prefill = {} };
        m_ends.push_back(now + serviceTime);
        return { .full = false, .decode = "d", .prefill = {} };
    }
    static duration timeToFirstEvent(const placement_request&) { return milliseconds(100); }
    static double chanceToFinish(const placement_request&, duration) { return 1; }
    double expectedCompletions(const std::string&, duration within, time_point now) const
    {
        return static_cast<double>(std::count_if(m_ends.begin(), m_ends.end(), [&](auto end) { return end <= now + within; }));
    }
    static bool hasEndpoints(const placement_request&) { return true; }

private:
    std::vector<time_point> m_ends;
};

/// Outcomes of the calls of one kind.
struct call_counts {
    int submitted = 0;
    int placed = 0;
    int refused = 0;
    milliseconds longestWait { 0 };
    /// Longest time until a call was refused.
    milliseconds longestRefusal { 0 };
    double placedShare() const { return submitted == 0 ? 0 : static_cast<double>(placed) / submitted; }
};

class shared_endpoints {
public:
    /// Returns the ticket.
    std::uint64_t submit(const std::string& organisation, unsigned priority, std::uint64_t tokens = 100)
    {
        queued_request queued;
        queued.ticket = ++m_lastTicket;
        queued.entry = "entry";
        queued.organisation = organisation;
        queued.priority = priority;
        queued.request.service = "s";
        queued.request.promptTokens = tokens;
        queued.waitDeadline = clock.now() + patience;
        queued.firstEventDeadline = clock.now() + target;
        m_calls[queued.ticket] = { organisation, priority, clock.now() };
        ++counts[{ organisation, priority }].submitted;
        queue.add(std::move(queued), clock.now());
        return m_lastTicket;
    }

    /// Processes the queue and lets a tick pass. Returns the results.
    std::vector<placement_result> step()
    {
        auto results = queue.step(pool, clock.now());
        for (const auto& result : results) {
            const auto& call = m_calls[result.ticket];
            auto waited = std::chrono::duration_cast<milliseconds>(clock.now() - call.submittedAt);
            auto& kind = counts[{ call.organisation, call.priority }];
            kind.placed += result.placement.full ? 0 : 1;
            kind.refused += result.placement.full ? 1 : 0;
            auto& longest = result.placement.full ? kind.longestRefusal : kind.longestWait;
            longest = std::max(longest, waited);
        }
        clock.advance(tick);
        return results;
    }

    /// Runs for some time at steady rates; calls of a kind come evenly.
    void run(std::chrono::seconds time, const std::map<std::pair<std::string, unsigned>, double>& callsPerSecond, std::uint64_t patientTokens = 100)
    {
        std::map<std::pair<std::string, unsigned>, double> due;
        for (int at = 0; at < time.count() * ticksPerSecond; ++at) {
            for (const auto& [kind, rate] : callsPerSecond) {
                for (due[kind] += rate / ticksPerSecond; due[kind] >= 1; due[kind] -= 1)
                    submit(kind.first, kind.second, kind.second > 0 ? patientTokens : 100);
            }
            step();
        }
    }

    unsigned priorityOf(std::uint64_t ticket) { return m_calls[ticket].priority; }

    manual_clock_source clock;
    slot_pool pool;
    placement_queue<slot_pool> queue;
    /// By organisation and priority.
    std::map<std::pair<std::string, unsigned>, call_counts> counts;

private:
    struct submitted_call {
        std::string organisation;
        unsigned priority = 0;
        time_point submittedAt;
    };
    std::uint64_t m_lastTicket = 0;
    std::map<std::uint64_t, submitted_call> m_calls;
};

constexpr unsigned urgent = 0;
constexpr unsigned patient = 3;
}

// Guards against a burst of patient calls that makes callers late who wait for their answers.
TEST_CASE("A burst of patient calls neither delays urgent ones nor has them refused")
{
    constexpr int patientOrganisations = 8;
    shared_endpoints endpoints;
    endpoints.run(std::chrono::seconds(5), { { { "a", urgent }, 20 } });
    std::map<std::pair<std::string, unsigned>, double> rates { { { "a", urgent }, 20 } };
    for (int i = 0; i < patientOrganisations; ++i)
        rates[{ "b" + std::to_string(i), patient }] = 8;
    for (int burst = 0; burst < 5; ++burst) {
        for (int i = 0; i < 200; ++i)
            endpoints.submit("b" + std::to_string(i % patientOrganisations), patient);
        endpoints.run(std::chrono::seconds(2), rates);
    }
    auto urgentCalls = endpoints.counts[{ "a", urgent }];
    INFO("urgent: refused " << urgentCalls.refused << " of " << urgentCalls.submitted << ", waited up to " << urgentCalls.longestWait.count() << " ms");
    CHECK(urgentCalls.refused == 0);
    int patientPlaced = 0;
    for (int i = 0; i < patientOrganisations; ++i) {
        const auto& calls = endpoints.counts[{ "b" + std::to_string(i), patient }];
        patientPlaced += calls.placed;
        // Those that can't start in time because of urgent ones needn't wait to learn it.
        CHECK(calls.refused > 0);
        CHECK(calls.longestRefusal < patience);
    }
    CHECK(patientPlaced > 150);
}

// Guards against patient calls that get nothing while urgent ones ask for more than fits.
TEST_CASE("At twice the urgent calls that fit, patient ones keep their share, whatever their size")
{
    for (std::uint64_t patientTokens : { 100, 1000 }) {
        shared_endpoints endpoints;
        endpoints.run(std::chrono::seconds(60), { { { "a", urgent }, 80 }, { { "b", patient }, 20 } }, patientTokens);
        double urgentWork = 100.0 * endpoints.counts[{ "a", urgent }].placed;
        double patientWork = static_cast<double>(patientTokens) * endpoints.counts[{ "b", patient }].placed;
        double share = patientWork / (urgentWork + patientWork);
        INFO("share of the patient calls of " << patientTokens << " tokens: " << share);
        CHECK(share > 0.8 * placement_queue_detail::patientShare);
        CHECK(share < 1.3 * placement_queue_detail::patientShare);
    }
}

// Guards against a rank between others that takes the whole share of those after it.
TEST_CASE("With three ranks, none starves and the more urgent ones get more")
{
    shared_endpoints endpoints;
    endpoints.run(std::chrono::seconds(60), { { { "a", 0 }, 80 }, { { "b", 1 }, 40 }, { { "c", 2 }, 40 } });
    auto first = endpoints.counts[{ "a", 0 }].placed;
    auto second = endpoints.counts[{ "b", 1 }].placed;
    auto third = endpoints.counts[{ "c", 2 }].placed;
    INFO("placed: " << first << ", " << second << ", " << third);
    CHECK(first > second);
    CHECK(second > third);
    CHECK(third > 20);
}

// Guards against services whose calls have one rank that are served otherwise because of it.
TEST_CASE("Where all calls have one rank, its value changes no decision")
{
    auto decisions = [](unsigned priority) {
        shared_endpoints endpoints;
        std::vector<std::tuple<std::uint64_t, bool, milliseconds>> all;
        for (int at = 0; at < 2000; ++at) {
            for (int i = 0; i < (at % 50 == 0 ? 40 : at % 2); ++i)
                endpoints.submit("o" + std::to_string((at * 7 + i) % 5), priority, 100 + static_cast<std::uint64_t>((at * 13 + i * 31) % 400));
            for (const auto& result : endpoints.step())
                all.emplace_back(result.ticket, result.placement.full, result.retryAfter);
        }
        return all;
    };
    auto reference = decisions(0);
    REQUIRE(reference.size() > 1000);
    CHECK(decisions(7) == reference);
}

// Guards against a large organisation whose burst is paid by the others.
TEST_CASE("A large organisation's burst costs itself first")
{
    for (unsigned priority : { urgent, patient }) {
        shared_endpoints endpoints;
        std::map<std::pair<std::string, unsigned>, double> rates;
        constexpr int others = 15;
        constexpr double otherRate = 2;
        for (int i = 0; i < others; ++i)
            rates[{ "small" + std::to_string(i), priority }] = otherRate;
        rates[{ "large", priority }] = others * otherRate;
        endpoints.run(std::chrono::seconds(60), rates);
        double placedShares = 0;
        double worst = 1;
        for (const auto& [kind, counts] : endpoints.counts) {
            placedShares += counts.placedShare();
            if (kind.first != "large")
                worst = std::min(worst, counts.placedShare());
        }
        double mean = placedShares / static_cast<double>(endpoints.counts.size());
        double large = endpoints.counts[{ "large", priority }].placedShare();
        INFO("worst other " << worst << ", mean " << mean << ", large " << large);
        CHECK(worst >= 0.8 * mean);
        CHECK(large < worst);
    }
}

// Guards against a stream that breaks off because urgent calls take the place that its rest needs.
TEST_CASE("A started stream goes before urgent calls, whatever its rank")
{
    shared_endpoints endpoints;
    for (std::size_t i = 0; i < slot_pool::slots; ++i)
        endpoints.submit("a", urgent);
    endpoints.step();
    for (int i = 0; i < 5; ++i)
        endpoints.submit("a", urgent);
    queued_request stream;
    stream.ticket = 1000;
    stream.organisation = "b";
    stream.priority = patient;
    stream.request.service = "s";
    stream.streamStarted = true;
    stream.waitDeadline = endpoints.clock.now() + std::chrono::seconds(2);
    stream.firstEventDeadline = endpoints.clock.now();
    endpoints.queue.add(stream, endpoints.clock.now());
    endpoints.clock.advance(slot_pool::serviceTime);
    auto results = endpoints.step();
    REQUIRE_FALSE(results.empty());
    CHECK(results.front().ticket == 1000);
    CHECK_FALSE(results.front().placement.full);
}

// Guards against a state of the queue that outlives the entry whose calls it counts.
TEST_CASE("Urgent calls of an entry that is gone hold up nobody")
{
    shared_endpoints endpoints;
    for (std::size_t i = 0; i < slot_pool::slots + 10; ++i)
        endpoints.submit("a", urgent);
    endpoints.step();
    endpoints.queue.removeEntry("entry");
    CHECK(endpoints.queue.empty());
    endpoints.clock.advance(slot_pool::serviceTime);
    endpoints.submit("b", patient);
    auto results = endpoints.step();
    REQUIRE(results.size() == 1);
    CHECK_FALSE(results.front().placement.full);
}

// Guards against urgent callers who are told to come back after the patient ones that were refused with them.
TEST_CASE("Of the calls refused in one step, urgent ones are told the earlier times")
{
    shared_endpoints endpoints;
    for (std::size_t i = 0; i < slot_pool::slots; ++i)
        endpoints.submit("a", urgent);
    endpoints.step();
    for (int i = 0; i < 15; ++i) {
        endpoints.submit("b", patient);
        endpoints.submit("a", urgent);
    }
    endpoints.clock.advance(patience);
    milliseconds latestUrgent { 0 };
    milliseconds soonestPatient = milliseconds::max();
    std::set<milliseconds> delays;
    for (const auto& result : endpoints.step()) {
        REQUIRE(result.placement.full);
        delays.insert(result.retryAfter);
        if (endpoints.priorityOf(result.ticket) == urgent)
            latestUrgent = std::max(latestUrgent, result.retryAfter);
        else
            soonestPatient = std::min(soonestPatient, result.retryAfter);
    }
    CHECK(latestUrgent < soonestPatient);
    CHECK(delays.size() > 10);
}

// Guards against callers who waited in vain and then have to wait longest again.
TEST_CASE("Of the calls refused in one step, those that waited longest are told the earliest times")
{
    shared_endpoints endpoints;
    for (std::size_t i = 0; i < slot_pool::slots; ++i)
        endpoints.submit("a", urgent);
    endpoints.step();
    // The order of organisations differs from that of arrival: the first one's calls have more work.
    std::vector<std::uint64_t> inOrderOfArrival;
    for (int i = 0; i < 5; ++i) {
        inOrderOfArrival.push_back(endpoints.submit("large", urgent, 1000));
        endpoints.clock.advance(tick);
        inOrderOfArrival.push_back(endpoints.submit("small", urgent, 100));
        endpoints.clock.advance(tick);
    }
    endpoints.clock.advance(patience);
    std::map<std::uint64_t, milliseconds> delays;
    for (const auto& result : endpoints.step()) {
        REQUIRE(result.placement.full);
        delays[result.ticket] = result.retryAfter;
    }
    REQUIRE(delays.size() == inOrderOfArrival.size());
    for (std::size_t i = 1; i < inOrderOfArrival.size(); ++i)
        CHECK(delays[inOrderOfArrival[i - 1]] < delays[inOrderOfArrival[i]]);
}
