#pragma once
#include "kernel/kernel.h"
#include <cstdint>
#include <string>

namespace pistachiolatch {

/// A caller's completion request.
struct completion_request {
    bool chat = false;
    bool stream = false;
    std::string model;
    std::string prompt;
    /// Zero selects the model's default.
    std::uint32_t maxTokens = 0;
    /// All other parameters, as a JSON object that is passed to the engine.
    std::string parameters;
};

/// Estimates the number of prompt tokens from the prompt's size in bytes. The engine's own count corrects it afterwards.
std::uint32_t estimateTokens(const std::string& prompt);

/// Parses the body of /v1/completions or /v1/chat/completions. Errors: what is malformed.
result<completion_request> parseCompletion(const std::string& body, bool chat);

/// The fields common to all chunks of a response.
struct completion_metadata {
    std::string requestId;
    std::string model;
    bool chat = false;
    std::int64_t created = 0;
};

struct completion_usage {
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
};

/// Formats one chunk of a streamed response as JSON.
std::string formatChunk(const completion_metadata& metadata, const std::string& text);
/// Formats the final chunk, with the finish reason and the usage.
std::string formatFinalChunk(const completion_metadata& metadata, const std::string& finishReason, const completion_usage& usage);
/// Formats a complete response as JSON.
std::string formatCompletion(const completion_metadata& metadata, const std::string& text, const std::string& finishReason, const completion_usage& usage);

} // namespace pistachiolatch
