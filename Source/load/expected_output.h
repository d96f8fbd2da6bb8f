#pragma once
#include <cstdint>
#include <string>

namespace pistachiolatch {

// The output of the fake engines in the tests is a pure function of the prompt, so a client can verify that a response
// is complete and belongs to its request.

/// Number of tokens generated for a prompt, at most maxTokens.
std::uint32_t expectedTokenCount(const std::string& prompt, std::uint32_t maxTokens);
/// Text of the token at an index, counted from 0.
std::string expectedToken(const std::string& prompt, std::uint32_t index);
/// Text of the complete output.
std::string expectedText(const std::string& prompt, std::uint32_t maxTokens);

} // namespace pistachiolatch
