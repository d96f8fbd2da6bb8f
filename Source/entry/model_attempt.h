#pragma once
#include "entry/completion_format.h"
#include "entry/engine_cleanup.h"

namespace pistachiolatch {

/// What a model call has brought so far, over all its attempts.
struct model_output {
    std::string text;
    std::uint32_t tokens = 0;
    std::uint32_t promptTokens = 0;
    std::string finishReason;
    /// A byte left for an endpoint, so nothing can be called "not run" any more.
    bool sent = false;
};

/// How one attempt ended.
struct attempt_end {
    bool whole = false;
    bool callerGone = false;
    reason why = reason::Internal;
    /// The endpoint that failed, to be avoided.
    std::string endpoint;
    /// Its connection broke while it ran the request.
    bool suspectedCrash = false;
    bool prefillWasted = false;
};

/// Takes each new token of the answer; false when the caller is gone.
using token_sink = std::function<task_of<bool>(const std::string& text)>;

/// One attempt of a model call on the endpoints of one placement: prefill, transfer of the KV cache, decode.
class model_attempt {
public:
    model_attempt(entry_context& context, const completion_request& request, const wire::placement& placement, request_tag tag, std::uint32_t maxTokens);

    /// Runs the attempt; resumes behind what the output already holds.
    task_of<attempt_end> run(model_output& output, token_sink sink);

private:
    task_of<attempt_end> prefillAndTransfer(model_output& output);
    task_of<attempt_end> decode(model_output& output, token_sink& sink);
    attempt_end failed(endpoint_status status, const std::string& endpoint, bool afterPrefill) const;
    void report(wire::progress_stage stage);

    entry_context& m_context;
    const completion_request& m_request;
    const wire::placement& m_placement;
    request_tag m_tag;
    std::uint32_t m_maxTokens;
    std::string m_kv;
};

} // namespace pistachiolatch
