#include "load/expected_output.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace pistachiolatch {

namespace {
    constexpr std::uint32_t minTokens = 16;
    constexpr std::uint32_t tokenCountRange = 112;
    constexpr std::uint64_t vocabularySize = 10000;
}

std::uint32_t expectedTokenCount(const std::string& prompt, std::uint32_t maxTokens)
{
    auto hash = XXH3_64bits(prompt.data(), prompt.size());
    return std::min(maxTokens, minTokens + static_cast<std::uint32_t>(hash % tokenCountRange));
}

std::string expectedToken(const std::string& prompt, std::uint32_t index)
{
    auto hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(), index + 1);
    return fmt::format(" w{}", hash % vocabularySize);
}

std::string expectedText(const std::string& prompt, std::uint32_t maxTokens)
{
    std::string text;
    auto count = expectedTokenCount(prompt, maxTokens);
    for (std::uint32_t i = 0; i < count; ++i)
        text += expectedToken(prompt, i);
    return text;
}

} // namespace pistachiolatch
