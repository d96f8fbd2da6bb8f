#pragma once
#include "entry/completion_format.h"
#include "entry/engine_cleanup.h"

namespace pistachiolatch {

/// The output of a model call so far, across all attempts.
struct model_output {
    std::string text;
    std::uint32_t tokens = 0;
    std::uint32_t promptTokens = 0;
    std::string finishReason;
    /// Bytes may have been sent to an endpoint, so the request can no longer be reported as not run.
    bool sent = false;
};

/// The result of one attempt.
struct attempt_result {
    bool completed = false;
    bool callerGone = false;
    reason cause = reason::Internal;
    /// The endpoint that failed; later attempts exclude it.
    std::string endpoint;
    /// The endpoint's connection broke while it ran the request.
    bool suspectedCrash = false;
    bool prefillWasted = false;
};

/// Receives each new token; returns false if the caller has disconnected.
using token_sink = std::function<task_of<bool>(const std::string& text)>;

/// One attempt of a model call on the endpoints of one placement: prefill, transfer of the KV cache, decode.
class model_attempt {
public:
    model_attempt(entry_context& context, const completion_request& request, const wire::placement& placement, request_tag tag, std::uint32_t maxTokens);

    /// Runs the attempt. Resumes after the output of earlier attempts.
    task_of<attempt_result> run(model_output& output, token_sink sink);

private:
    task_of<attempt_result> prefillAndTransfer(model_output& output);
    task_of<attempt_result> decode(model_output& output, token_sink& sink);
    attempt_result makeFailure(endpoint_status status, const std::string& endpoint, bool afterPrefill) const;
    void reportStage(wire::progress_stage stage);

    entry_context& m_context;
    const completion_request& m_request;
    const wire::placement& m_placement;
    request_tag m_tag;
    std::uint32_t m_maxTokens;
    std::string m_kv;
};

} // namespace pistachiolatch
