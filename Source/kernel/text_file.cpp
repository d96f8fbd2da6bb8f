#include "kernel/text_file.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace pistachiolatch {

namespace {
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;

    /// Returns the length of the UTF-8 character at a position, or 0 if it is invalid or a control character.
    std::size_t characterLength(const std::string& text, std::size_t position)
    {
        auto lead = static_cast<unsigned char>(text[position]);
        if (lead == '\n' || lead == '\r' || lead == '\t')
            return 1;
        if (lead < firstPrintable || lead == deleteCharacter)
            return 0;
        if (lead < 0x80)
            return 1;
        std::size_t length = lead >= 0xf0 && lead < 0xf5 ? 4 : lead >= 0xe0 && lead < 0xf0 ? 3
            : lead >= 0xc2 && lead < 0xe0                                                  ? 2
                                                                                           : 0;
        if (length == 0 || position + length > text.size())
            return 0;
        bool continued = std::all_of(text.begin() + static_cast<std::ptrdiff_t>(position + 1), text.begin() + static_cast<std::ptrdiff_t>(position + length),
            [](char c) { return (static_cast<unsigned char>(c) & 0xc0) == 0x80; });
        return continued ? length : 0;
    }
}

result<std::string> readTextFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::stringstream content;
    content << file.rdbuf();
    if (!file)
        return failure { fmt::format("{}: can't be read; give a readable TOML file", path) };
    auto text = content.str();
    for (std::size_t position = 0; position < text.size();) {
        auto length = characterLength(text, position);
        if (length == 0)
            return failure { fmt::format("{}:{}: byte 0x{:02x} is not text; save the file as UTF-8 without control characters", path,
                std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(position), '\n') + 1, static_cast<unsigned char>(text[position])) };
        position += length;
    }
    return text;
}

} // namespace pistachiolatch
