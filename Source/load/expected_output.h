#pragma once
#include <cstdint>
#include <string>

namespace pistachiolatch {

/// The stand-in engines' output is a pure function of the prompt, so that any answer can be checked for being whole
/// and its caller's own.
/// How many tokens a prompt gets, at most maxTokens.
std::uint32_t expectedTokenCount(const std::string& prompt, std::uint32_t maxTokens);
/// The token at an index.
std::string expectedToken(const std::string& prompt, std::uint32_t index);
/// The whole text.
std::string expectedText(const std::string& prompt, std::uint32_t maxTokens);

} // namespace pistachiolatch
