#pragma once
#include "kernel/kernel.h"
#include "scheduling/circuit_breaker.h"
#include "scheduling/engine_speed_model.h"
#include "scheduling/memory_projection.h"
#include "scheduling/stage_balancer.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// A model call that needs endpoints.
struct placement_request {
    /// Names the call within its entry.
    std::uint64_t callId = 0;
    std::string service;
    /// Where the asking entry is.
    std::string dataCentre;
    std::uint64_t promptTokens = 0;
    /// Tokens that the answer is expected to have.
    std::uint64_t outputTokens = 0;
    /// Memory of each endpoint of the service, in tokens.
    std::uint64_t memoryTokens = 0;
    /// Endpoints that this call has tried already.
    std::set<std::string> exclude;
    /// Endpoints that failed at this entry lately; used only where no other serves at all.
    std::set<std::string> avoid;
};

/// What a call that ended tells of its engines' speed; zeros where it doesn't.
struct call_measurements {
    /// Tokens that were generated, and the time that took.
    std::uint64_t generatedTokens = 0;
    milliseconds generationTime { 0 };
    /// Prompt tokens that a prefill endpoint read, and the time until its answer.
    std::uint64_t prefillTokens = 0;
    milliseconds prefillTime { 0 };
    /// How long after the reading of the prompt the first event came.
    milliseconds firstEventDelay { 0 };
};

/// Where a model call goes. Without a prefill endpoint the decode endpoint reads the prompt itself.
struct engine_placement {
    /// Nothing can take the call now: no memory, or nothing that could read its prompt in time.
    bool full = false;
    std::string decode;
    std::string prefill;
    /// Where it is full: whether there is memory, and only the prompt can't be read in time.
    bool prefillBusy = false;
};

/// Places model calls with one view of all endpoints. Load pattern: bursts at twice the usual rate fill the engines'
/// memory. Entries that each choose by figures half a second old then overfill some engines while others have room; an
/// engine that overflows puts a running request back and reads its whole prompt again, which costs as much as a new
/// one and stops its stream. Here each call counts from the moment it is placed, by what it will hold as it grows.
/// An entry's own list of its calls replaces what was noted for it, so that a lost message is mended by the next one.
/// Pure; not thread-safe.
class engine_planner {
public:
    explicit engine_planner(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Takes in what the directory knows of an endpoint.
    void updateEndpoint(const wire::endpoint_row& row);
    /// Chooses endpoints and books them for the entry.
    engine_placement place(const std::string& entry, const placement_request& ask, time_point now);
    /// All calls that an entry has running, as of when it sent the list.
    void replaceCalls(const std::string& entry, const std::vector<wire::running_call>& calls, time_point now);
    /// A call ended. What it told of engines' health is noted after this.
    void release(const std::string& entry, std::uint64_t callId, const call_measurements& figures = {});
    /// An engine served a part of a call, or failed one. Load pattern: an engine that fails all calls, while its health
    /// check is good, is always empty and so draws calls from every entry; each entry by itself learns of it only by its
    /// own failures. Here the failures of all count, and after a few in a row it gets one call a second until one succeeds.
    void recordSuccess(const std::string& endpoint);
    void recordFailure(const std::string& endpoint, time_point now);
    /// An engine refused a call as full. Load pattern: an entry loses power, and the engines go on with streams that nobody
    /// reads and that this planner has forgotten; taken for the emptiest, such an engine draws every call and refuses it.
    void recordRefusal(const std::string& endpoint, time_point now);
    void removeEntry(const std::string& entry);
    /// The change of an engine's stage that would let many more calls fit, if there is one. Precondition: the caller gives
    /// the order for it, and says so by startStageChange().
    std::optional<stage_change> chooseStageChange(time_point now);
    /// The engine gets nothing until it has changed, or the time is over.
    void startStageChange(const stage_change& change, time_point until);
    /// The order came to nothing.
    void cancelStageChange(const std::string& engine, time_point now);
    /// What is known of an engine, or null.
    const wire::endpoint_report* findReport(const std::string& engine) const;
    /// How long a call takes from its placing to its first event where no prompt is before its own.
    duration timeToFirstEvent(const placement_request& ask);
    /// How many calls of the service are expected to end within a time, and leave their memory to others.
    double expectedEnds(const std::string& service, duration within, time_point now) const;
    /// The most tokens that the calls placed on an endpoint will hold.
    std::uint64_t projectedTokens(const std::string& endpoint, time_point now) const;

private:
    struct engine {
        wire::endpoint_row row;
        /// When the prompts that were sent here are expected to be read.
        time_point promptsReadAt {};
        time_point failedAt {};
        /// Refusals since it last served, and until when it is left alone for them.
        unsigned refusals = 0;
        time_point fullUntil {};
        /// The stage that it changes to, and until when that is waited for.
        wire::endpoint_stage changesTo = wire::STAGE_ANY;
        time_point changesUntil {};
    };
    struct placed_call {
        std::string endpoint;
        std::uint64_t prompt;
        std::uint64_t output;
        std::uint64_t generated;
        /// When the figures were true.
        time_point at;
        time_point placedAt;
    };
    using users_by_endpoint = std::map<std::string, std::vector<call_memory>>;

    /// Events of a call tell that its engine is sound, unless the call is older than the engine's last failure.
    void learnFromEvents(const placed_call& call);
    const engine_speed_model& figuresAt(const std::string& endpoint) const;
    call_memory userOf(const placed_call& call, time_point now) const;
    users_by_endpoint usersNow(time_point now) const;
    static bool isChanging(const engine& one, time_point now) { return one.changesTo != wire::STAGE_ANY && now < one.changesUntil; }
    std::vector<engine_stage_load> balancedEngines(const std::string& service, time_point now) const;
    void learnCosts(const placement_request& ask);
    static bool serves(const engine& one, const placement_request& ask, wire::endpoint_stage stage);
    std::vector<engine*> candidates(const placement_request& ask, wire::endpoint_stage stage, time_point now);
    engine* pickDecode(const placement_request& ask, time_point now);
    /// Whether a decode engine may read the prompt itself while the prefill engines are busy.
    bool mayReadItself(const engine& decode, const placement_request& ask, time_point now);
    engine* pickPrefill(const placement_request& ask, const std::string& nearTo, time_point now);

    std::mt19937_64 m_random;
    std::map<std::string, engine> m_engines;
    circuit_breaker m_breaker;
    std::map<std::string, std::map<std::uint64_t, placed_call>> m_calls;
    /// By service.
    std::map<std::string, engine_speed_model> m_figures;
    std::map<std::string, stage_balancer> m_balances;
};

} // namespace pistachiolatch
