#include "kernel/text_check.h"

#include "kernel/sha256.h"
#include <boost/locale/utf.hpp>
#include <fmt/format.h>

namespace pistachiolatch {

namespace {
    namespace utf = boost::locale::utf;

    bool isControl(utf::code_point character)
    {
        constexpr utf::code_point firstPrintable = 0x20;
        constexpr utf::code_point deleteCharacter = 0x7f;
        constexpr utf::code_point lastControl = 0x9f;
        return character < firstPrintable || (character >= deleteCharacter && character <= lastControl);
    }

    /// Returns the bytes of the character at the beginning, or 0 if it is a control character or not UTF-8.
    std::size_t plainCharacterBytes(std::string_view text)
    {
        const auto* position = text.data();
        auto character = utf::utf_traits<char>::decode(position, text.data() + text.size());
        bool isValid = character != utf::illegal && character != utf::incomplete && !isControl(character);
        return isValid ? static_cast<std::size_t>(position - text.data()) : 0;
    }
}

bool isPlainText(std::string_view bytes)
{
    while (!bytes.empty()) {
        auto size = plainCharacterBytes(bytes);
        if (size == 0)
            return false;
        bytes.remove_prefix(size);
    }
    return true;
}

std::string toPlainText(std::string_view bytes, std::size_t maxBytes)
{
    bool isCut = bytes.size() > maxBytes;
    std::string text;
    for (std::size_t taken = 0; !bytes.empty();) {
        auto size = plainCharacterBytes(bytes);
        auto next = std::max<std::size_t>(size, 1);
        if (taken + next > maxBytes)
            break;
        if (size > 0)
            text.append(bytes.substr(0, size));
        else
            text += fmt::format("\\x{:02x}", static_cast<unsigned char>(bytes.front()));
        bytes.remove_prefix(next);
        taken += next;
    }
    if (isCut)
        text += "...";
    return text;
}

std::string toPlainIdentifier(std::string_view bytes, std::size_t maxBytes)
{
    if (bytes.size() <= maxBytes && isPlainText(bytes))
        return std::string(bytes);
    constexpr std::size_t digestDigits = 16;
    return fmt::format("{}#{}", toPlainText(bytes, maxBytes), sha256Hex(bytes).substr(0, digestDigits));
}

} // namespace pistachiolatch
