#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace pistachiolatch {

/// Replaces each %XX of a path by the byte that it stands for. Returns nothing if a percent sign isn't followed by two hexadecimal
/// digits. Thread safety: any thread.
std::optional<std::string> decodePercent(std::string_view encoded);

} // namespace pistachiolatch
