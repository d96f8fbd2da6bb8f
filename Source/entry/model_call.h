#pragma once
#include "entry/caller_errors.h"
#include "entry/model_attempt.h"
#include <optional>
#include <set>

namespace pistachiolatch {

/// Handles one completion request, from parsing to the end of the response, and retries failed attempts.
class model_call {
public:
    model_call(entry_context& context, http_exchange& exchange, caller_identity caller, bool chat);
    ~model_call();
    model_call(const model_call&) = delete;
    model_call& operator=(const model_call&) = delete;

    task_of<void> run();

private:
    /// Validates the request and acquires its tokens. Returns the error if it is refused.
    task_of<std::optional<caller_error>> admit();
    task_of<std::optional<caller_error>> runAttempts();
    task_of<wire::placement> requestPlacement(std::uint32_t attempt);
    /// Returns a poison_request error if control has recorded too many crashes for this request.
    std::optional<caller_error> checkPoison() const;
    /// Returns the error to respond with if the placement is a refusal.
    std::optional<caller_error> checkPlacement(const wire::placement& placement);
    /// Returns nothing if another attempt may follow, otherwise the error to respond with.
    std::optional<caller_error> checkRetry(const attempt_result& outcome, std::uint32_t attempt);
    void reportCrash(const wire::placement& placement, const attempt_result& outcome, std::uint32_t attempt);
    task_of<bool> forwardToken(const std::string& text);
    task_of<void> sendResponse();
    task_of<void> sendFailure(const caller_error& error);
    run_state runState() const { return m_output.sent ? run_state::MayHaveRun : run_state::NotRun; }

    entry_context& m_context;
    http_exchange& m_exchange;
    caller_identity m_caller;
    completion_request m_request;
    completion_metadata m_metadata;
    model_output m_output;
    const model_record* m_model = nullptr;
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_maxTokens = 0;
    std::uint64_t m_chargedTokens = 0;
    std::uint64_t m_fingerprint = 0;
    std::uint64_t m_prefix = 0;
    std::set<std::string> m_excludedEndpoints;
    unsigned m_crashes = 0;
    time_point m_startedAt {};
    bool m_firstTokenSeen = false;
};

} // namespace pistachiolatch
