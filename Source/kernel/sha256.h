#pragma once
#include <string>
#include <string_view>

namespace pistachiolatch {

/// SHA-256 of the input as 64 lower-case hexadecimal digits. Thread safety: any thread.
std::string sha256Hex(std::string_view input);

/// Whether two digests are equal, in a time that does not depend on where they differ. Thread safety: any thread.
bool equalConstantTime(std::string_view left, std::string_view right);

/// Fresh random bytes from the operating system as hexadecimal digits, two a byte. Thread safety: any thread.
std::string randomHex(std::size_t bytes);

} // namespace pistachiolatch
