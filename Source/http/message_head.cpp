#include "http/message_head.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <cctype>

namespace pistachiolatch {

namespace {
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view headEnd = "\r\n\r\n";
    /// Decimal digits that fit into 64 bits.
    constexpr std::size_t maxLengthDigits = 18;

    bool isBlank(char c)
    {
        return c == ' ' || c == '\t';
    }

    bool equalsIgnoringCase(std::string_view a, std::string_view b)
    {
        return boost::beast::iequals({ a.data(), a.size() }, { b.data(), b.size() });
    }

    std::string_view trim(std::string_view text)
    {
        while (!text.empty() && isBlank(text.front()))
            text.remove_prefix(1);
        while (!text.empty() && isBlank(text.back()))
            text.remove_suffix(1);
        return text;
    }

    /// The position of a line feed that doesn't follow a carriage return, or of a carriage return that no line feed follows.
    std::size_t findBareLineEnd(std::string_view bytes)
    {
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            if (bytes[i] == '\n' && (i == 0 || bytes[i - 1] != '\r'))
                return i;
            if (bytes[i] == '\r' && i + 1 < bytes.size() && bytes[i + 1] != '\n')
                return i;
        }
        return std::string_view::npos;
    }

    /// The headers that say where a body ends.
    struct body_length_headers {
        std::size_t lengths = 0;
        bool isLengthValid = true;
        std::size_t codings = 0;
        bool isChunkedAlone = true;

        void add(std::string_view name, std::string_view value)
        {
            if (equalsIgnoringCase(name, "content-length")) {
                ++lengths;
                bool isNumber = !value.empty() && value.size() <= maxLengthDigits && std::all_of(value.begin(), value.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
                isLengthValid = isLengthValid && isNumber;
            }
            if (equalsIgnoringCase(name, "transfer-encoding")) {
                ++codings;
                isChunkedAlone = isChunkedAlone && equalsIgnoringCase(value, "chunked");
            }
        }

        std::optional<reason> findFault() const
        {
            if (lengths > 1 || !isLengthValid || (lengths > 0 && codings > 0))
                return reason::UnclearLength;
            if (!isChunkedAlone)
                return reason::UnknownTransferCoding;
            if (codings > 1)
                return reason::UnclearLength;
            return std::nullopt;
        }
    };
}

bool isHeadComplete(std::string_view bytes)
{
    return bytes.find(headEnd) != std::string_view::npos || findBareLineEnd(bytes) != std::string_view::npos;
}

std::optional<reason> findFramingFault(std::string_view bytes)
{
    auto head = bytes.substr(0, bytes.find(headEnd));
    if (findBareLineEnd(head) != std::string_view::npos)
        return reason::MalformedHead;
    if (std::min(head.find(lineEnd), head.size()) > maxFieldBytes)
        return reason::HeaderTooLarge;
    body_length_headers headers;
    for (auto begin = head.find(lineEnd); begin != std::string_view::npos;) {
        begin += lineEnd.size();
        auto end = head.find(lineEnd, begin);
        auto line = head.substr(begin, end == std::string_view::npos ? end : end - begin);
        begin = end;
        if (line.size() > maxFieldBytes)
            return reason::HeaderTooLarge;
        auto colon = line.find(':');
        bool isField = colon != std::string_view::npos && colon > 0 && std::none_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), isBlank);
        if (!isField)
            return reason::MalformedHead;
        headers.add(line.substr(0, colon), trim(line.substr(colon + 1)));
    }
    return headers.findFault();
}

} // namespace pistachiolatch
