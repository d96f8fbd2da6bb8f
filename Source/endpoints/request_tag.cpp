#include "endpoints/request_tag.h"

#include <charconv>
#include <fmt/format.h>
#include <vector>

namespace pistachiolatch {

namespace {
    template <typename T>
    bool parseNumber(const std::string& text, T& value)
    {
        const char* end = text.data() + text.size();
        auto parsed = std::from_chars(text.data(), end, value);
        return parsed.ec == std::errc() && parsed.ptr == end;
    }
}

std::string request_tag::toString() const
{
    return fmt::format("{}/{}/{}/{}", entry, incarnation, requestId, attempt);
}

std::optional<request_tag> request_tag::parse(const std::string& text)
{
    constexpr std::size_t partCount = 4;
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        auto end = std::min(text.find('/', begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    request_tag tag;
    if (parts.size() != partCount || !parseNumber(parts[1], tag.incarnation) || !parseNumber(parts[3], tag.attempt))
        return std::nullopt;
    tag.entry = parts[0];
    tag.requestId = parts[2];
    return tag;
}

} // namespace pistachiolatch
