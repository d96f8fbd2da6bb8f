#pragma once
#include "kernel/kernel.h"
#include "scheduling/circuit_breaker.h"
#include "scheduling/endpoint_pacer.h"
#include "scheduling/engine_speed_model.h"
#include "scheduling/memory_projection.h"
#include "scheduling/placement_types.h"
#include "scheduling/stage_balancer.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Measurements of a completed call for the engine speed model. Fields that were not measured are zero.
struct call_measurements {
    std::uint64_t generatedTokens = 0;
    milliseconds generationTime { 0 };
    /// Prompt tokens that a prefill endpoint processed, and the time until its response.
    std::uint64_t prefillTokens = 0;
    milliseconds prefillTime { 0 };
    /// Time from the end of the prefill to the first event.
    milliseconds firstEventDelay { 0 };
};

/// Places model calls with one view of all engines. Load pattern: bursts at twice the usual rate fill the engines'
/// memory. Entries that choose independently by reports that are half a second old overfill some engines while others
/// have room. An engine that runs out of memory preempts a request and prefills its whole prompt again, which costs as
/// much as a new request and stalls the stream. So each call counts from its placement, with its projected memory. An
/// entry's list of running calls replaces what was tracked for it, so that the next list corrects for a lost message.
/// Pure; not thread-safe.
class engine_planner {
public:
    /// The memory that one call frees is not always enough for the next.
    static constexpr double completionsPerPlacement = 2;
    /// About the duration of a call.
    static constexpr milliseconds minRetryDelay { 1200 };

    explicit engine_planner(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Applies an endpoint's row of the directory.
    void updateEndpoint(const wire::endpoint_row& row);
    /// Sets the data centres whose engines get no new calls. Their running calls go on and still count.
    void setEvacuated(std::set<std::string> dataCentres) { m_evacuated = std::move(dataCentres); }
    /// The limits of engines that are still cold, for the caller to keep up to date.
    cold_start_gate& coldStarts() { return m_pacer.coldStarts(); }
    /// Chooses engines for a call and reserves them for the entry.
    engine_placement place(const std::string& entry, const placement_request& request, time_point now);
    /// Replaces the calls tracked for an entry by the list of its running calls.
    void replaceCalls(const std::string& entry, const std::vector<wire::running_call>& calls, time_point now);
    /// Removes a call that ended. Call this before recording the outcome for its engines.
    void release(const std::string& entry, std::uint64_t callId, const call_measurements& measurements = {});
    /// Records that an engine served part of a call or failed one. Load pattern: an engine that fails all calls while
    /// its health check succeeds is always empty and so attracts calls from every entry, and each entry detects this
    /// only by its own failures. Here failures count across entries; after a few in a row the engine gets one call per
    /// second until one succeeds.
    void recordSuccess(const std::string& endpoint);
    void recordFailure(const std::string& endpoint, time_point now);
    /// Records that an engine refused a call as full. Load pattern: after an entry's power loss the engines go on with
    /// its streams, which nobody receives and this planner no longer tracks; such an engine seems the least loaded,
    /// attracts every call and refuses it.
    void recordRefusal(const std::string& endpoint, time_point now);
    void removeEntry(const std::string& entry);
    /// A change of an engine's stage that would substantially raise capacity, if there is one. If the caller orders the
    /// change, it must call startStageChange().
    std::optional<stage_change> chooseStageChange(time_point now);
    /// Excludes the engine from placement until it reports the new stage or the deadline passes.
    void startStageChange(const stage_change& change, time_point deadline);
    /// The order for the change failed: makes the engine available again.
    void cancelStageChange(const std::string& engine, time_point now);
    /// Whether any engine could generate the call's answer, apart from its load.
    bool hasEndpoints(const placement_request& request) const;
    /// The last report of an engine; null if it is unknown.
    const wire::endpoint_report* findReport(const std::string& engine) const;
    /// Expected time from placement to the first event if no prompts are queued ahead.
    duration timeToFirstEvent(const placement_request& request);
    /// The chance that the call's whole answer is generated within that time.
    double chanceToFinish(const placement_request& request, duration within);
    /// Expected number of calls of the service that complete, and free memory for others, within that time.
    double expectedCompletions(const std::string& service, duration within, time_point now) const;
    /// Projected peak of the tokens held by the calls placed on an endpoint.
    std::uint64_t projectedTokens(const std::string& endpoint, time_point now) const;

private:
    struct engine {
        wire::endpoint_row row;
        /// When the prompts sent to this engine are expected to be prefilled.
        time_point prefillsDoneAt {};
        time_point failedAt {};
        /// Refusals since the engine last served a call, and the end of the backoff for them.
        unsigned refusals = 0;
        time_point backoffUntil {};
        /// The stage that the engine changes to, and when the change times out.
        wire::endpoint_stage targetStage = wire::STAGE_ANY;
        time_point stageChangeDeadline {};
    };
    struct placed_call {
        std::string endpoint;
        std::uint64_t promptTokens;
        std::uint64_t outputTokens;
        std::uint64_t generatedTokens;
        /// When `generatedTokens` was updated.
        time_point updatedAt;
        time_point placedAt;
    };
    using memory_by_endpoint = std::map<std::string, std::vector<call_memory>>;

    /// Takes the events of a call as a success of its engine, unless the call was placed before the engine's last
    /// failure.
    void recordProgress(const placed_call& call);
    const engine_speed_model& speedModelOf(const std::string& endpoint) const;
    call_memory memoryOf(const placed_call& call, time_point now) const;
    memory_by_endpoint memoryByEndpoint(time_point now) const;
    static bool isChangingStage(const engine& candidate, time_point now) { return candidate.targetStage != wire::STAGE_ANY && now < candidate.stageChangeDeadline; }
    std::vector<engine_stage_load> stageLoads(const std::string& service, time_point now) const;
    void recordCallCost(const placement_request& request);
    /// Whether the engine may get new calls of the service, apart from its load and health.
    bool isUsable(const engine& candidate, const std::string& service) const;
    /// Calls that the service's prefill engines may get within that time; empty unless all of them name limits.
    std::optional<double> limitedPrefills(const std::string& service, duration within, time_point now) const;
    std::vector<engine*> candidates(const placement_request& request, wire::endpoint_stage stage, time_point now);
    engine* chooseDecode(const placement_request& request, time_point now);
    /// Whether a decode engine may prefill the prompt itself while the prefill engines are busy.
    bool canPrefillOnDecode(const engine& decode, const placement_request& request, time_point now);
    engine* choosePrefill(const placement_request& request, const std::string& dataCentre, time_point now);

    std::mt19937_64 m_random;
    std::map<std::string, engine> m_engines;
    std::set<std::string> m_evacuated;
    circuit_breaker m_breaker;
    endpoint_pacer m_pacer;
    /// By entry and call id.
    std::map<std::string, std::map<std::uint64_t, placed_call>> m_calls;
    /// By service.
    std::map<std::string, engine_speed_model> m_speedModels;
    std::map<std::string, stage_balancer> m_stageBalancers;
};

} // namespace pistachiolatch
