#pragma once
#include "entry/entry_node.h"
#include "entry/entry_settings.h"
#include <atomic>
#include <string>

namespace pistachiolatch {

/// State shared by all requests of an entry. The references outlive all requests.
struct entry_context {
    control_loop& loop;
    entry_node& node;
    metrics& counters;
    const clock_source& clock;
    const entry_settings& settings;
    /// Number of tasks that outlive their request: cancellations, and calls that must not be interrupted.
    std::atomic<unsigned> backgroundTasks { 0 };
    std::atomic<bool> draining { false };
};

/// An authenticated caller.
struct caller_identity {
    std::string requestId;
    std::string organisation;
    std::shared_ptr<const config_view> config;
};

/// Counts as a background task during its lifetime, so that a shutdown waits for it.
class background_work {
public:
    explicit background_work(entry_context& context)
        : m_context(context)
    {
        ++m_context.backgroundTasks;
    }
    ~background_work() { --m_context.backgroundTasks; }
    background_work(const background_work&) = delete;
    background_work& operator=(const background_work&) = delete;

private:
    entry_context& m_context;
};

/// Acquires tokens of the organisation's rate limit; waits for them as long as the settings allow.
task_of<limit_result> acquireTokens(entry_context& context, const std::string& organisation, std::uint64_t tokens);
/// Requests endpoints from the pool's owner. The result may be a refusal.
task_of<wire::placement> acquirePlacement(entry_context& context, wire::place_request request);
/// Reports a request's stage to the pool's owner.
void reportProgress(entry_context& context, wire::progress report);

} // namespace pistachiolatch
