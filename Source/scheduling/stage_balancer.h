#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pistachiolatch {

/// An engine that can serve either stage, with its current load.
struct engine_stage_load {
    std::string id;
    std::string dataCentre;
    wire::endpoint_stage stage = wire::STAGE_ANY;
    /// Number of running calls of a decode engine; seconds of queued prompts of a prefill engine.
    double load = 0;
    /// Whether the engine is changing to that stage.
    bool changing = false;
};

/// An order for an engine to change its stage.
struct stage_change {
    std::string engine;
    wire::endpoint_stage to = wire::STAGE_ANY;
};

/// Engine time that a call uses.
struct call_cost {
    /// Time of a prefill engine that the call occupies alone.
    double prefillMs = 0;
    /// Time of a decode engine, multiplied by the share of its memory that the call holds.
    double decodeMs = 0;
};

/// Number of prefill engines that maximises the calls served, so that neither stage is a bottleneck before the other.
/// Each stage gets at least one engine. Pure. Thread safety: any thread.
/// Preconditions: engines >= 2; both costs are positive.
unsigned optimalPrefillEngines(unsigned engines, const call_cost& cost);
/// Calls per millisecond that the engines can serve with that number of prefill engines.
double callCapacity(unsigned engines, unsigned prefillEngines, const call_cost& cost);

/// Balances a service's engines between the stages. Load pattern: with a fixed share of prefill engines, calls are
/// refused for lack of memory while prefill engines are idle when answers hold memory for long or decode engines are
/// lost; the reverse also occurs. A change takes an engine out of service for seconds, so it requires a large gain, a
/// stable imbalance and many observed calls.
/// Pure; not thread-safe.
class stage_balancer {
public:
    /// Adds the cost of a call to the running mean.
    void recordCall(const call_cost& cost);
    /// The change to make now, if any. Precondition: the engines are those that serve.
    std::optional<stage_change> chooseChange(const std::vector<engine_stage_load>& engines, time_point now);
    /// Suspends changes until that time, for example after an order failed.
    void pause(time_point until) { m_pausedUntil = until; }

private:
    call_cost m_meanCost;
    unsigned m_callCount = 0;
    /// The stage that an engine should change to, and since when.
    wire::endpoint_stage m_pendingStage = wire::STAGE_ANY;
    time_point m_pendingSince {};
    time_point m_pausedUntil {};
};

} // namespace pistachiolatch
