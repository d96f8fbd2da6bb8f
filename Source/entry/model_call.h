#pragma once
#include "entry/caller_errors.h"
#include "entry/model_attempt.h"
#include <optional>
#include <set>

namespace pistachiolatch {

/// One completion from its body to the end of its answer, over as many attempts as it takes.
class model_call {
public:
    model_call(entry_context& context, http_exchange& exchange, caller_identity caller, bool chat);
    ~model_call();
    model_call(const model_call&) = delete;
    model_call& operator=(const model_call&) = delete;

    task_of<void> run();

private:
    task_of<std::optional<caller_error>> admit();
    task_of<std::optional<caller_error>> attemptAll();
    task_of<wire::placement> findEndpoints(std::uint32_t attempt);
    /// Returns a poison_request error if control has recorded too many crashes for this request.
    std::optional<caller_error> refusedAsPoison() const;
    std::optional<caller_error> refusedPlacement(const wire::placement& placement);
    /// Whether another attempt may follow; the error to give up with if not.
    std::optional<caller_error> giveUpAfter(const attempt_end& end, std::uint32_t attempt);
    void reportCrash(const wire::placement& placement, const attempt_end& end, std::uint32_t attempt);
    task_of<bool> forward(const std::string& text);
    task_of<void> finishAnswer();
    task_of<void> fail(const caller_error& error);
    run_state runState() const { return m_output.sent ? run_state::MayHaveRun : run_state::NotRun; }

    entry_context& m_context;
    http_exchange& m_exchange;
    caller_identity m_caller;
    completion_request m_request;
    completion_identity m_identity;
    model_output m_output;
    const model_record* m_model = nullptr;
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_maxTokens = 0;
    std::uint64_t m_charged = 0;
    std::uint64_t m_fingerprint = 0;
    std::uint64_t m_prefix = 0;
    std::set<std::string> m_exclude;
    unsigned m_crashes = 0;
    time_point m_begun {};
    bool m_firstToken = false;
};

} // namespace pistachiolatch
