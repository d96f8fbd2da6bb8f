#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace pistachiolatch {

/// Names one attempt of one request of one run of one entry. An endpoint keeps it with everything it holds for the
/// attempt, so that what a dead entry left behind can be told from what a living one still wants.
struct request_tag {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string requestId;
    std::uint32_t attempt = 0;

    std::string text() const;
    /// The tag in a text that text() made, or nothing.
    static std::optional<request_tag> parse(const std::string& text);
};

} // namespace pistachiolatch
