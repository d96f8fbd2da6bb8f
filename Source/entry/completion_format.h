#pragma once
#include "kernel/kernel.h"
#include <cstdint>
#include <string>

namespace pistachiolatch {

/// A completion as a caller asked for it.
struct completion_request {
    bool chat = false;
    bool stream = false;
    std::string model;
    std::string prompt;
    /// Zero when the caller left it to the model's default.
    std::uint32_t maxTokens = 0;
    /// Everything else that the caller set, as a JSON object; passed on to the engine.
    std::string parameters;
};

/// How many tokens a prompt has at most, by its bytes; the engine's own count corrects it afterwards.
std::uint32_t estimateTokens(const std::string& prompt);

/// Reads the body of /v1/completions or /v1/chat/completions. Errors: what is malformed.
result<completion_request> parseCompletion(const std::string& body, bool chat);

/// What stands in each part of an answer.
struct completion_identity {
    std::string requestId;
    std::string model;
    bool chat = false;
    std::int64_t created = 0;
};

struct completion_usage {
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
};

/// One piece of a streamed answer, as JSON.
std::string formatPiece(const completion_identity& identity, const std::string& text);
/// The last piece, with the reason to stop and the usage.
std::string formatLastPiece(const completion_identity& identity, const std::string& finishReason, const completion_usage& usage);
/// A whole answer, as JSON.
std::string formatWhole(const completion_identity& identity, const std::string& text, const std::string& finishReason, const completion_usage& usage);

} // namespace pistachiolatch
