#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pistachiolatch {

/// An engine that can work in either stage.
struct engine_stage_load {
    std::string id;
    std::string dataCentre;
    wire::endpoint_stage stage = wire::STAGE_ANY;
    /// Calls that it has running, or prompts that it has yet to read.
    double load = 0;
    /// Whether it changes to that stage at present.
    bool changing = false;
};

/// An engine that is to change its stage.
struct stage_change {
    std::string engine;
    wire::endpoint_stage to = wire::STAGE_ANY;
};

/// What a call costs its engines.
struct call_cost {
    /// Time of a prefill engine, alone.
    double readingMs = 0;
    /// Time of a decode engine of which it holds a share of the memory: share x time.
    double decodingMs = 0;
};

/// How many of the engines should read prompts, so that neither stage is short before the other: as many calls as possible
/// then fit. At least one of each stage. Pure. Thread safety: any thread.
/// Preconditions: engines >= 2; both costs are positive.
unsigned bestReaders(unsigned engines, const call_cost& costs);
/// Calls a millisecond that fit with so many readers.
double callsThatFit(unsigned engines, unsigned readers, const call_cost& costs);

/// Keeps the stages of a service's engines in balance. Load pattern: a fixed share of the engines reads prompts; where
/// answers hold memory for long, or decode engines are lost, calls are refused for want of memory while readers stand idle,
/// and the other way round. A change takes an engine out for seconds, so one is made only where it gains much, the figures
/// have stood for some time, and many calls have been seen.
/// Pure; not thread-safe.
class stage_balancer {
public:
    /// Takes in what a call that ended cost.
    void learn(const call_cost& costs);
    /// The change to make now, if any. The engines are those that serve.
    std::optional<stage_change> decide(const std::vector<engine_stage_load>& engines, time_point now);
    /// A change was begun, or came to nothing: the engines are given time to settle.
    void pause(time_point until) { m_pausedUntil = until; }

private:
    call_cost m_costs;
    unsigned m_learnt = 0;
    /// Since when the same change has been due.
    wire::endpoint_stage m_wanted = wire::STAGE_ANY;
    time_point m_wantedSince {};
    time_point m_pausedUntil {};
};

} // namespace pistachiolatch
