#pragma once
#include "scheduling/placement_queue.h"
#include "scheduling/slot_planner.h"
#include <functional>
#include <list>
#include <optional>
#include <random>

namespace pistachiolatch::test {

/// Load of a service without engines, replayed in virtual time: phases of Poisson arrivals, endpoints with slots and queues,
/// log-normal service times, and callers who come back once after a refusal.
struct service_scenario {
    struct phase {
        milliseconds duration { 0 };
        double callsPerSecond = 0;
        /// Endpoints that serve during the phase; those beyond it finish their calls.
        unsigned endpoints = 0;
    };
    std::vector<phase> phases;
    unsigned slots = 6;
    /// Calls that an endpoint queues beyond its slots; it refuses any more.
    unsigned queueLimit = 24;
    milliseconds meanServiceTime { 60 };
    /// Time of each message between an entry and an endpoint; a call holds its slot meanwhile.
    milliseconds networkDelay { 1 };
    /// Time from a placement to the arrival of the call at the endpoint, and from its end to the release. No slot is held.
    milliseconds messageDelay { 0 };
    /// Whether endpoints state their load with their responses.
    bool statesLoad = false;
    /// Endpoints are slow for this share of the time, by a factor, and change independently of each other after this mean time.
    double slowShare = 0;
    double slowFactor = 1;
    milliseconds speedChangeInterval { 100 };
    /// Whether endpoints that state their load also state how slow they are.
    bool statesSlowdown = false;
    milliseconds target { 300 };
    milliseconds deadline { 4000 };
    unsigned entries = 195;
    unsigned organisations = 19;
    /// Share of all calls that the first organisation sends; the others share the rest equally.
    double firstOrganisationShare = 0.1;
    std::uint64_t seed = 1;

    std::size_t endpointCount() const;
};

struct scenario_outcome {
    unsigned calls = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    /// Calls that ended without an answer.
    unsigned lost = 0;
    /// Calls that were refused again when they came back.
    unsigned refusedAgain = 0;
    /// Sends that an endpoint refused as full.
    unsigned refusedSends = 0;
    /// The longest wait before a refusal.
    milliseconds longestWaitForRefusal { 0 };
    std::vector<milliseconds> retryDelays;
    /// In-time answers over calls, of the first organisation and of all others.
    double firstOrganisationInTime = 0;
    double othersInTime = 0;

    double inTimeShare() const { return static_cast<double>(inTime) / calls; }
    double refusedSendsPerAnswer() const { return static_cast<double>(refusedSends) / (inTime + late); }
};

/// Replays the scenario with all calls placed by one owner with a queue.
scenario_outcome replayWithOwner(const service_scenario& scenario);
/// Replays the scenario with entries that choose by themselves among three endpoints, by loads that are half a second old.
scenario_outcome replayWithEntriesAlone(const service_scenario& scenario);

} // namespace pistachiolatch::test
