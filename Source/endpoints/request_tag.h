#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace pistachiolatch {

/// Identifies one attempt of one request of one run of an entry. An endpoint stores it with everything it holds for
/// the attempt, so that the resources of a dead entry can be told from those that a live one still needs.
struct request_tag {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string requestId;
    std::uint32_t attempt = 0;

    std::string toString() const;
    /// Parses the result of toString(); returns nothing if it is malformed.
    static std::optional<request_tag> parse(const std::string& text);
};

} // namespace pistachiolatch
