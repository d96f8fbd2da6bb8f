#pragma once
#include "entry/entry_node.h"
#include "entry/entry_settings.h"
#include <atomic>
#include <string>

namespace pistachiolatch {

/// What the traffic side of an entry shares. The references outlive all traffic.
struct entry_context {
    control_loop& loop;
    entry_node& node;
    metrics& counters;
    const clock_source& clock;
    const entry_settings& settings;
    /// Work that goes on after its caller was answered or left: cancels and calls that must run to their end.
    std::atomic<unsigned> background { 0 };
    std::atomic<bool> draining { false };
};

/// A caller that showed a valid key.
struct caller_identity {
    std::string requestId;
    std::string organisation;
    std::shared_ptr<const config_view> config;
};

/// Counts background work for as long as it lives.
class background_work {
public:
    explicit background_work(entry_context& context)
        : m_context(context)
    {
        ++m_context.background;
    }
    ~background_work() { --m_context.background; }
    background_work(const background_work&) = delete;
    background_work& operator=(const background_work&) = delete;

private:
    entry_context& m_context;
};

/// Takes an organisation's tokens; waits for them as long as the settings allow.
task_of<limit_result> acquireTokens(entry_context& context, const std::string& organisation, std::uint64_t tokens);
/// Gets endpoints from the pool's owner.
task_of<wire::placement> acquirePlacement(entry_context& context, wire::place_request request);
/// Tells the pool's owner a stage.
void reportProgress(entry_context& context, wire::progress report);

} // namespace pistachiolatch
