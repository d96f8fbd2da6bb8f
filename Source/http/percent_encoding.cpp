#include "http/percent_encoding.h"

#include <charconv>

namespace pistachiolatch {

std::optional<std::string> decodePercent(std::string_view encoded)
{
    constexpr std::size_t digits = 2;
    constexpr int hexadecimal = 16;
    std::string decoded;
    while (!encoded.empty()) {
        auto percent = encoded.find('%');
        decoded.append(encoded.substr(0, percent));
        if (percent == std::string_view::npos)
            break;
        auto code = encoded.substr(percent + 1, digits);
        unsigned char byte = 0;
        auto [end, error] = std::from_chars(code.data(), code.data() + code.size(), byte, hexadecimal);
        if (code.size() < digits || error != std::errc() || end != code.data() + digits)
            return std::nullopt;
        decoded.push_back(static_cast<char>(byte));
        encoded.remove_prefix(percent + 1 + digits);
    }
    return decoded;
}

} // namespace pistachiolatch
