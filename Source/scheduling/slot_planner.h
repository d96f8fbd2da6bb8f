#pragma once
#include "kernel/kernel.h"
#include "scheduling/circuit_breaker.h"
#include "scheduling/endpoint_pacer.h"
#include "scheduling/endpoint_window.h"
#include "scheduling/placement_types.h"
#include "scheduling/slowdown_estimate.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Places calls to services without engines with one view of all slots. Load pattern: hundreds of entries send one or two
/// calls a second each, so their own view says nothing about an endpoint and the reported load changes several times
/// between reports. Near the capacity they fill the queues of some endpoints, which refuse or answer late, while others
/// have free slots. Below that, an entry chooses well enough by itself and its calls need no message to the owner.
/// Slots come from the endpoints' reports; service times and failures are learnt from completed calls, and for a moment the
/// speed that endpoints state with them. An entry's list of
/// running calls replaces what was tracked for it, so a lost message or a dead entry holds no slot.
/// Pure; not thread-safe.
class slot_planner {
public:
    /// Each completion frees the slot that the next call needs.
    static constexpr double completionsPerPlacement = 1;
    /// A refused caller has missed its target already; sooner it would meet the burst that it was refused in.
    static constexpr milliseconds minRetryDelay { 400 };

    explicit slot_planner(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Applies an endpoint's row of the directory. Rows of engines are ignored.
    void updateEndpoint(const wire::endpoint_row& row);
    /// Sets the data centres whose endpoints get no new calls. Their running calls go on.
    void setEvacuated(std::set<std::string> dataCentres) { m_evacuated = std::move(dataCentres); }
    /// The limits of endpoints that are still cold, for the caller to keep up to date.
    cold_start_gate& coldStarts() { return m_pacer.coldStarts(); }
    /// Chooses an endpoint with a free slot and reserves the slot for the entry.
    engine_placement place(const std::string& entry, const placement_request& request, time_point now);
    /// Replaces the calls tracked for an entry by its list of running calls. The load is that of all its requests; the part
    /// beyond the listed calls was placed by the entry itself.
    void replaceCalls(const std::string& entry, const std::vector<wire::running_call>& calls, const std::vector<wire::endpoint_load>& load, time_point now);
    /// Removes a call that ended, with what its endpoint stated then, if anything. Returns whether it was tracked here.
    bool release(const std::string& entry, std::uint64_t callId, bool succeeded, time_point now, const wire::endpoint_statement& stated = {});
    void recordSuccess(const std::string& endpoint);
    void recordFailure(const std::string& endpoint, time_point now);
    /// Records that an endpoint refused a call as full although a slot seemed free.
    void recordRefusal(const std::string& endpoint, time_point now);
    void removeEntry(const std::string& entry);

    /// Whether a service is so busy, or has endpoints so cold or limited, that its calls must be placed here. Hysteresis
    /// keeps it from alternating.
    bool isQueued(const std::string& service) const;
    /// Decides again which services are queued. Returns whether that changed.
    bool updateQueued(time_point now);
    std::vector<std::string> queuedServices() const;
    /// Number of endpoints that are much slower than usual at the moment; empty if none has stated its slowdown.
    std::optional<unsigned> slowEndpoints(time_point now) const;
    /// Whether any endpoint of the service could be used, apart from its load.
    bool hasEndpoints(const placement_request& request) const;

    /// Time from placement to the answer of nearly all calls.
    duration timeToFirstEvent(const placement_request& request) const;
    /// The chance that the call is answered within that time. Single service times are unknown, so it counts as certain.
    static double chanceToFinish(const placement_request&, duration) { return 1; }
    /// Expected number of calls of the service that complete within that time.
    double expectedCompletions(const std::string& service, duration within, time_point now) const;

private:
    struct endpoint {
        wire::endpoint_row row;
        /// Calls placed here, and those that entries placed themselves by their last lists.
        unsigned placed = 0;
        unsigned unplaced = 0;
        endpoint_window window;
        slowdown_estimate slowdown;
        /// Exponentially weighted share of failed calls.
        double failureRate = 0;
        unsigned refusals = 0;
        time_point backoffUntil {};
    };
    struct placed_call {
        std::string endpoint;
        time_point placedAt;
    };
    struct entry_calls {
        std::map<std::uint64_t, placed_call> placed;
        /// Requests that the entry placed itself, by endpoint.
        std::map<std::string, unsigned> unplaced;
    };
    struct service_state {
        double meanServiceMs = 0;
        /// Mean slowdown of the endpoints whose calls gave the mean service time.
        double meanSlowdown = 1;
        unsigned samples = 0;
        bool queued = false;
        time_point queuedSince {};
        /// Since when the load has been low; zero while it is not.
        time_point calmSince {};
    };

    bool isUsable(const endpoint& candidate, const std::string& service) const;
    static unsigned capacityOf(const endpoint& candidate, time_point now);
    static void recordSlowdown(endpoint& reporter, unsigned stated, time_point reportedAt);
    duration meanServiceTime(const std::string& service) const;
    double loadOf(const endpoint& candidate, time_point now) const;
    /// Mean slowdown of the service's usable endpoints; 1 if they state none.
    double meanSlowdownNow(const std::string& service, time_point now) const;
    std::vector<endpoint*> candidates(const placement_request& request, time_point now);
    void removeEndpoint(const std::string& id);
    /// Adds an entry's calls to the counts of their endpoints, or takes them off. All tracked calls are at known endpoints.
    void track(const entry_calls& calls);
    void untrack(const entry_calls& calls);

    std::mt19937_64 m_random;
    std::map<std::string, endpoint> m_endpoints;
    std::set<std::string> m_evacuated;
    std::map<std::string, entry_calls> m_entries;
    std::map<std::string, service_state> m_services;
    circuit_breaker m_breaker;
    endpoint_pacer m_pacer;
};

} // namespace pistachiolatch
